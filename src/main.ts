#!/usr/bin/env node
/** The entry point of the program: the command line, which also starts a controller (`serve`). */
import { run } from "./cli/cli.js";

await run(process.argv);
