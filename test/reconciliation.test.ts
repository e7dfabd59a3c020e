/** Reconciliation of heartbeats with the recorded placements (I1, I3, I4). */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ControllerHarness } from "./support/controller-harness.js";
import { leaderWithRunningTask, newLeaderAwaitingAgent } from "./support/leaders.js";
import { STORE_OUTAGE } from "./support/store-outage.js";

test("a leader that has not loaded the records yet renews no agent lease, as it would miss cancellations", () => {
  const { harness: previousLeader, attempt } = leaderWithRunningTask();
  previousLeader.store.expire(previousLeader.now + 60_000);
  const newLeader = new ControllerHarness("n1", previousLeader.store);
  newLeader.now = previousLeader.now + 60_000;
  newLeader.storeRule = (call) => (call.kind === "list" && call.prefix === "j/" ? STORE_OUTAGE : null);
  newLeader.becomeLeader();
  const running = [{ uid: "j-1", task: 0, attempt, state: "running" }] as const;

  assert.equal(newLeader.controller.leaderTerm?.agents.areRecordsLoaded, false);
  assert.equal(newLeader.sendHeartbeat("A", running), undefined, "delayed until the records are loaded");

  newLeader.storeRule = null;
  newLeader.advance(1000);
  assert.equal(newLeader.sendHeartbeat("A", running)?.kind, "commands");
});

test("a new leader restarts a recorded task only after a heartbeat of its machine omits it under the new fencing token", () => {
  const { harness, attempt } = newLeaderAwaitingAgent();
  assert.deepEqual(harness.startCommands("j-1"), [], "A has not sent a heartbeat yet");

  harness.sendHeartbeat("A", [], { fencingToken: 1 });
  harness.advance(300);
  assert.equal(harness.controller.leaderTerm?.cluster.jobByUid("j-1")?.placements.get(0)?.attempt, attempt);
  assert.deepEqual(
    harness.startCommands("j-1"),
    [],
    "a heartbeat under the old fencing token proves nothing: a start command may be in flight",
  );

  harness.timeOutCommands();
  harness.sendHeartbeat("A");
  harness.advance(2000);

  assert.equal(harness.startCommands("j-1").length, 1);
});

test("a new leader adopts the tasks that agents report as running", () => {
  const { harness, attempt } = newLeaderAwaitingAgent();
  harness.sendHeartbeat("A", [{ uid: "j-1", task: 0, attempt, state: "running" }]);
  harness.advance(2000);

  assert.deepEqual(harness.startCommands("j-1"), []);
  assert.deepEqual(harness.poll("j-1"), {
    kind: "status",
    status: { uid: "j-1", phase: "running", done: 0, running: 1 },
  });
});

test("a heartbeat that arrives after a later one from the same agent changes nothing", () => {
  const { harness, attempt } = leaderWithRunningTask();
  const staleHeartbeat = harness.makeHeartbeat("A", [
    { uid: "j-1", task: 0, attempt, state: "ended", exitReason: "done" },
  ]);
  harness.sendHeartbeat("A", [{ uid: "j-1", task: 0, attempt, state: "running" }]);
  harness.handle({ kind: "heartbeat", requestId: 900, heartbeat: staleHeartbeat, body: null });
  harness.advance(500);

  assert.equal(harness.controller.leaderTerm?.progressOf("j-1")?.done, 0);
});
