/** Termination of silent machines: a single one is terminated, a whole silent zone is not. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ControllerHarness } from "./support/controller-harness.js";

test("machines of a partitioned zone are kept, even while only some have reconnected, and one that stays silent after the others is terminated", () => {
  const harness = new ControllerHarness().becomeLeader();
  const terminatedMachines: string[] = [];
  const defaultCloudRule = harness.cloudRule;
  harness.cloudRule = (call) => {
    if (call.kind === "delete") terminatedMachines.push(...call.machines);
    return call.kind === "delete" ? { kind: "deleted" } : defaultCloudRule(call);
  };
  const zoneB = ["B0", "B1", "B2", "B3"];
  const zoneA = ["A0", "A1", "A2", "A3", "A4", "A5", "A6", "A7", "A8"];
  const sendHeartbeats = (names: readonly string[], zone: string) => {
    // GPU machines, because idle machines without GPUs would be terminated.
    for (const name of names) harness.sendHeartbeat(name, [], { zone, type: "gpu", spot: true });
  };
  for (let second = 0; second < 3; second++) {
    sendHeartbeats(zoneA, "a");
    sendHeartbeats(zoneB, "b");
    harness.advance(1000);
  }
  for (let second = 0; second < 60; second++) {
    sendHeartbeats(zoneA, "a");
    harness.advance(1000);
  }
  for (let second = 0; second < 10; second++) {
    sendHeartbeats(zoneA, "a");
    sendHeartbeats(zoneB.slice(0, 3), "b");
    harness.advance(1000);
  }

  assert.deepEqual(terminatedMachines, []);

  for (let second = 0; second < 40; second++) {
    sendHeartbeats(zoneA, "a");
    sendHeartbeats(zoneB.slice(0, 3), "b");
    harness.advance(1000);
  }
  assert.deepEqual(terminatedMachines, ["B3"]);
});
