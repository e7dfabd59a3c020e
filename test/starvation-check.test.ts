import assert from "node:assert/strict";
import { test } from "node:test";
import { newJob, SubmittedJobs } from "./model/jobs.js";
import { newMachine } from "./model/machines.js";
import { MAX_STARVATION_MS, StarvationCheck } from "./model/starvation-check.js";
import { deployment, TYPES } from "./support/deployment.js";
import { jobSpec } from "./support/job-spec.js";

/** Runs the check with one waiting job and one machine; returns the starving jobs and when they were reported. */
function findStarving(team: string, needCpu: number): { at: number; uid: string }[] {
  const [type] = TYPES;
  assert.ok(type);
  const machine = newMachine({
    name: "A",
    type,
    zone: "a",
    spot: false,
    createdAt: 0,
    bootedAt: 0,
    controllerIndex: 0,
  });
  const job = newJob(jobSpec("j-1", { team, need: { cpu: needCpu, gpu: 0, ram: 1000 } }), 0);
  job.acceptedAt = 0;
  const found: { at: number; uid: string }[] = [];
  let now = 0;
  const check = new StarvationCheck({
    machines: new Map([["A", machine]]),
    jobs: new SubmittedJobs([["j-1", job]]),
    teams: deployment("n0").teams,
    onViolation: (uid) => found.push({ at: now, uid }),
  });
  for (; now <= MAX_STARVATION_MS; now += 1000) check.run(now);
  return found;
}

test("the simulation's starvation check reports a job that waits despite free capacity, and none that cannot be placed", () => {
  assert.deepEqual(findStarving("red", 1000), [{ at: MAX_STARVATION_MS, uid: "j-1" }]);
  assert.deepEqual(findStarving("red", 1_000_000), [], "larger than any machine");
  assert.deepEqual(findStarving("nobody", 1000), [], "a team without a quota limit");
});
