/** Filtering and ranking of the machines for the placement of a task. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ControllerHarness, jobSpec, type TaskStatus } from "./support/controller-harness.js";
import { executeCommands, liveTasks } from "./support/scripted-agents.js";

test("at most half of the replicas of a service with spread, rounded up, are placed in one zone", () => {
  const harness = new ControllerHarness().becomeLeader();
  const tasksByMachine = new Map<string, TaskStatus[]>([["A", []]]);
  harness.sendHeartbeat("A");
  harness.submit(jobSpec("j-1", { shape: "service", priority: 3, tasks: 3, spread: true, estimateS: 0 }));
  executeCommands(harness, tasksByMachine);

  assert.equal(liveTasks(tasksByMachine, "A").length, 2);
});

test("a service whose image is not cached on any machine is distributed over several machines, preferring those with the fewest cached images", () => {
  const harness = new ControllerHarness().becomeLeader();
  const tasksByMachine = new Map<string, TaskStatus[]>();
  const service = {
    shape: "service",
    priority: 3,
    estimateS: 0,
    need: { cpu: 500, gpu: 0, ram: 500 },
  } as const;
  tasksByMachine.set("A", []);
  harness.sendHeartbeat("A");
  harness.submit(jobSpec("j-1", { ...service, tasks: 5, image: "one" }));
  executeCommands(harness, tasksByMachine);

  assert.equal(liveTasks(tasksByMachine, "A", "j-1").length, 5);

  for (const name of ["B", "C", "D", "E"]) {
    tasksByMachine.set(name, []);
    harness.sendHeartbeat(name);
  }
  harness.submit(jobSpec("j-2", { ...service, tasks: 8, image: "two" }));
  executeCommands(harness, tasksByMachine);
  const replicasByMachine = [...tasksByMachine.keys()].map(
    (name) => liveTasks(tasksByMachine, name, "j-2").length,
  );

  assert.deepEqual(replicasByMachine, [0, 2, 2, 2, 2]);
});
