/** All tasks of a gang are started together and stopped together. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { fencingTokenOf } from "../src/core/model/attempt-number.js";
import { ControllerHarness, jobSpec, type TaskStatus } from "./support/controller-harness.js";

const GPU_MACHINE = { type: "gpu" } as const;

test("all tasks of a gang start together, in one zone and with the same attempt number, or none of them starts", () => {
  const harness = new ControllerHarness().becomeLeader();
  const spec = { shape: "gang", priority: 2, tasks: 2, types: ["gpu"], oneZone: true } as const;
  const tasksByMachine = new Map<string, TaskStatus[]>([
    ["A", []],
    ["B", []],
  ]);
  harness.sendHeartbeat("A", [], GPU_MACHINE);
  harness.sendHeartbeat("B", [], { ...GPU_MACHINE, zone: "b" });
  harness.submit(jobSpec("j-1", { ...spec, need: { cpu: 5000, gpu: 1000, ram: 1000 } }));
  harness.advance(500);

  assert.deepEqual(harness.startCommands("j-1"), []);

  tasksByMachine.set("C", []);
  harness.sendHeartbeat("C", [], GPU_MACHINE);
  harness.advance(1200);
  const starts = harness.startCommands("j-1");

  assert.deepEqual(starts.map((start) => start.machine).sort(), ["A", "C"]);
  assert.equal(new Set(starts.map((start) => start.attempt)).size, 1);
  assert.ok(fencingTokenOf(starts[0]?.attempt ?? 0) > 0);
});

test("when a task of a gang fails, the others are stopped, and the gang restarts only after all of them have ended", () => {
  const harness = new ControllerHarness().becomeLeader();
  const machineFields = { A: GPU_MACHINE, B: GPU_MACHINE };
  for (const name of ["A", "B"]) harness.sendHeartbeat(name, [], GPU_MACHINE);
  harness.submit(
    jobSpec("j-1", {
      shape: "gang",
      priority: 2,
      tasks: 2,
      need: { cpu: 5000, gpu: 1000, ram: 1000 },
      types: ["gpu"],
    }),
  );
  harness.advance(200);
  const [first, second] = harness.startCommands("j-1");

  assert.ok(first && second);

  const statusOf = (
    start: typeof first,
    state: TaskStatus["state"],
    exitReason: TaskStatus["exitReason"] = null,
  ): TaskStatus => ({
    uid: "j-1",
    task: start.task,
    attempt: start.attempt,
    state,
    exitReason,
  });
  harness.replyToCommands(first.machine, [statusOf(first, "running")], machineFields.A);
  harness.replyToCommands(second.machine, [statusOf(second, "running")], machineFields.B);
  harness.sendHeartbeat(first.machine, [statusOf(first, "ended", "error")], GPU_MACHINE);
  harness.advance(500);

  assert.deepEqual(harness.commandedTasks("stop", "j-1"), [`${second.machine} ${second.task}`]);
  assert.equal(harness.startCommands("j-1").length, 2);

  harness.replyToCommands(second.machine, [statusOf(second, "ended", "stopped")], GPU_MACHINE);
  harness.advance(2500);
  const restarts = harness.startCommands("j-1").slice(2);

  assert.equal(restarts.length, 2);
  assert.ok(restarts.every((start) => start.attempt !== first.attempt));
});
