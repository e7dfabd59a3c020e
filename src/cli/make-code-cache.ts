import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { loadServer } from "./server-bundle.js";

/** Run by the build, under the flags of the run line: writes the code cache that later starts use. */

const { server, codeCache } = loadServer();
server.compileAhead();
writeFileSync(fileURLToPath(new URL("server.cache", import.meta.url)), codeCache());
