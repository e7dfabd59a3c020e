/** Interruption notices of spot machines. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { AgentFleet } from "./support/agent-fleet.js";
import { ControllerHarness, jobSpec, type TaskStatus } from "./support/controller-harness.js";
import { executeCommands, liveTasks } from "./support/scripted-agents.js";

test("after an interruption notice only tasks with checkpoints are stopped, in time to save one, and the machine gets no new tasks", () => {
  const harness = new ControllerHarness().becomeLeader();
  const tasksByMachine = new Map<string, TaskStatus[]>([["A", []]]);
  const machineFields = { A: { spot: true } };
  harness.sendHeartbeat("A", [], machineFields.A);
  harness.submit(jobSpec("j-1", { spot: true, checkpointS: 5, saveS: 2 }));
  harness.submit(jobSpec("j-2", { spot: true }));
  executeCommands(harness, tasksByMachine, machineFields);
  harness.sendHeartbeat("A", liveTasks(tasksByMachine, "A"), { ...machineFields.A, interruptionNoticeS: 12 });
  harness.advance(200);
  const stops = harness.sentCommands
    .flatMap((batch) => batch.commands)
    .filter((command) => command.kind === "stop");

  assert.deepEqual(
    stops.map((command) => [command.uid, command.graceS >= 2]),
    [["j-1", true]],
  );

  harness.submit(jobSpec("j-3", { spot: true }));
  harness.advance(500);
  assert.deepEqual(harness.startCommands("j-3"), []);
});

test("a machine whose agent no longer reports an interruption notice gets tasks again", () => {
  // Failure guarded against (left waiting): nothing ended the exclusion of a machine that was not reclaimed after all.
  const harness = new ControllerHarness().becomeLeader();
  const fleet = new AgentFleet(harness, { A: { spot: true, interruptionNoticeS: 12 } }, () => null);
  harness.submit(jobSpec("j-1", { spot: true }));
  fleet.runFor(5000);
  assert.deepEqual(fleet.starts, []);

  fleet.update("A", { spot: true });
  const startedAfterMs = fleet.runUntil(() => fleet.machinesOf("j-1").length === 1, 90_000);
  assert.ok(startedAfterMs !== null && startedAfterMs <= 3000, `started after ${startedAfterMs} ms`);
});
