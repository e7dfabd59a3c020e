/** Leader election, fencing tokens and stepping down. */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { StoreResponse } from "../src/core/messages/store.js";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";
import { FakeStore } from "./support/fake-store.js";
import { electNextLeader, leaderWithRunningTask } from "./support/leaders.js";

test("a leader whose leader lease has expired accepts no jobs, and replies to heartbeats only within the grace period", () => {
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

test("a leader steps down at once if the store no longer has its leader lease or if it sees a higher fencing token", () => {
  for (const evidence of ["lease", "token"]) {
    const { harness } = leaderWithRunningTask();
    if (evidence === "lease")
      harness.storeRule = (call) => (call.kind === "renewLease" ? { kind: "notFound" } : null);
    else harness.sendHeartbeat("B", [], { fencingToken: 99 });
    harness.advance(1000);
    if (evidence === "lease") harness.storeRule = null;

    assert.ok(
      harness.controller.leaderTerm === null || harness.controller.leaderTerm.lease.fencingToken > 1,
      evidence,
    );
  }
});

test("each leader's fencing token is higher than all previous ones, even if a leader has raised its token during its term", () => {
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

test("a node that has reported a higher fencing token does not become leader when its own election is confirmed late", () => {
  // Failure guarded against (ran_twice): from the token, the new leader concludes that no earlier leader replies to
  // agents.
  const store = new FakeStore();
  const changes = [{ put: "c/settings", value: { leader_grant_ms: 1000 } }];
  store.run({ kind: "transaction", conditions: [], changes }, 0);
  const late = new ControllerHarness("n1", store);
  const prompt = new ControllerHarness("n2", store);
  // The store executes what the campaign asks for at once, but each response takes 800 ms. Watches get none.
  const responses: StoreResponse[] = [];
  late.storeRule = (call) => {
    if (call.kind === "grantLease" || call.kind === "transaction") responses.push(store.run(call, late.now));
    return call.kind === "list" ? null : "hang";
  };
  const deliverResponse = () => {
    const id = late.hangingCalls.find(
      ({ call }) => call.kind === "grantLease" || call.kind === "transaction",
    )?.id;
    const response = responses.shift();
    assert.ok(id !== undefined && response);
    late.hangingCalls.length = 0;
    late.handle({ kind: "storeResponded", id, response });
  };
  late.advance(900);
  deliverResponse();
  prompt.now = late.now;
  for (let i = 0; i < 8; i++) {
    late.advance(100);
    prompt.advance(100);
  }
  const token = prompt.controller.election.lease?.fencingToken ?? assert.fail("no other leader");
  const heartbeat = prompt.heartbeats.get("n1") ?? assert.fail("no peer heartbeat");
  late.handle({ kind: "peerMessage", from: "n2", message: heartbeat });
  assert.equal(late.controller.election.highestTokenSeen, token);
  deliverResponse();

  assert.equal(late.controller.leaderTerm, null);
  assert.notEqual(late.sendHeartbeat("A")?.kind, "commands");
});
