#!/usr/bin/env node
import { runStandinProgram } from "../dist/src/index.js";

await runStandinProgram(process.argv.slice(2));
