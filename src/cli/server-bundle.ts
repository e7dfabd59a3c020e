import { existsSync, readFileSync } from "node:fs";
import { createRequire, Module } from "node:module";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Script } from "node:vm";

/** The server bundle and its code cache, as `build.mjs` writes them beside the command line's bundle. */
const BUNDLE = "server.cjs";
const CODE_CACHE = "server.cache";

type ServerModule = typeof import("../shell/serve.js");

/** The server's modules, loaded. */
export interface LoadedServer {
  readonly server: ServerModule;
  /** Why the code cache was not used; null if it was. */
  readonly cacheProblem: string | null;
  /** The compiled code as V8 would store it now. */
  readonly codeCache: () => Buffer;
}

/**
 * Loads the server bundle, with V8's code cache if the build left one that fits: compiling the bundle is a third of the
 * processor time of a start. A cache that is missing, or was made by another version of Node or under other flags, is
 * ignored, and the bundle compiled as usual.
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
