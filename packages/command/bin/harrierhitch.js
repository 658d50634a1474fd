#!/usr/bin/env node
import { runCommandProgram } from "../dist/src/index.js";

await runCommandProgram(process.argv.slice(2));
