import type { AgentCommand } from "../../src/core/messages/agents.js";
import type { ExitReason, JobSpec } from "../../src/core/model/job-spec.js";
import type { SubmittedJob, SubmittedJobs } from "./jobs.js";
import { type AgentTask, isHung, type SimulatedMachine, subtractTask } from "./machines.js";
import type { RuleChecks } from "./rule-checks.js";
import type { RunningTasks } from "./running-tasks.js";
import type { Simulation } from "./simulation.js";

/** How long a task waits for the rest of its gang. */
const GANG_WAIT_MS = 40_000;

/** How long a task runs that fails because of its machine or a mistake in its job. */
const MIN_TIME_TO_FAILURE_MS = 300;
const MAX_TIME_TO_FAILURE_MS = 2000;

/** After this time the end of a task has been reported to the leader, unless its agent hangs or is cut off. */
const MAX_REPORT_DELAY_MS = 5000;

type StartCommand = Extract<AgentCommand, { kind: "start" }>;
type StopCommand = Extract<AgentCommand, { kind: "stop" }>;

export interface AgentTasksOptions {
  readonly simulation: Simulation;
  readonly machines: ReadonlyMap<string, SimulatedMachine>;
  readonly jobs: SubmittedJobs;
  readonly runningTasks: RunningTasks;
  readonly rules: RuleChecks;
  /** Probability that a running task fails in a step. */
  readonly errorRate: number;
  /** Called when all tasks of a job are done. */
  readonly onJobFinished: (uid: string) => void;
}

/** Task execution on agents: executes commands and advances tasks through their states. */
export class AgentTasks {
  /** Number of tasks started. */
  starts = 0;
  /** Number of tasks stopped by a command. */
  stops = 0;
  readonly #simulation: Simulation;
  readonly #machines: ReadonlyMap<string, SimulatedMachine>;
  readonly #jobs: SubmittedJobs;
  readonly #runningTasks: RunningTasks;
  readonly #rules: RuleChecks;
  readonly #errorRate: number;
  readonly #onJobFinished: (uid: string) => void;

  constructor(options: AgentTasksOptions) {
    this.#simulation = options.simulation;
    this.#machines = options.machines;
    this.#jobs = options.jobs;
    this.#runningTasks = options.runningTasks;
    this.#rules = options.rules;
    this.#errorRate = options.errorRate;
    this.#onJobFinished = options.onJobFinished;
  }

  /** Executes a command for a task of the given job. */
  execute(machine: SimulatedMachine, command: AgentCommand, uid: string): void {
    const held = machine.tasks.find(
      (task) => task.uid === uid && task.task === command.task && task.attempt === command.attempt,
    );
    switch (command.kind) {
      case "start":
        if (!held) this.#accept(machine, command, uid);
        break;
      case "stop":
        if (held) this.#stop(machine, held, command);
        break;
      case "acknowledge":
        if (held?.state === "ended") machine.tasks.splice(machine.tasks.indexOf(held), 1);
        break;
    }
  }

  /** Advances the tasks of a machine by one step. */
  step(machine: SimulatedMachine): void {
    for (const task of machine.tasks) {
      const job = this.#jobs.get(task.uid);
      if (!job) continue;
      this.#rules.checkStoppedInTime(machine, task, job);
      const isDue = this.#simulation.now >= task.stateEndsAt;
      switch (task.state) {
        case "fetching":
          if (isDue) this.#begin(machine, task, job);
          break;
        case "waiting":
          this.#waitForGang(machine, task, job);
          break;
        case "running":
          if (this.#simulation.now >= task.failsAt) this.#fail(machine, task, job);
          else if (job.spec.shape === "gang") this.#runInGang(machine, task, job);
          else if (isDue) this.#end(machine, task, "done");
          else if (this.#simulation.chance(this.#errorRate)) this.#end(machine, task, "error");
          break;
        case "saving":
          if (isDue) this.#end(machine, task, "stopped", true);
          break;
        case "ended":
          break;
      }
    }
  }

  #accept(machine: SimulatedMachine, command: StartCommand, uid: string): void {
    const { now } = this.#simulation;
    const task: AgentTask = {
      uid,
      task: command.task,
      attempt: command.attempt,
      state: "fetching",
      exitReason: null,
      saved: false,
      stateEndsAt: now,
      failsAt: Number.POSITIVE_INFINITY,
    };
    machine.tasks.push(task);
    const job = this.#jobs.get(uid);
    const isBusy = machine.tasks.some(
      (other) =>
        other !== task && other.uid === uid && other.task === command.task && other.state !== "ended",
    );
    if (!job) this.#end(machine, task, "unknown");
    else if (isBusy) this.#end(machine, task, "busy");
    else if (!this.#hasCapacity(machine, task, job.spec)) this.#end(machine, task, "no_room");
    else if (!machine.images.has(job.spec.image)) task.stateEndsAt = now + job.spec.imageGb * 1000;
    machine.nextHeartbeatAt = Math.min(machine.nextHeartbeatAt, now + 200);
  }

  #hasCapacity(machine: SimulatedMachine, task: AgentTask, spec: JobSpec): boolean {
    const free = { ...machine.type.size };
    for (const other of machine.tasks) {
      const otherSpec =
        other === task || other.state === "ended" ? undefined : this.#jobs.get(other.uid)?.spec;
      if (otherSpec) subtractTask(free, otherSpec);
    }
    return spec.need.cpu <= free.cpu && spec.need.gpu <= free.gpu && spec.need.ram <= free.ram;
  }

  #stop(machine: SimulatedMachine, task: AgentTask, { graceS }: StopCommand): void {
    if (task.state === "ended") return;
    if (task.state === "saving" && graceS > 0) return;
    const spec = this.#jobs.get(task.uid)?.spec;
    if (task.state === "running" && spec && spec.checkpointS > 0 && graceS >= spec.saveS) {
      task.state = "saving";
      task.stateEndsAt = this.#simulation.now + spec.saveS * 1000;
    } else this.#end(machine, task, "stopped");
  }

  #begin(machine: SimulatedMachine, task: AgentTask, job: SubmittedJob): void {
    const { spec } = job;
    this.starts++;
    this.#rules.checkBeforeStart(machine, task, job);
    machine.images.add(spec.image);
    task.state = spec.shape === "gang" ? "waiting" : "running";
    if (spec.shape === "service") task.stateEndsAt = Number.POSITIVE_INFINITY;
    else if (spec.shape === "gang") task.stateEndsAt = this.#simulation.now + GANG_WAIT_MS;
    // A task that was done before ends immediately, since its result is kept.
    else task.stateEndsAt = this.#simulation.now + (job.done.has(task.task) ? 0 : this.#runtimeMs(spec));
    // No draw for sound jobs on sound machines: the recorded digests of scenarios without these faults depend on it.
    if (machine.isFaulty || job.hasMistake)
      task.failsAt =
        this.#simulation.now + this.#simulation.between(MIN_TIME_TO_FAILURE_MS, MAX_TIME_TO_FAILURE_MS);
    this.#runningTasks.add(machine, task, spec);
    this.#rules.checkAfterStart(machine, job);
  }

  #fail(machine: SimulatedMachine, task: AgentTask, { hasMistake }: SubmittedJob): void {
    // The same heartbeat may report both, and does not tell which came first.
    const isAfterDone = this.#simulation.now - machine.lastDoneAt > MAX_REPORT_DELAY_MS;
    if (!hasMistake && isAfterDone) machine.failedSoundJobs.add(task.uid);
    this.#end(machine, task, "error");
  }

  #runtimeMs({ estimateS }: JobSpec): number {
    return estimateS * this.#simulation.between(600, 1400);
  }

  #waitForGang(machine: SimulatedMachine, task: AgentTask, { spec }: SubmittedJob): void {
    const gang = this.#gangTasks(task);
    const ready = gang.filter(({ state }) => state === "waiting").length;
    if (ready === spec.tasks) {
      const endsAt = this.#simulation.now + this.#runtimeMs(spec);
      for (const member of gang) {
        member.state = "running";
        member.stateEndsAt = endsAt;
      }
    } else if (this.#simulation.now >= task.stateEndsAt) this.#end(machine, task, "incomplete");
  }

  #runInGang(machine: SimulatedMachine, task: AgentTask, { spec, done }: SubmittedJob): void {
    const live = this.#gangTasks(task).filter(({ state }) => state !== "ended").length;
    const isDue = this.#simulation.now >= task.stateEndsAt;
    const isComplete = done.size === spec.tasks || (isDue && live === spec.tasks);
    if (isComplete) this.#end(machine, task, "done");
    else if (live < spec.tasks && this.#simulation.chance(0.05)) this.#end(machine, task, "peers");
  }

  /** Returns the tasks of a gang's attempt that are on machines whose agents do not hang. */
  #gangTasks({ uid, attempt }: AgentTask): AgentTask[] {
    const gang: AgentTask[] = [];
    for (const machine of this.#machines.values()) {
      if (!machine.alive || isHung(machine, this.#simulation.now)) continue;
      for (const task of machine.tasks) if (task.uid === uid && task.attempt === attempt) gang.push(task);
    }
    return gang;
  }

  #end(machine: SimulatedMachine, task: AgentTask, exitReason: ExitReason, saved = false): void {
    this.#runningTasks.remove(task);
    task.state = "ended";
    task.exitReason = exitReason;
    if (exitReason === "stopped") this.stops++;
    task.saved = saved;
    machine.nextHeartbeatAt = Math.min(machine.nextHeartbeatAt, this.#simulation.now + 100);
    const job = this.#jobs.get(task.uid);
    if (exitReason === "done") {
      machine.failedSoundJobs.clear();
      machine.lastDoneAt = this.#simulation.now;
    }
    if (job && exitReason === "done") this.#recordDone(job, task.task);
  }

  #recordDone(job: SubmittedJob, task: number): void {
    const { uid, shape, tasks } = job.spec;
    if (shape === "gang") for (let member = 0; member < tasks; member++) job.done.add(member);
    else job.done.add(task);
    if (job.done.size !== tasks || job.finishedAt !== null) return;
    job.finishedAt = this.#simulation.now;
    this.#onJobFinished(uid);
  }
}
