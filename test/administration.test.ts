/** Operator settings, which can be changed at run time. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ControllerHarness } from "./support/controller-harness.js";

test("a change of operator settings takes effect at once and is stored for the other nodes; an invalid change is rejected and has no effect", () => {
  const harness = new ControllerHarness().becomeLeader();
  assert.equal(harness.admin({ kind: "changeSettings", values: { move_low: 2 } })?.kind, "invalid");
  assert.equal(harness.admin({ kind: "changeSettings", values: { no_such: 1 } })?.kind, "invalid");
  assert.equal(harness.admin({ kind: "changeSettings", values: { move_drain_s: "long" } })?.kind, "invalid");
  assert.equal(harness.controller.ctx.settings.move_low, 0.3);
  assert.equal(harness.admin({ kind: "changeSettings", values: { move_low: 0.2 } })?.kind, "ok");
  assert.equal(harness.controller.ctx.settings.move_low, 0.2);

  const otherNode = new ControllerHarness("n1", harness.store);
  otherNode.now = harness.now;
  otherNode.advance(500);

  assert.equal(otherNode.controller.ctx.settings.move_low, 0.2);
});
