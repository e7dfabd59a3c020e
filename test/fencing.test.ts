/** Evidence that proves that an attempt has ended, so that its task may be restarted (I3). */

import assert from "node:assert/strict";
import { test } from "node:test";
import { leaderWithRunningTask } from "./support/leaders.js";

test("a later agent incarnation, a terminated machine or an expired agent lease proves that an attempt has ended; its absence from a heartbeat does not", () => {
  const withoutTask = leaderWithRunningTask();
  withoutTask.harness.sendHeartbeat("B", [], { zone: "b" });
  // A heartbeat that omits the task and has the fencing token with which the task was started proves nothing (I3).
  withoutTask.harness.sendHeartbeat("A");
  withoutTask.harness.advance(300);

  assert.equal(withoutTask.harness.startCommands("j-1").length, 1, "absence from a heartbeat proves nothing");

  const reincarnated = leaderWithRunningTask();
  reincarnated.harness.sendHeartbeat("B", [], { zone: "b" });
  reincarnated.harness.sendHeartbeat("A", [], { incarnation: 2 });
  reincarnated.harness.advance(300);

  assert.equal(reincarnated.harness.startCommands("j-1").length, 2, "a later incarnation proves it");

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

  assert.deepEqual(
    terminated.harness.startCommands("j-1").at(-1)?.machine,
    "B",
    "the termination of machine A proves it",
  );

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

test("an agent with a new incarnation gets tasks and a full lease only once it sends a heartbeat; replies to direct commands are not sufficient", () => {
  // Failure found by the property test (rule ran_twice): the agent was considered dead because the lease of its
  // previous incarnation had expired.
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

  // I7: an agent that receives direct commands but cannot reach a controller would lose every task started on it.
  assert.equal(harness.startCommands("j-1").length, 1, "nothing is started there before the first heartbeat");

  harness.sendHeartbeat("A", [], { incarnation: 2 });
  harness.advance(300);
  const { attempt } = harness.startCommands("j-1").at(-1) ?? { attempt: 0 };
  harness.replyToCommands("A", [{ uid: "j-1", task: 0, attempt, state: "running" }], { incarnation: 2 });
  harness.advance(5000);

  assert.equal(
    harness.startCommands("j-1").filter((start) => start.attempt !== attempt).length,
    1,
    "the only other attempt is the first one",
  );
});
