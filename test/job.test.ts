/** The counts of a job's pending, placed and done tasks. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { Job } from "../src/core/model/job.js";
import type { Placement } from "../src/core/model/placement.js";
import { jobSpec } from "./support/controller-harness.js";

test("a gang that is done has no pending tasks while placements of it are left", () => {
  // Failure guarded against (quota): a negative number of pending tasks of a starving gang gave the quota reserved for
  // it to other jobs of its team twice.
  const gang = new Job(0, jobSpec("j-1", { shape: "gang", tasks: 3 }), 0, 1);
  for (const task of [0, 1, 2]) gang.addPlacement({ task, runningSince: null } as Placement);
  gang.removePlacement({ task: 0, runningSince: null } as Placement, 0);
  // The first task that is reported as done completes all of them.
  for (const task of [0, 1, 2]) gang.markDone(task);

  assert.equal(gang.pendingCount, 0);
  assert.equal(gang.nextPending(), null);
});
