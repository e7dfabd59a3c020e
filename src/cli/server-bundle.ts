import { existsSync, readFileSync } from "node:fs";
import { createRequire, Module } from "node:module";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Script } from "node:vm";

/** The server bundle and its code cache; `build.mjs` writes them to the directory of the CLI bundle. */
const BUNDLE = "server.cjs";
const CODE_CACHE = "server.cache";

type ServerModule = typeof import("../shell/serve.js");

/** The loaded server bundle. */
export interface LoadedServer {
  readonly server: ServerModule;
  /** Why the code cache was not used; null if it was. */
  readonly cacheProblem: string | null;
  /** Returns the code compiled so far, as a V8 code cache. */
  readonly codeCache: () => Buffer;
}

/**
 * Loads the server bundle, using V8's code cache if possible, as compiling the bundle takes a third of the CPU time of
 * startup. If the cache is missing, or was made by another version of Node.js or with other flags, the bundle is
 * compiled as usual.
 */
export function loadServer(folder = dirname(fileURLToPath(import.meta.url))): LoadedServer {
  const filename = `${folder}/${BUNDLE}`;
  const cachePath = `${folder}/${CODE_CACHE}`;
  const source = Module.wrap(readFileSync(filename, "utf8"));
  const cachedData = existsSync(cachePath) ? readFileSync(cachePath) : undefined;
  const script = new Script(source, cachedData ? { filename, cachedData } : { filename });
  const module: { exports: unknown } = { exports: {} };
  script.runInThisContext()(module.exports, createRequire(filename), module, filename, folder);
  const rejected = script.cachedDataRejected === true;
  return {
    server: module.exports as ServerModule,
    cacheProblem: cachedData === undefined ? "missing" : rejected ? "made by another Node or flags" : null,
    codeCache: () => script.createCachedData(),
  };
}
