import type { Deployment } from "../../src/core/model/deployment.js";
import { parseRecordAsProduction } from "../support/production-readers.js";
import type { ConfirmedOutcome, SubmittedJob, SubmittedJobs } from "./jobs.js";
import { type AgentTask, isActive, type SimulatedMachine } from "./machines.js";
import type { RunningTasks } from "./running-tasks.js";
import type { Simulation } from "./simulation.js";
import { StarvationCheck } from "./starvation-check.js";

/** How long the tasks of a job may keep running after a confirmed cancellation: `cancel_s` of the deployment. */
const CANCEL_MS = 40_000;

/** A rule violation with its details. */
export interface Violation {
  readonly rule: string;
  readonly text: string;
}

/** The actual state that the rules are checked against. */
export interface RuleCheckOptions {
  readonly simulation: Simulation;
  readonly jobs: SubmittedJobs;
  readonly machines: ReadonlyMap<string, SimulatedMachine>;
  readonly runningTasks: RunningTasks;
  readonly teams: Deployment["teams"];
}

/** Checks the invariants that must hold under all faults. Violations are collected, so that one run shows them all. */
export class RuleChecks {
  readonly violations: Violation[] = [];
  /** Delay between the confirmed cancellation of a job and the start of a task, for each such start. */
  readonly lateStartsMs: number[] = [];
  readonly #simulation: Simulation;
  readonly #jobs: SubmittedJobs;
  readonly #runningTasks: RunningTasks;
  readonly #teams: Deployment["teams"];
  readonly #starvation: StarvationCheck;

  constructor({ simulation, jobs, machines, runningTasks, teams }: RuleCheckOptions) {
    this.#simulation = simulation;
    this.#jobs = jobs;
    this.#runningTasks = runningTasks;
    this.#teams = teams;
    this.#starvation = new StarvationCheck({
      machines,
      jobs,
      teams,
      onViolation: (uid) => this.report("left_waiting", uid),
    });
  }

  /** Records a violation. */
  report(rule: string, text: string): void {
    this.violations.push({ rule, text: `${this.#simulation.now} ms: ${text}` });
  }

  /**
   * Checks that a task about to start runs nowhere else, that its job is not cancelled and the dependencies are done,
   * and that the machine is eligible.
   */
  checkBeforeStart(machine: SimulatedMachine, task: AgentTask, job: SubmittedJob): void {
    const [other] = this.#runningTasks.otherMachines(task.uid, task.task, machine);
    if (other) this.report("ran_twice", `${task.uid}/${task.task} on ${machine.name} and ${other.name}`);
    this.#checkNotCancelled(job);
    this.#checkDependencies(job);
    this.#checkMachine(machine, job);
  }

  /** Checks a started task: its team is within its limit, and the zone requirements of the job are met. */
  checkAfterStart(machine: SimulatedMachine, { spec }: SubmittedJob): void {
    const use = this.#runningTasks.teamUse(spec.team);
    const team = this.#teams.find(({ name }) => name === spec.team);
    if (team && (use.cpu > team.limit.cpu || use.gpu > team.limit.gpu))
      this.report("quota", `${spec.team} uses ${use.cpu}/${use.gpu}`);
    if (!spec.oneZone && !spec.spread) return;
    const tasksByZone = this.#runningTasks.tasksByZone(spec.uid);
    if (spec.oneZone && tasksByZone.size > 1) this.report("wrong_place", `${spec.uid} in two zones`);
    if (spec.spread && (tasksByZone.get(machine.zone)?.size ?? 0) > Math.ceil(spec.tasks / 2))
      this.report("wrong_place", `${spec.uid} not spread`);
  }

  /** Checks that a task on an agent is stopped in time after the cancellation of its job. */
  checkStoppedInTime(machine: SimulatedMachine, task: AgentTask, { cancelledAt }: SubmittedJob): void {
    if (cancelledAt !== null && isActive(task) && this.#simulation.now - cancelledAt > CANCEL_MS)
      this.report("ran_cancelled", `${task.uid}/${task.task} still on ${machine.name}`);
  }

  /** Checks that the phase returned to a user matches the actual state and does not contradict confirmed outcomes. */
  checkReturnedPhase(job: SubmittedJob, phase: string, confirmedBefore: ConfirmedOutcome): void {
    const { uid, tasks } = job.spec;
    if (phase === "done") {
      if (job.done.size < tasks) this.report("not_done", uid);
      if (confirmedBefore.cancelled) this.report("went_back", `${uid}: cancelled, then done`);
    } else if (phase === "cancelled") {
      if (!this.#jobs.isCancelRequested(job)) this.report("went_back", `${uid}: cancelled without a request`);
      if (confirmedBefore.done) this.report("went_back", `${uid}: done, then cancelled`);
    } else if (confirmedBefore.done || confirmedBefore.cancelled) {
      this.report("went_back", `${uid}: ended, then ${phase}`);
    }
  }

  /** Checks that the production version can read a record, as required until every controller is upgraded. */
  checkReadableByProduction(key: string, value: unknown): void {
    if (parseRecordAsProduction(key, value) === null)
      this.report("unreadable", `production can't read ${key}: ${JSON.stringify(value)}`);
  }

  /** Checks, once all faults are over, that no job is starving despite free capacity for it. */
  checkStarvation(): void {
    this.#starvation.run(this.#simulation.now);
  }

  #checkNotCancelled({ spec, cancelledAt }: SubmittedJob): void {
    if (cancelledAt === null) return;
    const lateMs = this.#simulation.now - cancelledAt;
    this.lateStartsMs.push(lateMs);
    if (lateMs > CANCEL_MS) this.report("ran_cancelled", `${spec.uid} starts long after its cancellation`);
  }

  #checkDependencies({ spec }: SubmittedJob): void {
    for (const uid of spec.awaits ?? []) {
      const dependency = this.#jobs.get(uid);
      if (!dependency) continue;
      if (dependency.finishedAt === null)
        this.report("too_early", `${spec.uid} starts before ${uid} is done`);
      if (dependency.cancelledAt !== null)
        this.report("too_early", `${spec.uid} starts although ${uid} is cancelled`);
    }
  }

  #checkMachine(machine: SimulatedMachine, { spec }: SubmittedJob): void {
    if (spec.types && !spec.types.includes(machine.type.name))
      this.report("wrong_place", `${spec.uid} on an ineligible machine type`);
    if (spec.zone !== null && spec.zone !== machine.zone)
      this.report("wrong_place", `${spec.uid} in the wrong zone`);
    if (machine.spot && !spec.spot) this.report("wrong_place", `${spec.uid} on a spot machine`);
  }
}
