/** Agents that execute commands, and on which tasks run, complete or fail as a test decides. */

import type { AgentCommand, Heartbeat } from "../../src/core/messages/agents.js";
import type { ControllerHarness, TaskStatus } from "./controller-harness.js";

const STEP_MS = 500;

/** What becomes of a task that runs on a machine, and after how long. */
export interface TaskFate {
  readonly exitReason: "done" | "error" | "no_room" | "busy";
  readonly afterMs: number;
}

/** Decides the fate of a task when it starts; null if it runs until it is stopped. */
export type FateOf = (uid: string, machine: string, task: number) => TaskFate | null;

interface RunningTask {
  status: TaskStatus;
  readonly fate: TaskFate | null;
  readonly startedAt: number;
}

/** Agents of a set of machines that report every half second and execute all commands at once. */
export class AgentFleet {
  /** Each start of a task, in order, as `UID/TASK on MACHINE`. */
  readonly starts: string[] = [];
  /** Each failure of a task, in order. */
  readonly failures: { readonly uid: string; readonly machine: string }[] = [];
  /** Machines that the cloud was asked to terminate, in order. */
  readonly terminated: string[] = [];
  /** Number of agents added after those of the constructor. */
  added = 0;
  fateOf: FateOf;
  readonly #harness: ControllerHarness;
  readonly #machines = new Map<string, Partial<Heartbeat>>();
  readonly #done = new Map<string, number>();
  readonly #tasks = new Map<string, RunningTask[]>();

  /** Creates agents on the given machines, by name; each may differ from a small on-demand machine in zone a. */
  constructor(harness: ControllerHarness, machines: Record<string, Partial<Heartbeat>>, fateOf: FateOf) {
    this.#harness = harness;
    this.fateOf = fateOf;
    for (const [name, overrides] of Object.entries(machines)) this.add(name, overrides);
    this.added = 0;
    const defaultCloudRule = harness.cloudRule;
    harness.cloudRule = (call) => {
      if (call.kind === "delete") for (const name of call.machines) this.#terminate(name);
      return defaultCloudRule(call);
    };
    this.runFor(1000);
  }

  /** Adds an agent. */
  add(name: string, overrides: Partial<Heartbeat> = {}): void {
    this.added++;
    this.#machines.set(name, overrides);
    this.#tasks.set(name, []);
  }

  /** Removes a machine with its agent, as if the cloud had taken it. */
  remove(name: string): void {
    this.#machines.delete(name);
    this.#tasks.delete(name);
  }

  /** Replaces the fields in which the heartbeats of an agent differ from those of a small on-demand machine. */
  update(name: string, overrides: Partial<Heartbeat>): void {
    this.#machines.set(name, overrides);
  }

  /** Advances the clock; the agents report and execute commands meanwhile. */
  runFor(forMs: number): void {
    for (let passedMs = 0; passedMs < forMs; passedMs += STEP_MS) {
      for (const [name, overrides] of this.#machines) {
        this.#endDueTasks(name);
        const reply = this.#harness.sendHeartbeat(name, this.#statuses(name), overrides);
        if (reply?.kind === "commands") this.#execute(name, reply.commands);
      }
      this.#executeDirectCommands();
      this.#harness.advance(STEP_MS);
      this.#executeDirectCommands();
    }
  }

  /** Runs until the predicate holds and returns the elapsed time in ms, or null if it does not within `maxMs`. */
  runUntil(predicate: () => boolean, maxMs: number): number | null {
    for (let passedMs = 0; passedMs <= maxMs; passedMs += STEP_MS) {
      if (predicate()) return passedMs;
      this.runFor(STEP_MS);
    }
    return null;
  }

  /** Returns the machines on which tasks of a job run, sorted, one entry per task. */
  machinesOf(uid: string): string[] {
    return [...this.#tasks]
      .flatMap(([name, tasks]) =>
        tasks.filter(({ status }) => status.uid === uid && status.state === "running").map(() => name),
      )
      .sort();
  }

  /** Returns how many tasks of a job were done. */
  doneTasksOf(uid: string): number {
    return this.#done.get(uid) ?? 0;
  }

  #terminate(name: string): void {
    this.terminated.push(name);
    this.remove(name);
  }

  #statuses(name: string): TaskStatus[] {
    return (this.#tasks.get(name) ?? []).map(({ status }) => status);
  }

  #endDueTasks(name: string): void {
    for (const task of this.#tasks.get(name) ?? []) {
      const { status, fate, startedAt } = task;
      if (status.state !== "running" || !fate || this.#harness.now - startedAt < fate.afterMs) continue;
      task.status = { ...status, state: "ended", exitReason: fate.exitReason };
      if (fate.exitReason === "done") this.#done.set(status.uid, this.doneTasksOf(status.uid) + 1);
      if (fate.exitReason === "error") this.failures.push({ uid: status.uid, machine: name });
    }
  }

  #executeDirectCommands(): void {
    for (const { machine, commands } of this.#harness.sentCommands.splice(0))
      this.#execute(machine, commands);
    for (const [name, overrides] of this.#machines)
      this.#harness.replyToCommands(name, this.#statuses(name), overrides);
  }

  #execute(machine: string, commands: readonly AgentCommand[]): void {
    const tasks = this.#tasks.get(machine);
    if (!tasks) return;
    for (const { kind, job, task, attempt } of commands) {
      const uid = this.#harness.controller.names.jobs.nameOf(job);
      const index = tasks.findIndex(
        ({ status }) => status.uid === uid && status.task === task && status.attempt === attempt,
      );
      const known = tasks[index];
      if (kind === "start" && !known) {
        this.starts.push(`${uid}/${task} on ${machine}`);
        const status: TaskStatus = { uid, task, attempt, state: "running" };
        tasks.push({ status, fate: this.fateOf(uid, machine, task), startedAt: this.#harness.now });
      }
      if (kind === "stop" && known && known.status.state !== "ended")
        known.status = { ...known.status, state: "ended", exitReason: "stopped" };
      if (kind === "acknowledge" && known?.status.state === "ended") tasks.splice(index, 1);
    }
  }
}
