import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import { fitsMachineType, type Machine, mayRunOn } from "../model/machine.js";

/** A failure older than this is no longer evidence against its machine. */
export const MACHINE_EVIDENCE_MS = 300_000;
/** For how long a job's failures are remembered: each explains failures of the job elsewhere while those count. */
export const JOB_FAILURE_MEMORY_MS = 2 * MACHINE_EVIDENCE_MS;
/** A job that has failed on fewer machines than this is neither suspect nor at fault: the machine may be. */
const SUSPECT_MIN_MACHINES = 2;
/** A job that has failed on this many machines may be at fault even if there are others that it could run on. */
const AT_FAULT_MACHINES = 3;
/** A task that has run for this long shows that its job does not fail everywhere. */
const PROVEN_RUN_MS = 30_000;

/** An assessment of a large job is used for this long. */
const ASSESSMENT_MS = 250;
/** A job is large if its tasks on machines and the machines on which it has failed are more than this together. */
const LARGE_JOB_SIZE = 100;

/** What the failures of a job say about it at some time. */
interface Assessment {
  readonly at: number;
  readonly isAtFault: boolean;
  readonly isSuspect: boolean;
  readonly isSound: boolean;
}

/**
 * Decides whether failures are the fault of the job or of the machine. A failed task is evidence against both: a faulty
 * machine fails every job, and a job that was submitted with a mistake fails on every machine. A job is at fault if it
 * has failed on several machines, has not succeeded since, and runs on no more machines than it has failed on.
 *
 * An assessment looks at all tasks of the job that are on machines. When thousands of them fail together, one after each
 * would take more time than anything else, so that of a large job is a little old.
 */
export class FailureAttribution {
  readonly #ctx: Context;
  readonly #cluster: ClusterState;
  readonly #assessments = new WeakMap<Job, Assessment>();

  constructor(ctx: Context, cluster: ClusterState) {
    this.#ctx = ctx;
    this.#cluster = cluster;
  }

  /** True if the job itself explains its failures. They are then no evidence against the machines. */
  isAtFault(job: Job): boolean {
    return this.#assessmentOf(job).isAtFault;
  }

  /**
   * True if the job may be at fault: since its last success it has failed on several machines that are not ejected, and
   * it runs on no more machines than those.
   */
  isSuspect(job: Job): boolean {
    return this.#assessmentOf(job).isSuspect;
  }

  /** True if the job is known to run well on other machines than those on which it has failed. */
  isSound(job: Job): boolean {
    return this.#assessmentOf(job).isSound;
  }

  /** Assesses the job anew next time: a machine on which it has failed was ejected. */
  forget(job: Job): void {
    this.#assessments.delete(job);
  }

  #assessmentOf(job: Job): Assessment {
    const known = this.#assessments.get(job);
    const isLarge = job.placements.size + job.failedOn.size > LARGE_JOB_SIZE;
    if (known && isLarge && this.#ctx.now - known.at < ASSESSMENT_MS) return known;
    const assessment = this.#assess(job);
    this.#assessments.set(job, assessment);
    return assessment;
  }

  #assess(job: Job): Assessment {
    const at = this.#ctx.now;
    const failedOn = this.#machinesFailedOnSinceSuccess(job);
    const hasSucceeded = Number.isFinite(job.succeededAt) || hasProvenRun(job, at);
    if (failedOn.size < SUSPECT_MIN_MACHINES)
      return { at, isAtFault: false, isSuspect: false, isSound: hasSucceeded };
    const runningOn = countOtherMachinesRunning(job, failedOn);
    const isWide = failedOn.size >= AT_FAULT_MACHINES || !this.#hasUntriedMachine(job, failedOn);
    let notEjected = 0;
    for (const machine of failedOn) if (!machine.ejection) notEjected++;
    const isAtFault = isWide && failedOn.size >= runningOn;
    return {
      at,
      isAtFault,
      isSound: hasSucceeded && !isAtFault,
      isSuspect: notEjected >= SUSPECT_MIN_MACHINES && notEjected >= runningOn,
    };
  }

  #machinesFailedOnSinceSuccess(job: Job): Set<Machine> {
    const since = Math.max(job.succeededAt, this.#ctx.now - JOB_FAILURE_MEMORY_MS);
    const failedOn = new Set<Machine>();
    for (const [machine, failedAt] of job.failedOn) if (failedAt > since) failedOn.add(machine);
    return failedOn;
  }

  #hasUntriedMachine({ spec }: Job, failedOn: ReadonlySet<Machine>): boolean {
    for (const machine of this.#cluster.machines.values()) {
      if (machine.phase !== "up" || machine.isLeaseExpired || failedOn.has(machine)) continue;
      if (machine.type && fitsMachineType(spec, machine.type) && mayRunOn(spec, machine)) return true;
    }
    return false;
  }
}

/** True if a task of the job has run for long on a machine on which the job has not failed. */
function hasProvenRun({ placements, failedOn }: Job, now: number): boolean {
  for (const { machine, observedState, runningSince } of placements.values()) {
    if (observedState !== "running" || runningSince === null || failedOn.has(machine)) continue;
    if (now - runningSince >= PROVEN_RUN_MS) return true;
  }
  return false;
}

function countOtherMachinesRunning({ placements }: Job, failedOn: ReadonlySet<Machine>): number {
  const running = new Set<Machine>();
  for (const { machine, observedState } of placements.values())
    if (observedState === "running" && !failedOn.has(machine)) running.add(machine);
  return running.size;
}
