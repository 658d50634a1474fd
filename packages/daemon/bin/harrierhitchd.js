#!/usr/bin/env node
import { runDaemonProgram } from "../dist/src/index.js";

await runDaemonProgram(process.argv.slice(2));
