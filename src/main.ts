#!/usr/bin/env node
import { run } from "./cli/cli.js";

await run(process.argv);
