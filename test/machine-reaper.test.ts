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

/** Lets the cloud list a machine of zone b as running, created the given time before the harness's clock began. */
function listMachine(harness: ControllerHarness, name: string, createdBeforeS: number): string[] {
  const terminatedMachines: string[] = [];
  const defaultCloudRule = harness.cloudRule;
  harness.cloudRule = (call) => {
    if (call.kind === "delete") terminatedMachines.push(...call.machines);
    if (call.kind !== "list") return defaultCloudRule(call);
    const ageS = createdBeforeS + harness.now / 1000;
    const listed = {
      name,
      address: "",
      type: "small",
      zone: "b",
      spot: false,
      phase: "running",
      ageS,
    } as const;
    return { kind: "page", machines: call.after === null ? [listed] : [], more: false };
  };
  return terminatedMachines;
}

test("a new leader waits for the first heartbeat of a machine that was created long ago, and terminates one that sends none", () => {
  // Failure guarded against (left waiting): a new leader took each machine that was in no record and had not reported to it
  // yet for one that never booted, and terminated all of them at once.
  for (const reports of [true, false]) {
    const harness = new ControllerHarness();
    const terminatedMachines = listMachine(harness, "A", 300);
    harness.becomeLeader();
    harness.advance(5000);
    assert.deepEqual(terminatedMachines, [], "it may be up and about to report");
    for (let second = 0; second < 30; second++) {
      if (reports) harness.sendHeartbeat("A", [], { zone: "b" });
      harness.advance(1000);
    }
    assert.deepEqual(terminatedMachines, reports ? [] : ["A"]);
  }
});

test("a machine that boots in a partitioned zone is kept until its heartbeats can arrive", () => {
  // Failure guarded against (left waiting): machines that booted behind a partition were terminated as stuck.
  const harness = new ControllerHarness();
  const terminatedMachines = listMachine(harness, "A", 0);
  harness.becomeLeader();
  const zoneB = ["B0", "B1", "B2"];
  const otherZone = ["C0", "C1", "C2", "C3", "C4", "C5", "C6"];
  const sendHeartbeats = (names: readonly string[], zone: string) => {
    for (const name of names) harness.sendHeartbeat(name, [], { zone, type: "gpu" });
  };
  for (let second = 0; second < 80; second++) {
    sendHeartbeats(otherZone, "a");
    if (second < 10 || second >= 60) sendHeartbeats(zoneB, "b");
    if (second >= 62) harness.sendHeartbeat("A", [], { zone: "b" });
    harness.advance(1000);
  }
  assert.deepEqual(terminatedMachines, []);
});
