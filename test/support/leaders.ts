/** Leaders in the initial states shared by many tests. */

import assert from "node:assert/strict";
import { ControllerHarness, jobSpec } from "./controller-harness.js";
import { FakeStore } from "./fake-store.js";

/** Asserts that a list has exactly one element and returns it. */
export function onlyElement<T>(list: readonly T[]): T {
  assert.equal(list.length, 1, `expected exactly one element: ${JSON.stringify(list)}`);
  return list[0] as T;
}

/** Creates a leader with machine A, on which task 0 of j-1 runs; `attempt` is its attempt number. */
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

/** Lets the leader's lease expire and elects node n1, on the same store, 60 s later. */
export function electNextLeader(leader: ControllerHarness): ControllerHarness {
  leader.store.expire(leader.now + 60_000);
  const nextLeader = new ControllerHarness("n1", leader.store);
  nextLeader.now = leader.now + 60_000;
  return nextLeader.becomeLeader();
}

/** Creates a new leader that restored a placement of task 0 of j-1 on A; A has not sent it a heartbeat yet. */
export function newLeaderAwaitingAgent(): { harness: ControllerHarness; attempt: number } {
  const { harness: previousLeader, attempt } = leaderWithRunningTask();
  const newLeader = electNextLeader(previousLeader);
  assert.ok(newLeader.controller.leaderTerm?.agents.areRecordsLoaded);
  newLeader.sendHeartbeat("B", [], { zone: "b" });
  newLeader.advance(300);
  return { harness: newLeader, attempt };
}
