/** Dependencies between jobs: when they are satisfied, and how priorities and deadlines are inherited. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { findGuaranteedJobs } from "../src/core/scheduling/guaranteed-quota.js";
import { readFinal } from "../src/core/store/records.js";
import { encodeJobStatus } from "../src/protocol/jobs.js";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";
import { leaderWithDependentJob, phaseOf, reportDone, writesFinalRecord } from "./support/dependent-jobs.js";
import { electNextLeader } from "./support/leaders.js";
import { STORE_OUTAGE } from "./support/store-outage.js";

test("a job starts once its dependencies are stored as done, not when a heartbeat reports them as done", () => {
  const { harness, runningTask } = leaderWithDependentJob();
  harness.advance(5000);
  assert.deepEqual(harness.startCommands("j-2"), []);

  // The transaction with the final record is pending and may still conflict with a cancellation (I8).
  harness.storeRule = (call) => (writesFinalRecord(call, "j-1") ? "hang" : null);
  reportDone(harness, runningTask);
  harness.advance(1000);

  assert.deepEqual(harness.startCommands("j-2"), []);
  assert.equal(phaseOf(harness.poll("j-2")), "queued");

  harness.storeRule = null;
  const hangingCall = harness.hangingCalls.pop();
  assert.ok(hangingCall && hangingCall.call.kind !== "watch");

  harness.handle({
    kind: "storeResponded",
    id: hangingCall.id,
    response: harness.store.run(hangingCall.call, harness.now),
  });
  harness.advance(500);
  assert.equal(harness.startCommands("j-2").length, 1);
});

test("a final record whose store response is lost satisfies dependencies only once the outcome of the write is known", () => {
  const { harness, runningTask } = leaderWithDependentJob();
  let lostResponses = 0;
  harness.storeRule = (call) => {
    if (!writesFinalRecord(call, "j-1") || lostResponses > 0) return null;
    lostResponses++;
    // The write is applied, and only the response is lost.
    if (call.kind !== "watch") harness.store.run(call, harness.now);
    return { kind: "timeout" };
  };
  reportDone(harness, runningTask);

  assert.equal(lostResponses, 1);
  assert.deepEqual(harness.startCommands("j-2"), []);

  harness.advance(1500);
  assert.equal(harness.startCommands("j-2").length, 1);
});

test("a new leader that has not read the final records does not start jobs that may depend on them", () => {
  const { harness: previousLeader, runningTask } = leaderWithDependentJob();
  previousLeader.submit(jobSpec("j-3", { awaits: ["j-2", "j-1"] }));
  reportDone(previousLeader, runningTask);
  previousLeader.advance(200);
  previousLeader.store.expire(previousLeader.now + 60_000);
  const newLeader = new ControllerHarness("n1", previousLeader.store);
  newLeader.now = previousLeader.now + 60_000;
  // j-1 has ended, so its state is stored only under its final key, and reads of that key fail for now.
  newLeader.storeRule = (call) => (call.kind === "get" && call.key.startsWith("f/") ? STORE_OUTAGE : null);
  newLeader.becomeLeader();
  newLeader.advance(3000);
  newLeader.sendHeartbeat("B");
  newLeader.advance(3000);

  assert.deepEqual(newLeader.startCommands("j-3"), []);
  assert.equal(newLeader.controller.leaderTerm?.cluster.jobByUid("j-3")?.dependenciesSatisfied, false);

  const finalRecord = readFinal(newLeader.store.entries.get("f/j-1")?.value);
  assert.equal(finalRecord?.state, "done");

  newLeader.storeRule = null;
  newLeader.advance(2500);
  const dependentJob = newLeader.controller.leaderTerm.cluster.jobByUid("j-2");

  assert.equal(dependentJob?.dependenciesSatisfied, true);
  assert.equal(
    dependentJob.queuedSince,
    finalRecord.at,
    "its queue time is measured from the recorded end of its dependencies",
  );
});

test("a job's deadline is measured from its acceptance and its queue time from when its dependencies were satisfied, also after a failover", () => {
  const { harness: leader, runningTask } = leaderWithDependentJob();
  leader.submit(jobSpec("j-3", { awaits: ["j-1"], deadlineS: 100 }));
  for (let i = 0; i < 30; i++) {
    leader.sendHeartbeat("A", [runningTask]);
    leader.advance(2000);
  }
  const acceptedAt =
    leader.controller.leaderTerm?.cluster.jobByUid("j-3")?.acceptedAt ??
    assert.fail("the leader does not know j-3");
  reportDone(leader, runningTask);
  leader.advance(1000);
  leader.store.expire(leader.now + 60_000);
  const nextLeader = new ControllerHarness("n1", leader.store);
  nextLeader.now = leader.now + 5000;
  nextLeader.becomeLeader();
  nextLeader.advance(2000);
  const restoredJob =
    nextLeader.controller.leaderTerm?.cluster.jobByUid("j-3") ?? assert.fail("the leader does not know j-3");

  assert.equal(restoredJob.dependenciesSatisfied, true);
  assert.equal(restoredJob.effectiveDeadlineAt, acceptedAt + 100_000);
  assert.ok(
    restoredJob.queuedSince - acceptedAt > 55_000,
    `${restoredJob.queuedSince - acceptedAt} ms between acceptance and queue time`,
  );
});

test("a job with unsatisfied dependencies is queued without using quota, ageing or causing scale-out; once they are satisfied, it counts in full", () => {
  const harness = new ControllerHarness().becomeLeader();
  harness.sendHeartbeat("A");
  harness.submit(jobSpec("j-1"));
  // Without the dependency, it would use the whole guaranteed quota of its team and fit on no machine.
  harness.submit(
    jobSpec("j-2", { awaits: ["j-1"], shape: "gang", tasks: 6, need: { cpu: 4000, gpu: 0, ram: 1000 } }),
  );
  harness.advance(300);
  const start = harness.startCommands("j-1")[0];

  assert.ok(start);

  const runningTask = { uid: "j-1", task: 0, attempt: start.attempt, state: "running" } as const;
  for (let i = 0; i < 100; i++) {
    harness.replyToCommands("A", [runningTask]);
    harness.sendHeartbeat("A", [runningTask]);
    harness.advance(2000);
  }
  const { leaderTerm } = harness.controller;
  const dependencyJob = leaderTerm?.cluster.jobByUid("j-1");
  const waitingJob = leaderTerm?.cluster.jobByUid("j-2");

  assert.ok(leaderTerm && dependencyJob && waitingJob);
  assert.equal(phaseOf(harness.poll("j-2")), "queued");
  assert.equal(waitingJob.pendingCount, 0);
  assert.deepEqual(leaderTerm.scheduler.blocked, []);
  assert.equal(harness.cloudCalls.filter(({ kind }) => kind === "create").length, 0);
  assert.ok(findGuaranteedJobs(harness.controller.ctx.deployment.teams, [dependencyJob]).has(dependencyJob));

  const { awaiting } = harness.controller.status() as { awaiting: unknown[] };
  assert.deepEqual(awaiting, [{ job: "j-2", tasks: 6, awaits: ["j-1"] }]);

  const poll = harness.poll("j-2");
  assert.ok(poll?.kind === "status");
  assert.deepEqual(encodeJobStatus(poll.status), {
    uid: "j-2",
    phase: "queued",
    done: 0,
    running: 0,
    awaits: ["j-1"],
  });

  // Its queue time starts only now, 200 s after its acceptance.
  reportDone(harness, runningTask);
  harness.advance(1000);
  assert.equal(waitingJob.pendingCount, 6);
  assert.ok(harness.controller.ctx.wallMs - waitingJob.queuedSince < 2000);
  assert.ok(harness.cloudCalls.some(({ kind }) => kind === "create"));
  assert.ok(
    !harness.logLines.includes("job is starving"),
    "the time spent waiting for dependencies is not queue time",
  );
});

test("jobs inherit the priority and deadline of their dependents until the dependents are cancelled", () => {
  const leader = new ControllerHarness().becomeLeader();
  leader.submit(jobSpec("j-1", { priority: 0, tasks: 8 }));
  leader.submit(jobSpec("j-2", { priority: 0, tasks: 8, estimateS: 20, awaits: ["j-1"] }));
  leader.advance(300);
  const effectiveOf = (uid: string) => {
    const job = leader.controller.leaderTerm?.cluster.jobByUid(uid);
    assert.ok(job);
    const { effectivePriority: priority, effectiveDeadlineAt: dueAt, acceptedAt } = job;
    return { priority, dueS: dueAt === null ? null : Math.round((dueAt - acceptedAt) / 1000) };
  };

  assert.deepEqual(effectiveOf("j-1"), { priority: 0, dueS: null });

  leader.submit(jobSpec("j-3", { priority: 2, deadlineS: 100, estimateS: 5, awaits: ["j-2", "j-1"] }));
  leader.advance(300);
  assert.deepEqual(effectiveOf("j-3"), { priority: 2, dueS: 100 });
  assert.deepEqual(effectiveOf("j-2"), { priority: 2, dueS: 95 });
  assert.deepEqual(effectiveOf("j-1"), { priority: 2, dueS: 75 });

  // A new leader computes the same values.
  const nextLeader = electNextLeader(leader);

  assert.equal(nextLeader.controller.leaderTerm?.cluster.jobByUid("j-1")?.effectivePriority, 2);

  nextLeader.cancel("j-3");
  nextLeader.advance(500);
  assert.equal(nextLeader.controller.leaderTerm.cluster.jobByUid("j-1")?.effectivePriority, 0);
  assert.equal(nextLeader.controller.leaderTerm.cluster.jobByUid("j-1")?.effectiveDeadlineAt, null);
});

test("a job with an inherited priority preempts other jobs only when the deadline of its dependent is at risk", () => {
  const harness = new ControllerHarness().becomeLeader();
  harness.sendHeartbeat("A");
  // Occupies the whole machine and cannot save checkpoints.
  harness.submit(jobSpec("j-1", { priority: 0, tasks: 4 }));
  harness.advance(300);
  const running = harness
    .startCommands("j-1")
    .map(({ task, attempt }) => ({ uid: "j-1", task, attempt, state: "running" as const }));

  assert.equal(running.length, 4);

  const runFor = (seconds: number) => {
    for (let i = 0; i < seconds; i++) {
      harness.replyToCommands("A", running);
      harness.sendHeartbeat("A", running);
      harness.advance(1000);
    }
  };
  harness.submit(jobSpec("j-2", { priority: 0, need: { cpu: 1000, gpu: 0, ram: 1000 } }));
  harness.submit(jobSpec("j-3", { priority: 2, deadlineS: 80, awaits: ["j-2"] }));
  runFor(20);

  assert.deepEqual(harness.commandedTasks("stop", "j-1"), [], "the deadline is not at risk yet");

  runFor(30);
  assert.equal(harness.commandedTasks("stop", "j-1").length > 0, true);

  // A job with a high priority of its own preempts other jobs at once.
  const highPriorityHarness = new ControllerHarness().becomeLeader();
  highPriorityHarness.sendHeartbeat("A");
  highPriorityHarness.submit(jobSpec("j-1", { priority: 0, tasks: 4 }));
  highPriorityHarness.advance(300);
  highPriorityHarness.replyToCommands(
    "A",
    highPriorityHarness
      .startCommands("j-1")
      .map(({ task, attempt }) => ({ uid: "j-1", task, attempt, state: "running" })),
  );
  highPriorityHarness.submit(jobSpec("j-2", { priority: 2, deadlineS: 80 }));
  highPriorityHarness.advance(1000);

  assert.ok(highPriorityHarness.commandedTasks("stop", "j-1").length > 0);
});
