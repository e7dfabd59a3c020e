/** Scheduling rounds and pending reasons. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ControllerHarness, jobSpec, type TaskStatus } from "./support/controller-harness.js";
import { executeCommands, liveTasks } from "./support/scripted-agents.js";

test("a queued job shows its pending reason, and its starvation is logged only once", () => {
  const harness = new ControllerHarness().becomeLeader();
  harness.sendHeartbeat("A");
  harness.submit(jobSpec("j-1", { types: ["gpu"], need: { cpu: 1000, gpu: 1000, ram: 1000 } }));
  harness.advance(3000);
  const queue = harness.controller.status().queue as { job: string; why: string }[];

  assert.equal(queue.find((entry) => entry.job === "j-1")?.why, "no machine has room");

  // Guards against logging it in every round: 6,000 such lines made up most of the log of one scenario.
  for (let i = 0; i < 200; i++) {
    harness.sendHeartbeat("A");
    harness.advance(1000);
  }
  assert.equal(harness.logLines.filter((text) => text === "job is starving").length, 1);
});

test("a scheduling round that exceeds its time budget resumes where it stopped", () => {
  const harness = new ControllerHarness().becomeLeader();
  const tasksByMachine = new Map<string, TaskStatus[]>([
    ["A", []],
    ["B", []],
  ]);
  harness.sendHeartbeat("A");
  harness.sendHeartbeat("B");
  // Every round has used up its time budget after one job.
  harness.isBudgetSpent = () => true;
  for (let i = 1; i <= 5; i++) harness.submit(jobSpec(`j-${i}`));
  executeCommands(harness, tasksByMachine);

  assert.ok((harness.controller.leaderTerm?.scheduler.interruptedRounds ?? 0) > 0);

  for (let i = 1; i <= 5; i++) {
    const running = ["A", "B"].reduce(
      (sum, name) => sum + liveTasks(tasksByMachine, name, `j-${i}`).length,
      0,
    );
    assert.equal(running, 1, `j-${i}`);
  }
});
