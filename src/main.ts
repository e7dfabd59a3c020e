#!/usr/bin/env node
/** Entry point: runs the command line, whose `serve` command starts a controller. */
import { run } from "./cli/cli.js";

await run(process.argv);
