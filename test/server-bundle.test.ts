/** The server's V8 code cache: used if it matches the bundle, and never an obstacle to a start. */

import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { loadServer } from "../src/cli/server-bundle.js";

// Guards against a mismatched code cache (other Node version or flags, corrupt file) being used or preventing a start.
test("the server starts with its code cache, and also if the cache is missing or does not match", (context) => {
  const folder = mkdtempSync(join(tmpdir(), "hillspindle-"));
  context.after(() => rmSync(folder, { recursive: true }));
  const source = 'module.exports = { serve: (path) => "serves " + path };';
  writeFileSync(join(folder, "server.cjs"), source);
  const assertServes = (cacheProblem: string | null) => {
    const loaded = loadServer(folder);
    assert.equal(loaded.cacheProblem, cacheProblem);
    assert.equal(
      loaded.server.serve("x", { cacheProblem: null, standby: false, admission: false }),
      "serves x",
    );
    return loaded.codeCache();
  };
  const cache = assertServes("missing");
  writeFileSync(join(folder, "server.cache"), cache);
  assertServes(null);
  const foreignCache = Buffer.from(cache);
  foreignCache.fill(0x5a, 0, 24);
  for (const [index, invalidCache] of [
    foreignCache,
    cache.subarray(0, 40),
    Buffer.from("x"),
    Buffer.alloc(0),
  ].entries()) {
    // V8 compiles the same source only once in a process, whatever cache it is given.
    writeFileSync(join(folder, "server.cjs"), `${source} //${index}`);
    writeFileSync(join(folder, "server.cache"), invalidCache);
    assertServes("made by another Node or flags");
  }
});
