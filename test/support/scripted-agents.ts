import assert from "node:assert/strict";
import type { Heartbeat } from "../../src/core/messages/agents.js";
import type { ControllerHarness, SentCommands, TaskStatus } from "./controller-harness.js";

/** The tasks that each machine's agent reports. */
export type TasksByMachine = Map<string, TaskStatus[]>;
/** Fields of heartbeats, by machine, that differ from those of a small on-demand machine. */
export type HeartbeatOverrides = Record<string, Partial<Heartbeat>>;

/** So many rounds of commands, answers and a tick are enough for what a controller decides to settle. */
const ROUNDS = 12;
const ROUND_MS = 100;

/** Agents carry out at once what they are sent, and report it. */
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

/** All agents send a heartbeat each second, and carry out what they are sent meanwhile. */
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

/** The tasks on a machine that have not ended, of one job if it is named. */
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
