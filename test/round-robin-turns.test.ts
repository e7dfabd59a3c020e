/** Round-robin turns between class queues (a class queue has the waiting jobs of one class of one team). */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { RoundRobinTurns } from "../src/admission/round-robin-turns.js";
import { ControllerHarness, jobSpec, type TaskStatus } from "./support/controller-harness.js";
import { leaderWithFairAdmission } from "./support/fair-admission.js";
import { FakeStore } from "./support/fake-store.js";
import { liveTasks, sendHeartbeatsFor } from "./support/scripted-agents.js";

const TURN_MS = 60_000;

interface WaitingJob {
  readonly uid: number;
  readonly spec: { readonly team: string; readonly jobClass: string };
  readonly queuedSince: number;
}

function waitingJob(uid: number, team: string, jobClass: string, queuedSince: number): WaitingJob {
  return { uid, spec: { team, jobClass }, queuedSince };
}

test("property: at most one job of each other class queue precedes the oldest job of a class queue that is due, for any contents of the queues", () => {
  const jobFields = fc.record({
    team: fc.constantFrom("a", "b", "c"),
    jobClass: fc.constantFrom("x", "y"),
    queuedSince: fc.integer({ min: 0, max: 200_000 }),
  });
  fc.assert(
    fc.property(
      fc.array(jobFields, { minLength: 1, maxLength: 60 }),
      fc.integer({ min: 0, max: 300_000 }),
      (list, now) => {
        const jobs = list.map(({ team, jobClass, queuedSince }, index) =>
          waitingJob(index, team, jobClass, Math.min(queuedSince, now)),
        );
        const turns = new RoundRobinTurns();
        const due = turns.due(jobs, TURN_MS, now);
        const dueClassQueues = new Set([...due].map(({ spec }) => `${spec.team} ${spec.jobClass}`));

        assert.equal(dueClassQueues.size, due.size, "one job of each class queue is due");

        for (const job of jobs) {
          const olderJobs = jobs.filter(
            ({ spec, queuedSince }) =>
              spec.team === job.spec.team &&
              spec.jobClass === job.spec.jobClass &&
              queuedSince < job.queuedSince,
          );
          if (olderJobs.length === 0 && now - job.queuedSince >= TURN_MS)
            assert.ok(
              [...due].some(({ spec }) => spec.team === job.spec.team && spec.jobClass === job.spec.jobClass),
            );
        }
        const places = turns.classQueuePositions(jobs);
        for (const job of due) {
          const jobsBefore = jobs.filter(
            (other) => other !== job && (places.get(other) ?? 0) < (places.get(job) ?? 0),
          );
          assert.deepEqual(jobsBefore, []);
        }
      },
    ),
    { numRuns: 300, seed: 20_261_202 },
  );
});

test("a class queue is due for a round-robin turn once none of its jobs has started for the turn period, until one starts", () => {
  const turns = new RoundRobinTurns();
  const smallJobs = Array.from({ length: 1000 }, (_, i) => waitingJob(i, "a", "x", i));
  const hugeJob = waitingJob(9999, "b", "y", 500);
  turns.onStarted(waitingJob(-1, "a", "x", 0), 59_000);

  assert.deepEqual([...turns.due([...smallJobs, hugeJob], TURN_MS, 60_000)], []);
  assert.deepEqual([...turns.due([...smallJobs, hugeJob], TURN_MS, 60_500)], [hugeJob]);

  turns.onStarted(hugeJob, 61_000);
  assert.deepEqual([...turns.due([...smallJobs, hugeJob], TURN_MS, 100_000)], []);
  assert.equal(turns.longestWaitMs("b", [hugeJob], 100_000), 39_000);
});

test("during a flood of small jobs another team's huge array gets its round-robin turn, also under a new leader", () => {
  const store = new FakeStore();
  const settings = { admission_rate: 10_000, admission_turn_s: 30 };
  store.run({ kind: "transaction", conditions: [], changes: [{ put: "c/settings", value: settings }] }, 0);
  const tasksByMachine = new Map<string, TaskStatus[]>([["A", []]]);
  let uid = 100;
  const startedTasks = () => liveTasks(tasksByMachine, "A", "j-7").length;
  /** Advances up to `seconds` until j-7 starts, and submits small jobs that each end within a second. */
  const runUntilStarted = (leader: ControllerHarness, seconds: number) => {
    for (let second = 0; second < seconds && startedTasks() === 0; second++) {
      const jobs = [...(leader.controller.leaderTerm?.cluster.jobs.values() ?? [])];
      for (let missing = 12 - jobs.filter((job) => job.pendingCount > 0).length; missing > 0; missing--)
        leader.submit(jobSpec(`j-${uid++}`, { tasks: 1, estimateS: 1, team: "red" }));
      sendHeartbeatsFor(leader, tasksByMachine, {}, 1);
      const endedStatuses = (tasksByMachine.get("A") ?? []).map((status) =>
        status.uid === "j-7" ? status : { ...status, state: "ended" as const, exitReason: "done" as const },
      );
      tasksByMachine.set("A", endedStatuses);
    }
  };
  const firstLeader = leaderWithFairAdmission(store);
  firstLeader.sendHeartbeat("A");
  runUntilStarted(firstLeader, 6);
  firstLeader.submit(jobSpec("j-7", { tasks: 5000, estimateS: 50, team: "blue", jobClass: "bulk" }));
  runUntilStarted(firstLeader, 6);

  assert.equal(startedTasks(), 0, "the small jobs are placed first for a while");

  const nextLeader = new ControllerHarness("n1", store, { admission: true });
  nextLeader.now = firstLeader.now + 5000;
  store.expire(nextLeader.now);
  nextLeader.becomeLeader();
  runUntilStarted(nextLeader, 20);

  assert.ok(startedTasks() > 0, "its queue time counts from its acceptance");
});
