/** Election of the leader, fencing tokens, and stepping down. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { jobSpec } from "./support/controller-harness.js";
import { electNextLeader, leaderWithRunningTask } from "./support/leaders.js";

test("a leader whose lease has expired launches nothing and replies to heartbeats within the grace period only", () => {
  const { harness, attempt } = leaderWithRunningTask();
  const token = harness.controller.election.lease?.fencingToken;
  harness.storeRule = () => ({ kind: "unavailable", reason: "outage" });
  harness.advance(4000);

  assert.equal(harness.controller.election.hasValidLease, false);

  const reply = harness.sendHeartbeat("A", [{ uid: "j-1", task: 0, attempt, state: "running" }]);
  assert.ok(reply?.kind === "commands" && reply.fencingToken === token);
  assert.equal(harness.submit(jobSpec("j-2"))?.kind, "unavailable");

  harness.advance(40_000);
  assert.equal(harness.controller.leaderTerm, null);
  assert.notEqual(harness.sendHeartbeat("A")?.kind, "commands");
});

test("a leader whose lease is not found, or that sees a higher fencing token, steps down at once", () => {
  for (const evidence of ["grant", "token"]) {
    const { harness } = leaderWithRunningTask();
    if (evidence === "grant")
      harness.storeRule = (call) => (call.kind === "renewLease" ? { kind: "notFound" } : null);
    else harness.sendHeartbeat("B", [], { fencingToken: 99 });
    harness.advance(1000);
    if (evidence === "grant") harness.storeRule = null;

    assert.ok(
      harness.controller.leaderTerm === null || harness.controller.leaderTerm.lease.fencingToken > 1,
      evidence,
    );
  }
});

test("each leader's fencing token is higher than all before it, also after a leader has raised its own", () => {
  const { harness: leader } = leaderWithRunningTask();
  const firstToken = leader.controller.election.lease?.fencingToken ?? 0;
  for (let i = 0; i < 32; i++) {
    leader.advance(1000);
    leader.sendHeartbeat("A");
  }
  const raisedToken = leader.controller.election.lease?.fencingToken ?? 0;

  assert.ok(raisedToken > firstToken);

  const nextLeader = electNextLeader(leader);

  assert.ok((nextLeader.controller.election.lease?.fencingToken ?? 0) > raisedToken);
});
