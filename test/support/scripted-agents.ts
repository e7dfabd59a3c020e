import assert from "node:assert/strict";
import type { Heartbeat } from "../../src/core/messages/agents.js";
import type { ControllerHarness, SentCommands, TaskStatus } from "./controller-harness.js";

/** Tasks reported by each machine's agent. */
export type TasksByMachine = Map<string, TaskStatus[]>;
/** Heartbeat fields, by machine, that differ from those of a small on-demand machine. */
export type HeartbeatOverrides = Record<string, Partial<Heartbeat>>;

/** Enough rounds of commands, replies and a tick for the controller's decisions to take full effect. */
const ROUNDS = 12;
const ROUND_MS = 100;

/** Lets agents execute the commands sent to them immediately, and report the results. */
export function executeCommands(
  harness: ControllerHarness,
  tasksByMachine: TasksByMachine,
  overrides: HeartbeatOverrides = {},
): void {
  for (let round = 0; round < ROUNDS; round++) {
    for (const batch of harness.sentCommands.splice(0)) executeBatch(tasksByMachine, batch);
    for (const machine of tasksByMachine.keys())
      harness.replyToCommands(machine, tasksByMachine.get(machine) ?? [], overrides[machine] ?? {});
    harness.advance(ROUND_MS);
  }
}

/**
 * Repeats `seconds` times: all agents send a heartbeat, the clock advances by 1 s, and the agents execute their
 * commands, which advances the clock by another 1.2 s.
 */
export function sendHeartbeatsFor(
  harness: ControllerHarness,
  tasksByMachine: TasksByMachine,
  overrides: HeartbeatOverrides,
  seconds: number,
): void {
  for (let second = 0; second < seconds; second++) {
    for (const machine of tasksByMachine.keys())
      harness.sendHeartbeat(machine, tasksByMachine.get(machine) ?? [], overrides[machine] ?? {});
    harness.advance(1000);
    const before = harness.now;
    executeCommands(harness, tasksByMachine, overrides);
    assert.equal(harness.now, before + ROUNDS * ROUND_MS);
  }
}

/** Returns the tasks on a machine that have not ended, optionally of a single job. */
export function liveTasks(tasksByMachine: TasksByMachine, machine: string, uid?: string): TaskStatus[] {
  return (tasksByMachine.get(machine) ?? []).filter(
    (task) => task.state !== "ended" && (uid === undefined || task.uid === uid),
  );
}

function executeBatch(tasksByMachine: TasksByMachine, { machine, commands }: SentCommands): void {
  const tasks = tasksByMachine.get(machine) ?? [];
  for (const { kind, uid, task, attempt } of commands) {
    const index = tasks.findIndex(
      (known) => known.uid === uid && known.task === task && known.attempt === attempt,
    );
    const known = tasks[index];
    if (kind === "start" && !known) tasks.push({ uid, task, attempt, state: "running" });
    if (kind === "stop" && known) tasks[index] = { ...known, state: "ended", exitReason: "stopped" };
  }
  tasksByMachine.set(machine, tasks);
}
