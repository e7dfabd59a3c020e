import assert from "node:assert/strict";
import { test } from "node:test";
import { Names } from "../src/core/names.js";

test("a freed index is not given out while commands mapped earlier may still carry it", () => {
  const names = new Names();
  const a = names.intern("a");
  names.sweep(new Set());
  assert.notEqual(names.intern("b"), a);
  names.turn();
  assert.equal(names.name(a), "a");
  assert.notEqual(names.intern("c"), a);
  names.turn();
  assert.equal(names.intern("d"), a);
  assert.equal(names.name(a), "d");
});
