/** Starts that an agent refuses, for lack of capacity or because of an earlier attempt. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { AgentFleet } from "./support/agent-fleet.js";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";

for (const exitReason of ["no_room", "busy"] as const) {
  test(`a machine that refuses the starts of one job is used for smaller ones: ${exitReason}`, () => {
    // Failure guarded against (left waiting): a refused start kept all jobs off the machine, and when that was over the same
    // job was tried first again.
    const harness = new ControllerHarness().becomeLeader();
    const fleet = new AgentFleet(harness, { A: {} }, (uid) =>
      uid === "j-large" ? { exitReason, afterMs: 0 } : null,
    );
    harness.submit(jobSpec("j-large", { priority: 2, need: { cpu: 4000, gpu: 0, ram: 1000 } }));
    fleet.runFor(3000);
    harness.submit(jobSpec("j-small"));
    const startedAfterMs = fleet.runUntil(() => fleet.machinesOf("j-small").length === 1, 90_000);
    assert.ok(
      startedAfterMs !== null && startedAfterMs <= 5000,
      `j-small started after ${startedAfterMs} ms`,
    );
  });
}

test("jobs that need at least as much as a start that was refused for lack of capacity are not tried for two seconds", () => {
  const harness = new ControllerHarness().becomeLeader();
  const fleet = new AgentFleet(harness, { A: {} }, (uid) =>
    uid === "j-1" ? { exitReason: "no_room", afterMs: 0 } : null,
  );
  harness.submit(jobSpec("j-1", { need: { cpu: 3000, gpu: 0, ram: 1000 } }));
  fleet.runUntil(() => fleet.starts.length > 0, 5000);
  harness.cancel("j-1");
  harness.submit(jobSpec("j-2", { need: { cpu: 3000, gpu: 0, ram: 1000 } }));
  fleet.runFor(1000);
  assert.deepEqual(fleet.machinesOf("j-2"), []);
  assert.notEqual(
    fleet.runUntil(() => fleet.machinesOf("j-2").length === 1, 5000),
    null,
  );
});
