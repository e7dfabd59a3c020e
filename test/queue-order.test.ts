/** Queue order: jobs that can still meet their objective, and starving jobs. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { isStarving } from "../src/core/scheduling/queue-order.js";
import { ControllerHarness, jobSpec, type TaskStatus } from "./support/controller-harness.js";
import { WAIT_OBJECTIVE } from "./support/objectives.js";
import { executeCommands, liveTasks, sendHeartbeatsFor } from "./support/scripted-agents.js";

const GPU_MACHINE = { type: "gpu" } as const;

test("array tasks that have missed their start objective are queued behind tasks that can still meet it", () => {
  const noGuarantee = { cpu: 0, gpu: 0, ram: 0 };
  const limit = { cpu: 20_000, gpu: 0, ram: 0 };
  const harness = ControllerHarness.withObjectives([{ ...WAIT_OBJECTIVE, withinS: 100 }], {
    teams: [{ name: "blue", guarantee: noGuarantee, limit }],
  });
  const tasksByMachine = new Map<string, TaskStatus[]>([["A", []]]);
  harness.sendHeartbeat("A");
  harness.submit(jobSpec("j-1", { tasks: 6, estimateS: 1, team: "blue" }));
  executeCommands(harness, tasksByMachine);

  assert.equal(liveTasks(tasksByMachine, "A", "j-1").length, 4);

  sendHeartbeatsFor(harness, tasksByMachine, {}, 50);
  harness.submit(jobSpec("j-2", { tasks: 1, estimateS: 60, team: "blue" }));
  const endFirstTasks = (count: number) =>
    tasksByMachine.set(
      "A",
      (tasksByMachine.get("A") ?? []).map((status, index) =>
        index < count ? { ...status, state: "ended", exitReason: "done" } : status,
      ),
    );
  endFirstTasks(1);
  sendHeartbeatsFor(harness, tasksByMachine, {}, 1);

  assert.deepEqual(
    [liveTasks(tasksByMachine, "A", "j-1").length, liveTasks(tasksByMachine, "A", "j-2").length],
    [3, 1],
  );
});

test("under a new leader a job that has started is not starving, and the wait of one that never started counts from its acceptance", () => {
  const leader = new ControllerHarness().becomeLeader();
  const tasksByMachine = new Map<string, TaskStatus[]>([["A", []]]);
  leader.sendHeartbeat("A");
  leader.submit(jobSpec("j-1", { tasks: 8 }));
  executeCommands(leader, tasksByMachine);
  leader.submit(jobSpec("j-2", { types: ["gpu"] }));
  tasksByMachine.set(
    "A",
    liveTasks(tasksByMachine, "A").map((status) => ({ ...status, state: "ended", exitReason: "done" })),
  );
  sendHeartbeatsFor(leader, tasksByMachine, {}, 2);
  leader.advance(5000);
  leader.store.expire(leader.now + 200_000);
  const nextLeader = new ControllerHarness("n1", leader.store);
  nextLeader.now = leader.now + 200_000;
  nextLeader.becomeLeader();
  const isStarvingWithoutPlacements = (uid: string) => {
    const job = nextLeader.controller.leaderTerm?.cluster.jobByUid(uid);
    assert.ok(job, uid);
    for (const placement of [...job.placements.values()])
      nextLeader.controller.leaderTerm?.cluster.removePlacement(placement, nextLeader.now);
    return isStarving(nextLeader.controller.ctx, job);
  };

  assert.deepEqual([isStarvingWithoutPlacements("j-1"), isStarvingWithoutPlacements("j-2")], [false, true]);
});

test("starving gangs that can still start within four minutes precede those that cannot, which regain precedence some minutes later", () => {
  const gang = { shape: "gang", priority: 2, types: ["gpu"], tasks: 2, oneZone: true } as const;
  const gangSpec = { ...gang, need: { cpu: 6000, gpu: 2000, ram: 8000 }, team: "red" };
  // When machines become free, j-1 can no longer start within four minutes; from 440 s on it precedes all jobs that
  // were submitted later.
  for (const [waitedS, expected] of [
    [230, "j-2"],
    [440, "j-1"],
  ] as const) {
    const harness = new ControllerHarness().becomeLeader();
    harness.submit(jobSpec("j-1", gangSpec));
    harness.advance((waitedS - 175) * 1000);
    harness.submit(jobSpec("j-2", gangSpec));
    harness.advance(175_000);
    const tasksByMachine = new Map<string, TaskStatus[]>([
      ["G0", []],
      ["G1", []],
    ]);
    sendHeartbeatsFor(harness, tasksByMachine, { G0: GPU_MACHINE, G1: GPU_MACHINE }, 3);
    const machinesRunning = (uid: string) =>
      [...tasksByMachine.keys()].filter((name) => liveTasks(tasksByMachine, name, uid).length > 0).length;

    assert.equal(machinesRunning(expected), 2, `after ${waitedS} s`);
  }
});
