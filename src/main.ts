#!/usr/bin/env node
/** Entry point: runs the command line, whose `serve` command starts a controller. */
import { runCommandLine } from "./cli/cli.js";

await runCommandLine(process.argv);
