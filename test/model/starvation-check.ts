import type { Deployment } from "../../src/core/model/deployment.js";
import type { JobSpec } from "../../src/core/model/job-spec.js";
import type { SubmittedJob, SubmittedJobs } from "./jobs.js";
import { type FreeCapacity, type SimulatedMachine, subtractTask } from "./machines.js";

/**
 * How long a task may wait despite free capacity once all faults are over. Less than the 90 s allowed in the users' own
 * check, because a scenario ends 84 s after its last fault.
 */
export const MAX_STARVATION_MS = 60_000;

interface TeamUse {
  readonly cpu: number;
  readonly gpu: number;
}

const NO_USE: TeamUse = { cpu: 0, gpu: 0 };

export interface StarvationCheckOptions {
  readonly machines: ReadonlyMap<string, SimulatedMachine>;
  readonly jobs: SubmittedJobs;
  readonly teams: Deployment["teams"];
  readonly onViolation: (uid: string) => void;
}

/** Checks, once all faults are over, that no job is starving despite free capacity for it. */
export class StarvationCheck {
  readonly #machines: ReadonlyMap<string, SimulatedMachine>;
  readonly #jobs: SubmittedJobs;
  readonly #teams: Deployment["teams"];
  readonly #onViolation: (uid: string) => void;

  constructor({ machines, jobs, teams, onViolation }: StarvationCheckOptions) {
    this.#machines = machines;
    this.#jobs = jobs;
    this.#teams = teams;
    this.#onViolation = onViolation;
  }

  /**
   * Reports jobs with tasks that have been waiting too long although eligible machines have free capacity and the team
   * is within its limit. Must be called every second.
   */
  run(now: number): void {
    const { freeByMachine, useByTeam } = this.#capacity(now);
    for (const job of this.#jobs.values()) {
      const { spec } = job;
      const use = useByTeam.get(spec.team) ?? NO_USE;
      if (!this.#mayRun(job) || !this.#isStarving(job, freeByMachine, use)) {
        job.starvingSince = null;
        continue;
      }
      job.starvingSince ??= now;
      if (now - job.starvingSince >= MAX_STARVATION_MS) this.#onViolation(spec.uid);
    }
  }

  /** Returns whether a job is accepted, unfinished and not cancelled, and all its dependencies are done. */
  #mayRun(job: SubmittedJob): boolean {
    return (
      job.acceptedAt !== null &&
      job.finishedAt === null &&
      !this.#jobs.isCancelRequested(job) &&
      !this.#jobs.someDependency(job, (dependency) => dependency.finishedAt === null)
    );
  }

  #capacity(now: number): {
    freeByMachine: Map<SimulatedMachine, FreeCapacity>;
    useByTeam: Map<string, TeamUse>;
  } {
    const freeByMachine = new Map<SimulatedMachine, FreeCapacity>();
    const useByTeam = new Map<string, TeamUse>();
    for (const machine of this.#machines.values()) {
      if (!machine.alive || now < machine.bootedAt || machine.reclaimAt !== null || machine.isFaulty)
        continue;
      const free = { ...machine.type.size };
      for (const task of machine.tasks) {
        const spec = task.state === "ended" ? undefined : this.#jobs.get(task.uid)?.spec;
        if (!spec) continue;
        subtractTask(free, spec);
        const use = useByTeam.get(spec.team) ?? NO_USE;
        useByTeam.set(spec.team, { cpu: use.cpu + spec.need.cpu, gpu: use.gpu + spec.need.gpu });
      }
      freeByMachine.set(machine, free);
    }
    return { freeByMachine, useByTeam };
  }

  #isStarving(
    job: SubmittedJob,
    freeByMachine: ReadonlyMap<SimulatedMachine, FreeCapacity>,
    use: TeamUse,
  ): boolean {
    const { spec } = job;
    // The tasks are spread over the zones, and the zone with free capacity may already run its half.
    if (spec.spread) return false;
    const running = this.#runningTasks(spec.uid);
    let waiting = 0;
    for (let task = 0; task < spec.tasks; task++) if (!running.has(task) && !job.done.has(task)) waiting++;
    const isGang = spec.shape === "gang";
    if (waiting === 0 || (isGang && running.size > 0)) return false;
    const startedTogether = isGang ? spec.tasks : 1;
    return (
      this.#isWithinLimit(spec, use, startedTogether) && hasFreeCapacity(spec, freeByMachine, startedTogether)
    );
  }

  #runningTasks(uid: string): Set<number> {
    const running = new Set<number>();
    for (const machine of this.#machines.values()) {
      if (!machine.alive) continue;
      for (const task of machine.tasks)
        if (task.uid === uid && task.state !== "ended") running.add(task.task);
    }
    return running;
  }

  #isWithinLimit({ team, need }: JobSpec, use: TeamUse, tasks: number): boolean {
    const limit = this.#teams.find(({ name }) => name === team)?.limit;
    return (
      limit !== undefined &&
      use.cpu + need.cpu * tasks <= limit.cpu &&
      use.gpu + need.gpu * tasks <= limit.gpu
    );
  }
}

function isEligible({ types, zone, spot }: JobSpec, machine: SimulatedMachine): boolean {
  if (types && !types.includes(machine.type.name)) return false;
  return (zone === null || zone === machine.zone) && (spot || !machine.spot);
}

/** Returns whether the given number of tasks fit on eligible machines, within a single zone if the job requires it. */
function hasFreeCapacity(
  spec: JobSpec,
  freeByMachine: ReadonlyMap<SimulatedMachine, FreeCapacity>,
  tasks: number,
): boolean {
  const { need } = spec;
  const fittingByZone = new Map<string, number>();
  for (const [machine, { cpu, gpu, ram }] of freeByMachine) {
    if (!isEligible(spec, machine)) continue;
    const fitting = Math.min(
      Math.floor(cpu / need.cpu),
      need.gpu > 0 ? Math.floor(gpu / need.gpu) : Number.POSITIVE_INFINITY,
      Math.floor(ram / need.ram),
    );
    const zone = spec.oneZone ? machine.zone : "";
    fittingByZone.set(zone, (fittingByZone.get(zone) ?? 0) + Math.max(0, fitting));
  }
  return [...fittingByZone.values()].some((fitting) => fitting >= tasks);
}
