/** Leaders in the states that many tests begin with. */

import assert from "node:assert/strict";
import { ControllerHarness, jobSpec } from "./controller-harness.js";
import { FakeStore } from "./fake-store.js";

/** The one element of a list that must have no other. */
export function onlyElement<T>(list: readonly T[]): T {
  assert.equal(list.length, 1, `one expected, not ${JSON.stringify(list)}`);
  return list[0] as T;
}

/** A leader with machine A, on which task 0 of j-1 runs; `attempt` is its attempt number. */
export function leaderWithRunningTask(store = new FakeStore()): {
  harness: ControllerHarness;
  attempt: number;
} {
  const harness = new ControllerHarness("n0", store).becomeLeader();
  harness.sendHeartbeat("A");
  harness.submit(jobSpec("j-1"));
  harness.advance(200);
  const { attempt } = onlyElement(harness.startCommands("j-1"));
  harness.replyToCommands("A", [{ uid: "j-1", task: 0, attempt, state: "running" }]);
  return { harness, attempt };
}

/** The leader's lease expires without a renewal, and node n1 is elected 60 s later, over the same store. */
export function electNextLeader(leader: ControllerHarness): ControllerHarness {
  leader.store.expire(leader.now + 60_000);
  const nextLeader = new ControllerHarness("n1", leader.store);
  nextLeader.now = leader.now + 60_000;
  return nextLeader.becomeLeader();
}

/** A new leader that has restored the records of one that placed task 0 of j-1 on A; A has sent it no heartbeat yet. */
export function newLeaderAwaitingAgent(): { harness: ControllerHarness; attempt: number } {
  const { harness: previousLeader, attempt } = leaderWithRunningTask();
  const newLeader = electNextLeader(previousLeader);
  assert.ok(newLeader.controller.leaderTerm?.agents.areRecordsLoaded);
  newLeader.sendHeartbeat("B", [], { zone: "b" });
  newLeader.advance(300);
  return { harness: newLeader, attempt };
}
