/** An index of a name is reused only when no message can contain it any more. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { Interner } from "../src/core/model/interner.js";

test("a reclaimed index is not reused while earlier batches may still contain it", () => {
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

// Guards against a process crash: a heartbeat contained a name that was not used elsewhere, and names were reclaimed in
// the same batch before the heartbeat was handled. The data kept from the heartbeat then contained an index without a
// name, and the reply to the heartbeat threw an exception.
test("a name interned while a batch is decoded is not reclaimed in that batch", () => {
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

  // A name that no later batch contains is reclaimed like any other.
  names.beginBatch();
  names.beginBatch();
  names.reclaim(new Set());
  names.beginBatch();
  names.beginBatch();

  assert.throws(() => names.nameOf(indexOfA), RangeError);
});
