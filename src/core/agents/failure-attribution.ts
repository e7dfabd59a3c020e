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

/**
 * Decides whether failures are the fault of the job or of the machine. A failed task is evidence against both: a faulty
 * machine fails every job, and a job that was submitted with a mistake fails on every machine. A job is at fault if it
 * has failed on several machines, has not succeeded since, and runs on no more machines than it has failed on. Results
 * hold until the cluster state changes.
 */
export class FailureAttribution {
  readonly #cluster: ClusterState;
  readonly #now: number;
  readonly #atFault = new Map<Job, boolean>();

  constructor(cluster: ClusterState, now: number) {
    this.#cluster = cluster;
    this.#now = now;
  }

  /** True if the job itself explains its failures. They are then no evidence against the machines. */
  isAtFault(job: Job): boolean {
    let result = this.#atFault.get(job);
    if (result === undefined) {
      result = this.#assess(job);
      this.#atFault.set(job, result);
    }
    return result;
  }

  /** True if the job is known to run well on other machines than those on which it has failed. */
  isSound(job: Job): boolean {
    if (this.isAtFault(job)) return false;
    if (Number.isFinite(job.succeededAt)) return true;
    for (const { machine, observedState, runningSince } of job.placements.values()) {
      if (observedState !== "running" || runningSince === null || job.failedOn.has(machine)) continue;
      if (this.#now - runningSince >= PROVEN_RUN_MS) return true;
    }
    return false;
  }

  /**
   * True if the job may be at fault: since its last success it has failed on several machines that are not ejected, and
   * it runs on no more machines than those.
   */
  isSuspect(job: Job): boolean {
    const failedOn = this.#machinesFailedOnSinceSuccess(job);
    for (const machine of failedOn) if (machine.ejection) failedOn.delete(machine);
    return failedOn.size >= SUSPECT_MIN_MACHINES && failedOn.size >= countOtherMachinesRunning(job, failedOn);
  }

  #assess(job: Job): boolean {
    const failedOn = this.#machinesFailedOnSinceSuccess(job);
    if (failedOn.size < SUSPECT_MIN_MACHINES) return false;
    if (failedOn.size < AT_FAULT_MACHINES && this.#hasUntriedMachine(job, failedOn)) return false;
    return failedOn.size >= countOtherMachinesRunning(job, failedOn);
  }

  #machinesFailedOnSinceSuccess(job: Job): Set<Machine> {
    const since = Math.max(job.succeededAt, this.#now - JOB_FAILURE_MEMORY_MS);
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

function countOtherMachinesRunning({ placements }: Job, failedOn: ReadonlySet<Machine>): number {
  const running = new Set<Machine>();
  for (const { machine, observedState } of placements.values())
    if (observedState === "running" && !failedOn.has(machine)) running.add(machine);
  return running.size;
}
