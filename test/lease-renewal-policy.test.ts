/** How long a leader may go on renewing agent leases without the store (I1: it may not know of cancellations). */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ControllerHarness } from "./support/controller-harness.js";
import { FakeStore } from "./support/fake-store.js";
import { leaderWithRunningTask } from "./support/leaders.js";
import { STORE_OUTAGE } from "./support/store-outage.js";

/** What a peer that can't reach the store either sends; it knows fencing token 1. */
const PEER_IN_OUTAGE = {
  kind: "heartbeat",
  fencingToken: 1,
  leader: null,
  storeHealthy: false,
  agentsHeard: 0,
} as const;

test("a leader whose knowledge of cancellations is stale renews agent leases only while they expire within the cancellation deadline", () => {
  // I1: whether keep-alives succeed or not, what counts is the age of the last job watch response. `cancel_s` is 40 s,
  // an agent lease 12 s.
  for (const renewals of [true, false]) {
    const { harness, attempt } = leaderWithRunningTask();
    harness.storeRule = (call) =>
      renewals && (call.kind === "renewLease" || call.kind === "transaction") ? null : STORE_OUTAGE;
    const confirmedAt = harness.now;
    // Another node may confirm a cancellation in the next instant, and this leader would not learn of it.
    let lastRenewedAt = confirmedAt;
    while (harness.now < confirmedAt + 60_000) {
      // In an outage that all nodes share the peers are heard, and the grace period is the longest.
      harness.handle({ kind: "peerMessage", from: "n1", message: PEER_IN_OUTAGE });
      const reply = harness.sendHeartbeat("A", [{ uid: "j-1", task: 0, attempt, state: "running" }]);
      if (reply?.kind === "commands") lastRenewedAt = harness.now;
      harness.advance(500);
    }

    assert.ok(
      lastRenewedAt - confirmedAt + 12_000 < 40_000,
      `a lease renewed ${lastRenewedAt - confirmedAt} ms after the confirmation`,
    );
    assert.ok(
      lastRenewedAt - confirmedAt > 20_000,
      `the last lease is renewed after ${lastRenewedAt - confirmedAt} ms already`,
    );
  }
});

test("an idle leader keeps its leadership and renews agent leases, however short the cancellation deadline is against the lease", () => {
  // Found in a run against real processes: between two responses of a watch the watermark of known cancellations grew
  // older than the staleness bound allows.
  for (const cancelS of [40, 10, 8, 5]) {
    const harness = new ControllerHarness("n0", new FakeStore(), "n0-1", {
      leaseS: 4,
      cancelS,
    }).becomeLeader();
    const token = harness.controller.election.lease?.firstFencingToken;
    for (let i = 0; i < 60; i++) {
      assert.equal(harness.sendHeartbeat("A")?.kind, "commands", `${cancelS} s: ${i / 2} s`);
      harness.advance(500);
    }
    assert.equal(harness.controller.election.lease?.firstFencingToken, token, `${cancelS} s`);
  }
});

test("a leader resumed after a pause does not reply to queued heartbeats if its knowledge of cancellations is stale by then", () => {
  const { harness, attempt } = leaderWithRunningTask();
  // Keep-alives are answered to the last, the job watch is not; then the process is paused for 21 s, and finds a peer's
  // heartbeat and an agent's in its queue (I1).
  harness.storeRule = (call) => (call.kind === "watch" ? STORE_OUTAGE : null);
  harness.advance(6000);
  harness.now += 21_000;
  harness.handle({ kind: "peerMessage", from: "n1", message: PEER_IN_OUTAGE });
  const reply = harness.sendHeartbeat("A", [{ uid: "j-1", task: 0, attempt, state: "running" }]);

  assert.notEqual(reply?.kind, "commands");
});

test("a leader cut off from store and peers stops renewing agent leases after two lease periods, and is not ready", () => {
  for (const isIsolated of [true, false]) {
    const { harness } = leaderWithRunningTask();
    const advanceSeconds = (seconds: number) => {
      for (let second = 0; second < seconds; second++) {
        if (!isIsolated)
          harness.handle({
            kind: "peerMessage",
            from: "n1",
            message: { ...PEER_IN_OUTAGE, fencingToken: 0 },
          });
        harness.advance(1000);
      }
    };
    advanceSeconds(1);
    harness.storeRule = () => ({ kind: "unavailable", reason: "cut off" });
    advanceSeconds(6);

    assert.equal(harness.sendHeartbeat("A")?.kind, "commands", "within the grace period");

    advanceSeconds(6);
    assert.equal(harness.sendHeartbeat("A")?.kind === "commands", !isIsolated, `alone: ${isIsolated}`);
    assert.equal(
      harness.controller.isReady,
      !isIsolated,
      "a node stays ready in an outage that all nodes share",
    );
    assert.equal(harness.poll("j-1")?.kind, "unavailable", "users are answered at once");
  }
});
