#!/usr/bin/env node
import { runQuickstart } from "../dist/src/index.js";

await runQuickstart(process.argv.includes("--stay"));
