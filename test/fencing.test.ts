/** The proofs that an attempt has ended (I3). */

import assert from "node:assert/strict";
import { test } from "node:test";
import { leaderWithRunningTask } from "./support/leaders.js";

test("a later agent incarnation, a terminated machine or an expired lease proves that a task has ended, absence from a heartbeat does not", () => {
  const absent = leaderWithRunningTask();
  absent.harness.sendHeartbeat("B", [], { zone: "b" });
  // A heartbeat without the task, under the fencing token that the task was started with, proves nothing (I3).
  absent.harness.sendHeartbeat("A");
  absent.harness.advance(300);

  assert.equal(absent.harness.startCommands("j-1").length, 1, "absence alone proves nothing");

  const reincarnated = leaderWithRunningTask();
  reincarnated.harness.sendHeartbeat("B", [], { zone: "b" });
  reincarnated.harness.sendHeartbeat("A", [], { incarnation: 2 });
  reincarnated.harness.advance(300);

  assert.equal(reincarnated.harness.startCommands("j-1").length, 2, "later incarnation");

  const terminated = leaderWithRunningTask();
  terminated.harness.sendHeartbeat("B", [], { zone: "b" });
  terminated.harness.cloudRule = (call) => {
    if (call.kind === "delete") return { kind: "deleted" };
    if (call.kind !== "list") return { kind: "unavailable", reason: "" };
    const machineFields = { address: "A:1", type: "small", zone: "a", spot: false, ageS: 5 };
    return { kind: "page", machines: [{ name: "A", phase: "failed", ...machineFields }], more: false };
  };
  terminated.harness.advance(3000);
  terminated.harness.sendHeartbeat("B", [], { zone: "b" });
  terminated.harness.advance(3000);

  assert.deepEqual(terminated.harness.startCommands("j-1").at(-1)?.machine, "B", "release");

  const expired = leaderWithRunningTask();
  expired.harness.cloudRule = () => ({ kind: "unavailable", reason: "" });
  for (let second = 0; second < 11; second++) {
    expired.harness.sendHeartbeat("B", [], { zone: "b" });
    expired.harness.advance(1000);
  }

  assert.equal(expired.harness.startCommands("j-1").length, 1, "the agent lease is still valid");

  for (let second = 0; second < 3; second++) {
    expired.harness.sendHeartbeat("B", [], { zone: "b" });
    expired.harness.advance(1000);
  }
  assert.equal(expired.harness.startCommands("j-1").length, 2, "the agent lease has expired");
});

test("an agent with a new incarnation gets tasks and a full lease once it sends a heartbeat, not by replies to direct commands alone", () => {
  // Found by the property test (rule ran_twice): the agent was declared dead by the lease of its previous incarnation.
  const { harness } = leaderWithRunningTask();
  harness.cloudRule = () => ({ kind: "unavailable", reason: "" });
  harness.advance(14_000);
  const replyAsNewIncarnation = () => harness.replyToCommands("A", [], { incarnation: 2 });
  harness.controller.leaderTerm?.agents.queueFencing(
    [...harness.controller.leaderTerm.cluster.machines.values()][0] as never,
  );
  harness.handle({ kind: "tick" });
  replyAsNewIncarnation();
  harness.advance(300);

  // I7: an agent that reaches no controller, while direct commands reach it, would lose whatever is started there.
  assert.equal(harness.startCommands("j-1").length, 1, "only the first attempt while it sends no heartbeat");

  harness.sendHeartbeat("A", [], { incarnation: 2 });
  harness.advance(300);
  const { attempt } = harness.startCommands("j-1").at(-1) ?? { attempt: 0 };
  harness.replyToCommands("A", [{ uid: "j-1", task: 0, attempt, state: "running" }], { incarnation: 2 });
  harness.advance(5000);

  assert.equal(
    harness.startCommands("j-1").filter((start) => start.attempt !== attempt).length,
    1,
    "only the first attempt before the new one",
  );
});
