/** Replica migration: at most one is pending; it is recorded, and a later leader completes it. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ControllerHarness, jobSpec, type TaskStatus } from "./support/controller-harness.js";
import { electNextLeader } from "./support/leaders.js";
import { executeCommands, liveTasks, sendHeartbeatsFor } from "./support/scripted-agents.js";

/**
 * Returns a leader with a recorded migration: A, with one replica of j-11, is underused; B, with two of j-10, is not.
 */
function leaderWithPendingMigration(): {
  harness: ControllerHarness;
  tasksByMachine: Map<string, TaskStatus[]>;
} {
  const harness = new ControllerHarness().becomeLeader();
  const tasksByMachine = new Map<string, TaskStatus[]>([["A", []]]);
  const service = { shape: "service", priority: 3, estimateS: 0 } as const;
  harness.sendHeartbeat("A");
  harness.submit(jobSpec("j-11", service));
  executeCommands(harness, tasksByMachine);
  assert.equal(liveTasks(tasksByMachine, "A", "j-11").length, 1);
  harness.sendHeartbeat("B");
  tasksByMachine.set("B", []);
  harness.admin({ kind: "setMachineMode", name: "A", mode: "cordon" });
  harness.submit(jobSpec("j-10", { ...service, tasks: 2 }));
  executeCommands(harness, tasksByMachine);
  assert.equal(liveTasks(tasksByMachine, "B", "j-10").length, 2);
  harness.admin({ kind: "setMachineMode", name: "A", mode: "open" });
  sendHeartbeatsFor(harness, tasksByMachine, {}, 20);
  const record = harness.store.entries.get("c/move")?.value as { job?: string } | undefined;
  assert.equal(record?.job, "j-11", "the migration is stored");
  return { harness, tasksByMachine };
}

test("migration: a replica drains on an underused machine and starts elsewhere once the old replica is known to have ended", () => {
  const { harness, tasksByMachine } = leaderWithPendingMigration();
  assert.equal(liveTasks(tasksByMachine, "A", "j-11").length, 1, "the old replica drains");
  assert.equal(liveTasks(tasksByMachine, "B", "j-11").length, 0, "no second replica runs meanwhile");

  sendHeartbeatsFor(harness, tasksByMachine, {}, 25);
  assert.equal(liveTasks(tasksByMachine, "A", "j-11").length, 0);
  assert.equal(liveTasks(tasksByMachine, "B", "j-11").length, 1);
  assert.deepEqual(harness.store.entries.get("c/move")?.value, {}, "the record is cleared");
});

test("migration: none starts while every target machine is underused as well", () => {
  const harness = new ControllerHarness().becomeLeader();
  const tasksByMachine = new Map<string, TaskStatus[]>([
    ["A", []],
    ["B", []],
  ]);
  for (const name of tasksByMachine.keys()) harness.sendHeartbeat(name);
  harness.submit(jobSpec("j-11", { shape: "service", priority: 3, estimateS: 0 }));
  executeCommands(harness, tasksByMachine);
  sendHeartbeatsFor(harness, tasksByMachine, {}, 60);

  assert.equal(harness.controller.leaderTerm?.migrator.startedMigrations, 0, "B is as underused as A");
});

test("migration: a new leader completes the pending one before it starts another", () => {
  const { harness: leader, tasksByMachine } = leaderWithPendingMigration();
  const nextLeader = electNextLeader(leader);

  assert.equal(nextLeader.controller.leaderTerm?.migrator.pending?.job, "j-11");

  nextLeader.unansweredCommands.splice(0);
  for (const machine of nextLeader.controller.leaderTerm.cluster.machines.values())
    machine.isCommandInFlight = false;
  sendHeartbeatsFor(nextLeader, tasksByMachine, {}, 34);

  assert.equal(liveTasks(tasksByMachine, "A", "j-11").length, 0);
  assert.equal(liveTasks(tasksByMachine, "B", "j-11").length, 1);
  assert.equal(
    nextLeader.controller.leaderTerm.migrator.startedMigrations,
    0,
    "it starts no other migration before that",
  );
});
