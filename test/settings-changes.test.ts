/** Rules that hold although operators change settings while a node cannot learn of it. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ControllerHarness } from "./support/controller-harness.js";
import { leaderWithRunningTask } from "./support/leaders.js";
import { changeSettings, partitionFromStore } from "./support/partitions.js";

function hasValidLease(harness: ControllerHarness): boolean {
  return harness.controller.election.hasValidLease;
}

test("a leader whose TTL setting is raised during its term considers its lease valid no longer than the store keeps it", () => {
  // Failure guarded against: two leaders at once, as a keep-alive extends a lease by the TTL with which it was granted.
  const { harness: leader } = leaderWithRunningTask();
  changeSettings(leader, { leader_grant_ms: 9000 });
  leader.advance(5000);
  assert.ok(hasValidLease(leader));

  partitionFromStore(leader);
  const successor = new ControllerHarness("n1", leader.store);
  successor.now = leader.now;
  for (let i = 0; i < 100; i++) {
    leader.advance(100);
    successor.advance(100);
    assert.ok(
      !(hasValidLease(leader) && hasValidLease(successor)),
      `two valid leader leases ${(i + 1) * 100} ms after the partition`,
    );
  }
  assert.ok(hasValidLease(successor), "another node leads");
});

test("a leader whose TTL setting is raised during its term keeps its lease", () => {
  // Failure guarded against: keep-alives at a quarter of a longer TTL than the granted one come after its end.
  const { harness: leader } = leaderWithRunningTask();
  const token = leader.controller.election.lease?.firstFencingToken;
  changeSettings(leader, { leader_grant_ms: 20_000 });
  for (let second = 0; second < 30; second++) {
    leader.advance(1000);
    leader.sendHeartbeat("A");
    assert.equal(leader.controller.election.lease?.firstFencingToken, token, `after ${second + 1} s`);
  }
});
