/** Handling of faults within the controller. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { leaderWithRunningTask } from "./support/leaders.js";

test("an exception in the core makes the leader step down, and the process keeps running", () => {
  const { harness } = leaderWithRunningTask();
  // A machine index that the interner has not assigned causes an exception. The poll that follows the heartbeat in the
  // same batch must still be answered.
  const heartbeat = { ...harness.makeHeartbeat("A"), machine: 9999 };
  harness.handle(
    { kind: "heartbeat", requestId: 800, heartbeat, body: null },
    { kind: "poll", requestId: 801, uid: "j-1" },
  );
  harness.handle({ kind: "tick" });

  assert.deepEqual(harness.errorLines, ["command failed"]);
  assert.equal(harness.userResponse(801)?.kind, "status");
  assert.equal(harness.controller.leaderName === null || harness.controller.election.lease === null, true);

  harness.advance(6000);
  assert.ok(harness.controller.election.lease, "the node is re-elected");
  assert.equal(harness.controller.status().jobs, 1, "the jobs are restored from the records");
});
