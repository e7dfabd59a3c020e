/** Quota limits and guaranteed quotas of teams. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ControllerHarness, jobSpec, type TaskStatus } from "./support/controller-harness.js";
import { executeCommands, liveTasks, sendHeartbeatsFor } from "./support/scripted-agents.js";

const GPU_MACHINE = { type: "gpu" } as const;

test("the tasks of a team never use more than its quota limit", () => {
  const harness = new ControllerHarness().becomeLeader();
  const tasksByMachine = new Map<string, TaskStatus[]>();
  for (const name of ["A", "B", "C", "D", "E", "F", "G"]) {
    tasksByMachine.set(name, []);
    harness.sendHeartbeat(name);
  }
  harness.submit(jobSpec("j-1", { tasks: 40, team: "blue" }));
  executeCommands(harness, tasksByMachine);
  const running = [...tasksByMachine.keys()].reduce(
    (sum, name) => sum + liveTasks(tasksByMachine, name).length,
    0,
  );

  assert.equal(running, 16, "blue may use 16 CPUs of the 28");
});

test("work within a team's guaranteed quota is not preempted for another team's, so that two gangs never preempt each other in turn", () => {
  const harness = new ControllerHarness().becomeLeader();
  const tasksByMachine = new Map<string, TaskStatus[]>([["G", []]]);
  harness.sendHeartbeat("G", [], GPU_MACHINE);
  const gang = {
    shape: "gang",
    priority: 2,
    types: ["gpu"],
    need: { cpu: 6000, gpu: 2000, ram: 8000 },
    checkpointS: 5,
    saveS: 1,
    estimateS: 600,
  } as const;
  harness.submit(jobSpec("j-1", { ...gang, team: "red" }));
  executeCommands(harness, tasksByMachine, { G: GPU_MACHINE });

  assert.equal(liveTasks(tasksByMachine, "G", "j-1").length, 1);

  // Red exceeds its guaranteed quota with CPUs on other machines; its first gang still counts as within the quota.
  for (const name of ["A", "B", "C", "D"]) tasksByMachine.set(name, []);
  for (const name of ["A", "B", "C", "D"]) harness.sendHeartbeat(name);
  harness.submit(jobSpec("j-2", { tasks: 16, team: "red", estimateS: 600 }));
  executeCommands(harness, tasksByMachine, { G: GPU_MACHINE });
  harness.submit(jobSpec("j-3", { ...gang, team: "blue" }));
  sendHeartbeatsFor(harness, tasksByMachine, { G: GPU_MACHINE }, 20);

  assert.equal(liveTasks(tasksByMachine, "G", "j-1").length, 1);
  assert.deepEqual(harness.commandedTasks("stop", "j-1"), []);
});
