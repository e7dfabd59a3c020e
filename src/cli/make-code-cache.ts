import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { loadServer } from "./server-bundle.js";

/** Writes the code cache. The build passes the server's Node.js flags, as V8 rejects a cache made with others. */

const { server, codeCache } = loadServer();
server.compileAhead();
writeFileSync(fileURLToPath(new URL("server.cache", import.meta.url)), codeCache());
