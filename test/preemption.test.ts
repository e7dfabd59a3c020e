/** Preemption: which tasks are stopped in favour of which, when, and with what grace period for a checkpoint. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ControllerHarness, jobSpec, type TaskStatus } from "./support/controller-harness.js";
import { IDLE_JOB, WAIT_OBJECTIVE } from "./support/objectives.js";
import { executeCommands, liveTasks, sendHeartbeatsFor } from "./support/scripted-agents.js";

const GUARANTEE_OBJECTIVE = { kind: "guarantee", jobClass: null, withinS: 10, share: 0.9 } as const;

test("production work preempts lower priorities, with time for a checkpoint where supported; equal priorities do not preempt", () => {
  const harness = new ControllerHarness().becomeLeader();
  const tasksByMachine = new Map<string, TaskStatus[]>([["A", []]]);
  harness.sendHeartbeat("A");
  harness.submit(jobSpec("j-1", { tasks: 4, priority: 0, checkpointS: 5, saveS: 2 }));
  executeCommands(harness, tasksByMachine);

  assert.equal(liveTasks(tasksByMachine, "A", "j-1").length, 4);

  harness.submit(jobSpec("j-2", { tasks: 1, priority: 0, team: "blue" }));
  harness.advance(500);
  assert.deepEqual(harness.commandedTasks("stop", "j-1"), []);

  harness.submit(jobSpec("j-3", { shape: "service", priority: 3, estimateS: 0 }));
  harness.advance(200);
  const stop = harness.sentCommands
    .flatMap((batch) => batch.commands)
    .find((command) => command.kind === "stop");

  assert.ok(stop?.kind === "stop" && stop.graceS >= 2);
});

test("tasks started because their job was starving are protected from preemption for a while, except by production work", () => {
  const harness = new ControllerHarness().becomeLeader();
  const tasksByMachine = new Map<string, TaskStatus[]>([["A", []]]);
  harness.sendHeartbeat("A");
  harness.submit(jobSpec("j-1", { tasks: 4, priority: 2 }));
  executeCommands(harness, tasksByMachine);
  harness.submit(jobSpec("j-2", { priority: 0 }));
  sendHeartbeatsFor(harness, tasksByMachine, {}, 75);
  harness.submit(jobSpec("j-3", { tasks: 4, priority: 2 }));
  const firstTask = tasksByMachine.get("A")?.[0] ?? assert.fail();
  Object.assign(firstTask, { state: "ended", exitReason: "done" });
  sendHeartbeatsFor(harness, tasksByMachine, {}, 3);

  assert.equal(liveTasks(tasksByMachine, "A", "j-2").length, 1, "a starving job precedes higher priorities");

  sendHeartbeatsFor(harness, tasksByMachine, {}, 5);
  assert.equal(liveTasks(tasksByMachine, "A", "j-2").length, 1);

  harness.submit(jobSpec("j-4", { priority: 3, shape: "service", estimateS: 0 }));
  sendHeartbeatsFor(harness, tasksByMachine, {}, 3);
  assert.equal(liveTasks(tasksByMachine, "A", "j-4").length, 1);
});

test("preemption for an array within quota is deferred briefly, in case capacity becomes free", () => {
  const harness = ControllerHarness.withObjectives([GUARANTEE_OBJECTIVE]);
  const tasksByMachine = new Map<string, TaskStatus[]>([["A", []]]);
  harness.sendHeartbeat("A");
  harness.submit(jobSpec("j-1", { ...IDLE_JOB, tasks: 4, saveS: 2 }));
  executeCommands(harness, tasksByMachine);

  assert.equal(liveTasks(tasksByMachine, "A", "j-1").length, 4);

  const submittedAt = harness.now;
  harness.submit(jobSpec("j-2"));
  while (harness.now - submittedAt < 3500) {
    harness.sendHeartbeat("A", tasksByMachine.get("A"));
    harness.advance(100);
  }

  assert.deepEqual(harness.commandedTasks("stop", "j-1"), []);

  while (harness.now - submittedAt < 6000) {
    harness.sendHeartbeat("A", tasksByMachine.get("A"));
    harness.advance(100);
  }
  assert.equal(harness.commandedTasks("stop", "j-1").length, 1);
});

test("preemption stops tasks whose start objective is already met rather than tasks that would have to meet it again", () => {
  const harness = ControllerHarness.withObjectives([{ ...WAIT_OBJECTIVE, jobClass: "counted" }]);
  const tasksByMachine = new Map<string, TaskStatus[]>([["A", []]]);
  harness.sendHeartbeat("A");
  harness.submit(jobSpec("j-0", { tasks: 4, estimateS: 20 }));
  executeCommands(harness, tasksByMachine);
  tasksByMachine.set("B", []);
  harness.sendHeartbeat("B");
  harness.submit(jobSpec("j-1", { ...IDLE_JOB, jobClass: "counted", tasks: 4, saveS: 2 }));
  executeCommands(harness, tasksByMachine);
  sendHeartbeatsFor(harness, tasksByMachine, {}, 15);
  tasksByMachine.set(
    "A",
    liveTasks(tasksByMachine, "A", "j-0").map((status) => ({
      ...status,
      state: "ended",
      exitReason: "done",
    })),
  );
  harness.submit(jobSpec("j-2", { ...IDLE_JOB, jobClass: "counted", tasks: 4, saveS: 2 }));
  sendHeartbeatsFor(harness, tasksByMachine, {}, 2);

  assert.deepEqual(
    [liveTasks(tasksByMachine, "A", "j-2").length, liveTasks(tasksByMachine, "B", "j-1").length],
    [4, 4],
  );

  harness.submit(jobSpec("j-3", { shape: "service", priority: 3, estimateS: 0, imageGb: 0 }));
  harness.advance(200);
  assert.equal(harness.commandedTasks("stop", "j-1").length, 1);
  assert.deepEqual(harness.commandedTasks("stop", "j-2"), []);
});

// Guards against preempting tasks that are late in their run and have no checkpoints, only to avoid restarts of other
// tasks that no objective counts.
test("if no objective counts starts, tasks with checkpoints are preempted before tasks whose progress would be lost", () => {
  const harness = new ControllerHarness().becomeLeader();
  const tasksByMachine = new Map<string, TaskStatus[]>([["A", []]]);
  harness.sendHeartbeat("A");
  harness.submit(jobSpec("j-1", { ...IDLE_JOB, tasks: 4, checkpointS: 0, saveS: 0, estimateS: 60 }));
  executeCommands(harness, tasksByMachine);
  sendHeartbeatsFor(harness, tasksByMachine, {}, 4);
  tasksByMachine.set("B", []);
  harness.sendHeartbeat("B");
  harness.submit(jobSpec("j-2", { ...IDLE_JOB, tasks: 4, saveS: 2, estimateS: 60 }));
  executeCommands(harness, tasksByMachine);

  assert.deepEqual(
    [liveTasks(tasksByMachine, "A", "j-1").length, liveTasks(tasksByMachine, "B", "j-2").length],
    [4, 4],
  );

  harness.submit(jobSpec("j-3", { shape: "service", priority: 3, estimateS: 0, imageGb: 0 }));
  harness.advance(200);
  assert.equal(harness.commandedTasks("stop", "j-2").length, 1);
  assert.deepEqual(harness.commandedTasks("stop", "j-1"), []);
});

test("tasks that cannot save a checkpoint before an objective would be missed are preempted without a grace period", () => {
  for (const [saveS, graceful] of [
    [2, true],
    [4.5, false],
  ] as const) {
    const harness = ControllerHarness.withObjectives([WAIT_OBJECTIVE]);
    const tasksByMachine = new Map<string, TaskStatus[]>([["A", []]]);
    harness.sendHeartbeat("A");
    harness.submit(jobSpec("j-1", { ...IDLE_JOB, tasks: 4, saveS }));
    executeCommands(harness, tasksByMachine);
    harness.submit(jobSpec("j-2", { shape: "service", priority: 3, estimateS: 0 }));
    harness.advance(200);
    const stop = harness.sentCommands
      .flatMap((batch) => batch.commands)
      .find((command) => command.kind === "stop");

    assert.ok(stop?.kind === "stop");
    assert.equal(
      stop.graceS > 0,
      graceful,
      `saving a checkpoint takes ${saveS} s, and the objective is missed after 5 s`,
    );
  }
});
