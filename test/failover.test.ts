/** How long a new leader waits before it restarts tasks that may still be running from the previous term (I3). */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ControllerHarness } from "./support/controller-harness.js";
import { leaderWithRunningTask, newLeaderAwaitingAgent } from "./support/leaders.js";

/**
 * Returns the time in ms from the leader's election until it restarts j-1, while machine A sends no heartbeats and B
 * does. Gives up after 60 s.
 */
function restartDelayMs(harness: ControllerHarness, onEachStep: () => void = () => {}): number {
  harness.cloudRule = () => ({ kind: "unavailable", reason: "down" });
  const electedAt = harness.controller.leaderTerm?.lease.electedAt ?? 0;
  while (harness.startCommands("j-1").length === 0 && harness.now < electedAt + 60_000) {
    harness.sendHeartbeat("B", [], { zone: "b" });
    onEachStep();
    harness.advance(250);
  }
  return harness.now - electedAt;
}

test("before a new leader restarts tasks of a machine that sends no heartbeats, it waits for the previous leader's lease and grace period and for the agent lease", () => {
  const { harness } = newLeaderAwaitingAgent();
  harness.cloudRule = () => ({ kind: "unavailable", reason: "down" });
  const electedAt = harness.controller.leaderTerm?.lease.electedAt ?? 0;
  // The leader lease is 3 s, the agent lease 12 s.
  const minDelayMs = harness.controller.election.gracePeriodMs + 3000 + 12_000;
  const sendHeartbeatFromB = () => harness.sendHeartbeat("B", [], { zone: "b" });
  while (harness.now < electedAt + minDelayMs) {
    sendHeartbeatFromB();
    harness.advance(1000);
    if (harness.now < electedAt + minDelayMs) assert.deepEqual(harness.startCommands("j-1"), []);
  }
  for (let i = 0; i < 4; i++) {
    sendHeartbeatFromB();
    harness.advance(1000);
  }

  assert.equal(harness.startCommands("j-1").length, 1);
});

test("a new leader skips the previous leader's grace period only once all peers have sent the new fencing token", () => {
  for (const peers of [["n0", "n2"], ["n2"], ["n0"]]) {
    const { harness } = newLeaderAwaitingAgent();
    const token = harness.controller.leaderTerm?.lease.fencingToken ?? 0;
    const receiveTokenFromPeers = (fencingToken: number) => {
      for (const from of peers) {
        const message = {
          kind: "heartbeat",
          fencingToken,
          leader: null,
          storeHealthy: true,
          agentsHeard: 1,
        } as const;
        harness.handle({ kind: "peerMessage", from, message });
      }
    };
    receiveTokenFromPeers(token - 1);
    const delayMs = restartDelayMs(harness, () => {
      if (harness.now - (harness.controller.leaderTerm?.lease.electedAt ?? 0) > 2000)
        receiveTokenFromPeers(token);
    });
    const gracePeriodMs = harness.controller.election.gracePeriodMs;
    if (peers.length === 2) assert.ok(delayMs > 14_000 && delayMs < 16_000, `${delayMs} ms`);
    else assert.ok(delayMs > gracePeriodMs + 14_000, `${delayMs} ms, only ${peers.join()} sent the token`);
  }
});

test("a re-elected node counts the wait from its own last reply if there was no other leader in between, and otherwise waits in full", () => {
  for (const hadOtherLeader of [false, true]) {
    const { harness } = leaderWithRunningTask();
    harness.storeRule = () => ({ kind: "unavailable", reason: "network partition" });
    let steppedDownAt = 0;
    const leaderLease = () => harness.controller.election.lease;
    while (leaderLease()) {
      harness.advance(100);
      steppedDownAt = harness.now;
    }
    harness.storeRule = null;
    if (hadOtherLeader) {
      // The raised epoch key shows that another node has been leader in the meantime.
      const epochRecord = harness.store.entries.get("c/epoch");
      const epochChange = { put: "c/epoch", value: { token: 2 } };
      harness.store.run(
        {
          kind: "transaction",
          conditions: [{ key: "c/epoch", version: epochRecord?.version ?? 0 }],
          changes: [epochChange],
        },
        harness.now,
      );
    }
    harness.advance(3000);
    const newLease = leaderLease();

    assert.ok(newLease, "the node is re-elected");

    harness.sentCommands.length = 0;
    const delayMs = restartDelayMs(harness) + newLease.electedAt - steppedDownAt;
    const fullDelayMs = harness.controller.election.gracePeriodMs + 12_000;
    if (hadOtherLeader) assert.ok(delayMs > fullDelayMs, `${delayMs} ms`);
    else assert.ok(delayMs > 12_000 && delayMs < 16_000, `${delayMs} ms`);
  }
});

test("a node that restarts and is re-elected at once also waits for the grace period of the leader that preceded its previous term", () => {
  // n0 was leader, followed by n1, which restarted within a fraction of a second. n0 may still be in its grace period
  // and renew the agent lease of A (I3).
  const { harness: previousLeader } = leaderWithRunningTask();
  previousLeader.store.expire(previousLeader.now + 60_000);
  const firstProcessOfN1 = new ControllerHarness("n1", previousLeader.store);
  firstProcessOfN1.now = previousLeader.now + 60_000;
  firstProcessOfN1.becomeLeader();
  const secondProcessOfN1 = new ControllerHarness("n1", previousLeader.store, { incarnation: "n1-2" });
  secondProcessOfN1.now = firstProcessOfN1.now + 100;
  secondProcessOfN1.becomeLeader();

  assert.ok(secondProcessOfN1.controller.leaderTerm, "the restarted process is re-elected at once");

  secondProcessOfN1.cloudRule = () => ({ kind: "unavailable", reason: "down" });
  const gracePeriodMs = secondProcessOfN1.controller.election.gracePeriodMs;
  const waitEndsAt = secondProcessOfN1.now + gracePeriodMs + 12_000;
  while (secondProcessOfN1.now < waitEndsAt - 1000) {
    secondProcessOfN1.sendHeartbeat("B", [], { zone: "b" });
    secondProcessOfN1.advance(1000);
    assert.deepEqual(secondProcessOfN1.startCommands("j-1"), []);
  }
});

test("the log shows how long each leader replies after its lease, for how long the next one expects that, and what the end of an agent lease was computed from", () => {
  const { harness: previousLeader } = leaderWithRunningTask();
  previousLeader.storeRule = () => ({ kind: "unavailable", reason: "network partition" });
  previousLeader.advance(20_000);
  const steppedDown =
    previousLeader.logFields.get("stepped down") ?? assert.fail("the leader is still leading");

  assert.equal(steppedDown.grace_period_ms, 6000, "isolated: two lease periods");
  assert.equal(Number(steppedDown.lease_expired_ms) >= 6000, true);

  const { harness } = newLeaderAwaitingAgent();
  const elected = harness.logFields.get("elected leader") ?? assert.fail("no leader was elected");
  assert.ok(Number(elected.earlier_leaders_reply_ms) >= harness.controller.election.gracePeriodMs);
  assert.equal(elected.earlier_leaders_bound, "epoch record");

  restartDelayMs(harness);
  const expired = harness.logFields.get("placements on machine ended") ?? assert.fail("no lease has expired");
  assert.equal(expired.reason, "agent lease expired");
  assert.equal(expired.fenced, false);
  assert.equal(expired.replied_ms_ago, null);
  assert.ok(Number(expired.earlier_leaders_ended_ms_ago) >= 12_000, "the agent lease");
});
