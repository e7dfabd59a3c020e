/** Neither a stale cloud list nor a delayed heartbeat brings a terminated machine back into use (I4). */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";

test("neither a stale cloud list nor a delayed heartbeat makes a terminated machine schedulable again", () => {
  const harness = new ControllerHarness().becomeLeader();
  const machineList = (phase: "failed" | "running") => ({
    kind: "page" as const,
    machines: [{ name: "A", address: "A:1", type: "small", zone: "a", spot: false, phase, ageS: 5 }],
    more: false,
  });
  let phase: "failed" | "running" = "failed";
  harness.cloudRule = (call) =>
    call.kind === "list"
      ? machineList(phase)
      : call.kind === "delete"
        ? { kind: "deleted" }
        : { kind: "unavailable", reason: "" };
  harness.sendHeartbeat("A");
  harness.advance(5000);
  phase = "running";
  harness.advance(5000);
  harness.sendHeartbeat("A");
  harness.submit(jobSpec("j-1"));
  harness.advance(1000);

  assert.deepEqual(harness.startCommands("j-1"), []);
});

test("a delayed heartbeat neither restores a terminated machine nor proves to a new leader that the agent is alive", () => {
  const leader = new ControllerHarness().becomeLeader();
  const terminatedMachines: string[] = [];
  leader.cloudRule = (call) => {
    if (call.kind === "listTypes") return { kind: "types", machineTypes: leader.types };
    if (call.kind === "delete") terminatedMachines.push(...call.machines);
    if (call.kind !== "list") return call.kind === "delete" ? { kind: "deleted" } : { kind: "noCapacity" };
    const machineFields = { address: "A:1", type: "small", zone: "a", spot: false, ageS: 5 };
    return { kind: "page", machines: [{ name: "A", phase: "failed", ...machineFields }], more: false };
  };
  leader.sendHeartbeat("A");
  leader.advance(5000);

  assert.deepEqual(terminatedMachines, ["A"]);

  leader.advance(30_000);
  const delayedHeartbeat = leader.makeHeartbeat("A");
  leader.handle({ kind: "heartbeat", requestId: 900, heartbeat: delayedHeartbeat, body: null });
  leader.advance(5000);

  assert.deepEqual(leader.agentReply(900), { kind: "unavailable" });
  assert.deepEqual(terminatedMachines, ["A"], "the machine is not terminated a second time");
  assert.equal(leader.controller.leaderTerm?.cluster.machines.size, 0);

  const nextLeader = new ControllerHarness().becomeLeader();
  nextLeader.sendHeartbeat("A", [], { fencingToken: 0 });
  nextLeader.submit(jobSpec("j-1"));
  nextLeader.advance(3000);

  assert.deepEqual(
    nextLeader.startCommands("j-1"),
    [],
    "the heartbeat does not contain the fencing token of the current term",
  );
});
