import type { Deployment } from "../../src/core/model/deployment.js";
import { parseRecordAsProduction } from "../support/production-readers.js";
import type { ConfirmedOutcome, SubmittedJob, SubmittedJobs } from "./jobs.js";
import { type AgentTask, isActive, type SimulatedMachine } from "./machines.js";
import type { RunningTasks } from "./running-tasks.js";
import type { Simulation } from "./simulation.js";
import { StarvationCheck } from "./starvation-check.js";

/** How long after a confirmed cancellation the last task of a job may still run: `cancel_s` of the deployment. */
const CANCEL_MS = 40_000;

/** A rule that was broken, and how. */
export interface Violation {
  readonly rule: string;
  readonly text: string;
}

/** What the rules are checked against. */
export interface RuleCheckOptions {
  readonly simulation: Simulation;
  readonly jobs: SubmittedJobs;
  readonly machines: ReadonlyMap<string, SimulatedMachine>;
  readonly runningTasks: RunningTasks;
  readonly teams: Deployment["teams"];
}

/** The rules that hold whatever fails. Violations are gathered, so that one run shows all of them. */
export class RuleChecks {
  readonly violations: Violation[] = [];
  /** How long after the confirmed cancellation of its job a task began, for each that did. */
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

  /** Notes a violation. */
  report(rule: string, text: string): void {
    this.violations.push({ rule, text: `${this.#simulation.now} ms: ${text}` });
  }

  /** A task is about to begin on a machine: it runs nowhere else, is not cancelled, and may run here and now. */
  checkBeforeStart(machine: SimulatedMachine, task: AgentTask, job: SubmittedJob): void {
    const [other] = this.#runningTasks.otherMachines(task.uid, task.task, machine);
    if (other) this.report("ran_twice", `${task.uid}/${task.task} on ${machine.name} and ${other.name}`);
    this.#checkNotCancelled(job);
    this.#checkDependencies(job);
    this.#checkMachine(machine, job);
  }

  /** A task has begun on a machine: its team stays within its limit, and the job's zones are as asked. */
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

  /** A task that an agent has: it is stopped in time after the cancellation of its job. */
  checkStoppedInTime(machine: SimulatedMachine, task: AgentTask, { cancelledAt }: SubmittedJob): void {
    if (cancelledAt !== null && isActive(task) && this.#simulation.now - cancelledAt > CANCEL_MS)
      this.report("ran_cancelled", `${task.uid}/${task.task} still on ${machine.name}`);
  }

  /** What a user is answered about a job agrees with what has happened, and takes nothing back that was confirmed. */
  checkAnsweredPhase(job: SubmittedJob, phase: string, confirmedBefore: ConfirmedOutcome): void {
    const { uid, tasks } = job.spec;
    if (phase === "done") {
      if (job.done.size < tasks) this.report("not_done", uid);
      if (confirmedBefore.cancelled) this.report("went_back", `${uid}: cancelled, then done`);
    } else if (phase === "cancelled") {
      if (!this.#jobs.isCancelRequested(job)) this.report("went_back", `${uid}: cancelled by nobody`);
      if (confirmedBefore.done) this.report("went_back", `${uid}: done, then cancelled`);
    } else if (confirmedBefore.done || confirmedBefore.cancelled) {
      this.report("went_back", `${uid}: over, then ${phase}`);
    }
  }

  /** Until every controller is upgraded the version in production has to be able to read each record. */
  checkReadableByProduction(key: string, value: unknown): void {
    if (parseRecordAsProduction(key, value) === null)
      this.report("unreadable", `production can't read ${key}: ${JSON.stringify(value)}`);
  }

  /** With all faults over: no job waits beside free capacity for it. */
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
        this.report("too_early", `${spec.uid} starts though ${uid} is cancelled`);
    }
  }

  #checkMachine(machine: SimulatedMachine, { spec }: SubmittedJob): void {
    if (spec.types && !spec.types.includes(machine.type.name))
      this.report("wrong_place", `${spec.uid} on a wrong type`);
    if (spec.zone !== null && spec.zone !== machine.zone)
      this.report("wrong_place", `${spec.uid} in a wrong zone`);
    if (machine.spot && !spec.spot) this.report("wrong_place", `${spec.uid} on a spot machine`);
  }
}
