/** The modes that operators set on machines. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { AgentFleet } from "./support/agent-fleet.js";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";
import { electNextLeader } from "./support/leaders.js";
import { exclusionOf } from "./support/machine-status.js";

test("an idle machine that operators cordoned stays cordoned under a new leader", () => {
  // Failure guarded against: modes were applied to the machines in the records of earlier leaders only, and an idle
  // machine is in none; the new leader placed tasks on it.
  const harness = new ControllerHarness().becomeLeader();
  harness.sendHeartbeat("A");
  harness.admin({ kind: "setMachineMode", name: "A", mode: "cordon" });
  harness.advance(1000);
  assert.equal(exclusionOf(harness, "A"), "cordoned");

  const nextLeader = electNextLeader(harness);
  const fleet = new AgentFleet(nextLeader, { A: {}, B: {} }, () => null);
  nextLeader.submit(jobSpec("j-1", { tasks: 4, estimateS: 600 }));
  nextLeader.submit(jobSpec("j-2", { tasks: 4, estimateS: 600 }));
  fleet.runFor(5000);
  assert.equal(exclusionOf(nextLeader, "A"), "cordoned");
  assert.deepEqual(fleet.machinesOf("j-1"), ["B", "B", "B", "B"]);
  assert.deepEqual(fleet.machinesOf("j-2"), []);

  nextLeader.admin({ kind: "setMachineMode", name: "A", mode: "open" });
  fleet.runFor(2000);
  assert.deepEqual(fleet.machinesOf("j-2"), ["A", "A", "A", "A"]);
});
