/** Indices of names: an index is reclaimed only when nothing can carry it any more. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { Interner } from "../src/core/model/interner.js";

test("a reclaimed index is not reused while earlier batches may still carry it", () => {
  const names = new Interner();
  const indexOfA = names.intern("a");
  names.beginBatch();
  names.beginBatch();
  names.reclaim(new Set());

  assert.notEqual(names.intern("b"), indexOfA);

  names.beginBatch();
  assert.equal(names.nameOf(indexOfA), "a");
  assert.notEqual(names.intern("c"), indexOfA);

  names.beginBatch();
  assert.equal(names.intern("d"), indexOfA);
  assert.equal(names.nameOf(indexOfA), "d");
});

// Guarded against: a heartbeat brings a name that nothing else uses, and in the same batch, before the heartbeat is
// handled, names are reclaimed. What was kept of the heartbeat then carried an index without a name, and the reply to it
// ended the process.
test("a name interned in the current batch is not reclaimed before that batch is handled", () => {
  const names = new Interner();
  names.beginBatch();
  const indexOfA = names.intern("a");
  names.beginBatch();
  names.reclaim(new Set());
  names.beginBatch();
  names.beginBatch();
  names.beginBatch();

  assert.equal(names.nameOf(indexOfA), "a");
  assert.equal(names.intern("a"), indexOfA);

  // A name that no command brings again is reclaimed like any other.
  names.beginBatch();
  names.beginBatch();
  names.reclaim(new Set());
  names.beginBatch();
  names.beginBatch();

  assert.throws(() => names.nameOf(indexOfA), RangeError);
});
