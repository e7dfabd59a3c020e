import assert from "node:assert/strict";
import { test } from "node:test";
import { Interner } from "../src/core/model/interner.js";

test("a freed index is not given out while commands mapped earlier may still carry it", () => {
  const names = new Interner();
  const a = names.intern("a");
  names.beginBatch();
  names.beginBatch();
  names.reclaim(new Set());
  assert.notEqual(names.intern("b"), a);
  names.beginBatch();
  assert.equal(names.name(a), "a");
  assert.notEqual(names.intern("c"), a);
  names.beginBatch();
  assert.equal(names.intern("d"), a);
  assert.equal(names.name(a), "d");
});

// Guarded against: a report brings a name that nothing else holds, and in the same batch, before it is worked off, the
// names are swept. What is then kept of the report carried an index without a name, and its answer ended the process.
test("a name that a command of this batch brings is not swept before the command is worked off", () => {
  const names = new Interner();
  names.beginBatch();
  const a = names.intern("a");
  names.beginBatch();
  names.reclaim(new Set());
  names.beginBatch();
  names.beginBatch();
  names.beginBatch();
  assert.equal(names.name(a), "a");
  assert.equal(names.intern("a"), a);
  // Not brought again, it goes as any other.
  names.beginBatch();
  names.beginBatch();
  names.reclaim(new Set());
  names.beginBatch();
  names.beginBatch();
  assert.throws(() => names.name(a), RangeError);
});
