/** Faults in the controller itself. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { leaderWithRunningTask } from "./support/leaders.js";

test("an exception in the core makes the leader step down and leaves the process running", () => {
  const { harness } = leaderWithRunningTask();
  // The fault: a machine index that the interner does not know. The poll behind it in the same batch is answered all
  // the same.
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
  assert.ok(harness.controller.election.lease, "it leads again");
  assert.equal(harness.controller.status().jobs, 1, "with the jobs restored from the records");
});
