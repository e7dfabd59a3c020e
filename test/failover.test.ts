/** What a new leader waits for before it starts again what its predecessor may still have running (I3). */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ControllerHarness } from "./support/controller-harness.js";
import { leaderWithRunningTask, newLeaderAwaitingAgent } from "./support/leaders.js";

/** How many ms after its election the leader starts j-1 again, machine A being silent and B alive; 60 s at most. */
function restartDelayMs(harness: ControllerHarness, eachStep: () => void = () => {}): number {
  harness.cloudRule = () => ({ kind: "unavailable", reason: "down" });
  const electedAt = harness.controller.leaderTerm?.lease.electedAt ?? 0;
  while (harness.startCommands("j-1").length === 0 && harness.now < electedAt + 60_000) {
    harness.sendHeartbeat("B", [], { zone: "b" });
    eachStep();
    harness.advance(250);
  }
  return harness.now - electedAt;
}

test("a new leader waits for the previous leader's grace period and the agent lease before it restarts tasks of a silent machine", () => {
  const { harness } = newLeaderAwaitingAgent();
  harness.cloudRule = () => ({ kind: "unavailable", reason: "down" });
  const electedAt = harness.controller.leaderTerm?.lease.electedAt ?? 0;
  const boundMs = harness.controller.election.gracePeriodMs + 3000 + 12_000;
  const heartbeatFromB = () => harness.sendHeartbeat("B", [], { zone: "b" });
  while (harness.now < electedAt + boundMs) {
    heartbeatFromB();
    harness.advance(1000);
    if (harness.now < electedAt + boundMs) assert.deepEqual(harness.startCommands("j-1"), []);
  }
  for (let i = 0; i < 4; i++) {
    heartbeatFromB();
    harness.advance(1000);
  }

  assert.equal(harness.startCommands("j-1").length, 1);
});

test("a new leader skips the previous leader's grace period only once every peer has shown the new fencing token", () => {
  for (const peers of [["n0", "n2"], ["n2"], ["n0"]]) {
    const { harness } = newLeaderAwaitingAgent();
    const token = harness.controller.leaderTerm?.lease.fencingToken ?? 0;
    const receiveToken = (fencingToken: number) => {
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
    receiveToken(token - 1);
    const delayMs = restartDelayMs(harness, () => {
      if (harness.now - (harness.controller.leaderTerm?.lease.electedAt ?? 0) > 2000) receiveToken(token);
    });
    const gracePeriodMs = harness.controller.election.gracePeriodMs;
    if (peers.length === 2) assert.ok(delayMs > 14_000 && delayMs < 16_000, `${delayMs} ms`);
    else assert.ok(delayMs > gracePeriodMs + 14_000, `${delayMs} ms, only ${peers.join()}`);
  }
});

test("a node re-elected with no other leader between waits only from its own last reply, and in full after any other leader", () => {
  for (const anotherLedBetween of [false, true]) {
    const { harness } = leaderWithRunningTask();
    harness.storeRule = () => ({ kind: "unavailable", reason: "cut off" });
    let steppedDownAt = 0;
    const leaderLease = () => harness.controller.election.lease;
    while (leaderLease()) {
      harness.advance(100);
      steppedDownAt = harness.now;
    }
    harness.storeRule = null;
    if (anotherLedBetween) {
      // Another node has been leader in the meantime: the epoch key shows it.
      const epochRecord = harness.store.entries.get("c/epoch");
      const raisedEpoch = { put: "c/epoch", value: { token: 2 } };
      harness.store.run(
        {
          kind: "transaction",
          conditions: [{ key: "c/epoch", version: epochRecord?.version ?? 0 }],
          changes: [raisedEpoch],
        },
        harness.now,
      );
    }
    harness.advance(3000);
    const newLease = leaderLease();

    assert.ok(newLease, "it leads again");

    harness.sentCommands.length = 0;
    const delayMs = restartDelayMs(harness) + newLease.electedAt - steppedDownAt;
    const fullDelayMs = harness.controller.election.gracePeriodMs + 12_000;
    if (anotherLedBetween) assert.ok(delayMs > fullDelayMs, `${delayMs} ms`);
    else assert.ok(delayMs > 12_000 && delayMs < 16_000, `${delayMs} ms`);
  }
});

test("a node that restarts and is re-elected at once also waits for the grace period of the leader before its own previous term", () => {
  // n0 led, then n1, which restarted within a fraction of a second: n0 may still be in its grace period, renewing A's
  // lease (I3).
  const { harness: previousLeader } = leaderWithRunningTask();
  previousLeader.store.expire(previousLeader.now + 60_000);
  const firstTermOfN1 = new ControllerHarness("n1", previousLeader.store, "n1-1");
  firstTermOfN1.now = previousLeader.now + 60_000;
  firstTermOfN1.becomeLeader();
  const secondTermOfN1 = new ControllerHarness("n1", previousLeader.store, "n1-2");
  secondTermOfN1.now = firstTermOfN1.now + 100;
  secondTermOfN1.becomeLeader();

  assert.ok(secondTermOfN1.controller.leaderTerm, "it succeeds its own previous process at once");

  secondTermOfN1.cloudRule = () => ({ kind: "unavailable", reason: "down" });
  const gracePeriodMs = secondTermOfN1.controller.election.gracePeriodMs;
  const graceEndsAt = secondTermOfN1.now + gracePeriodMs + 12_000;
  while (secondTermOfN1.now < graceEndsAt - 1000) {
    secondTermOfN1.sendHeartbeat("B", [], { zone: "b" });
    secondTermOfN1.advance(1000);
    assert.deepEqual(secondTermOfN1.startCommands("j-1"), []);
  }
});
