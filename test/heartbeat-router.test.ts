/** Handling of agent heartbeats by a follower. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ControllerHarness } from "./support/controller-harness.js";
import { leaderWithRunningTask } from "./support/leaders.js";

test("a follower forwards agent heartbeats, without replying itself, while it receives heartbeats from the leader; otherwise it redirects agents to the leader", () => {
  const { harness: leader } = leaderWithRunningTask();
  const follower = new ControllerHarness("n1", leader.store);
  follower.now = leader.now;
  follower.advance(500);
  follower.handle({ kind: "peerLinkChanged", node: "n0", up: true });

  assert.deepEqual(
    follower.sendHeartbeat("C"),
    { kind: "redirect", node: "n0" },
    "an open link alone does not show that the leader is reachable",
  );

  const message = {
    kind: "heartbeat",
    fencingToken: 1,
    leader: "n0",
    storeHealthy: true,
    agentsHeard: 1,
  } as const;
  follower.handle({ kind: "peerMessage", from: "n0", message });
  assert.equal(follower.sendHeartbeat("C"), undefined, "the follower does not reply itself");
  assert.deepEqual(follower.forwardedTo, ["n0"]);

  for (let second = 0; second < 4; second++) {
    leader.now = follower.now;
    leader.advance(1000);
    follower.advance(1000);
  }
  assert.deepEqual(
    follower.sendHeartbeat("C"),
    { kind: "redirect", node: "n0" },
    "no heartbeats are received from the leader any more",
  );
});

test("a follower that knows no leader holds a heartbeat for a limited time, then redirects the agent to the next node", () => {
  const harness = new ControllerHarness("n1");
  harness.storeRule = () => ({ kind: "unavailable", reason: "" });
  harness.handle({ kind: "heartbeat", requestId: 77, heartbeat: harness.makeHeartbeat("C"), body: null });
  harness.advance(1000);

  assert.equal(harness.agentReply(77), undefined);

  harness.advance(1500);
  assert.deepEqual(harness.agentReply(77), { kind: "redirect", node: null });
});

test("a follower answers a duplicate heartbeat as unavailable and does not forward it to the leader", () => {
  const { harness: leader } = leaderWithRunningTask();
  const follower = new ControllerHarness("n1", leader.store);
  follower.now = leader.now;
  follower.advance(500);
  follower.handle({ kind: "peerLinkChanged", node: "n0", up: true });
  const heartbeat = follower.makeHeartbeat("C");
  follower.handle({ kind: "heartbeat", requestId: 901, heartbeat, body: null });
  follower.handle({ kind: "heartbeat", requestId: 902, heartbeat, body: null });

  assert.deepEqual(follower.agentReply(901), { kind: "redirect", node: "n0" });
  assert.deepEqual(follower.agentReply(902), { kind: "unavailable" });
  assert.deepEqual(follower.forwardedTo, []);
});
