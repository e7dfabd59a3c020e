import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import { fitsMachineType, type Machine, mayRunOn } from "../model/machine.js";
import type { Resources } from "../model/resources.js";
import { type ExclusionReason, exclusionReasonOf } from "./exclusion-reasons.js";
import type { GpuHeadroomGuard } from "./gpu-headroom-guard.js";

/** For how long a job avoids a machine on which it has failed: well below the time that it may be left waiting. */
const AVOIDANCE_MS = 30_000;

/** Restricts a search to some of the feasible machines. */
export type MachineFilter = (machine: Machine) => boolean;

/** Accepts every machine. */
export const anyMachine: MachineFilter = () => true;

/** Finds the machines on which a task of a job may be placed. */
export class FeasibleMachines {
  readonly #ctx: Context;
  readonly #clusterState: ClusterState;
  readonly #gpuHeadroom: GpuHeadroomGuard;
  /** The schedulable machines of this round, by type. */
  #schedulableByType = new Map<string, Machine[]>();
  /** Schedulable machines with capacity for the smallest demand in the round, by type; few in a loaded cluster. */
  #withCapacityByType = new Map<string, Machine[]>();
  /**
   * True if properties of the job itself (shape, image, failures) restricted the last search. Other jobs with
   * the same demand may then find machines where this one found none.
   */
  wasSearchJobSpecific = false;
  /** Number of machines examined in all searches, a measure of scheduling work. */
  machinesExamined = 0;

  constructor(ctx: Context, clusterState: ClusterState, gpuHeadroom: GpuHeadroomGuard) {
    this.#ctx = ctx;
    this.#clusterState = clusterState;
    this.#gpuHeadroom = gpuHeadroom;
  }

  /** Indexes the schedulable machines for a round, and those with capacity for the smallest demand of `jobs`. */
  beginRound(jobs: readonly Job[]): void {
    this.#schedulableByType = new Map();
    this.#withCapacityByType = new Map();
    this.#gpuHeadroom.beginRound(this.#schedulableByType);
    let [cpu, ram] = [Number.POSITIVE_INFINITY, Number.POSITIVE_INFINITY];
    for (const job of jobs) {
      cpu = Math.min(cpu, job.spec.need.cpu);
      ram = Math.min(ram, job.spec.need.ram);
    }
    const leastNeed = { cpu, gpu: 0, ram };
    for (const machine of this.#clusterState.machines.values()) {
      const reason = this.exclusionReasonOf(machine);
      this.#logExclusionChange(machine, reason);
      if (reason !== null) continue;
      getOrCreateList(this.#schedulableByType, machine.typeName).push(machine);
      if (machine.hasCapacityFor(leastNeed))
        getOrCreateList(this.#withCapacityByType, machine.typeName).push(machine);
    }
  }

  #logExclusionChange(machine: Machine, reason: ExclusionReason | null): void {
    if (machine.loggedExclusion === reason) return;
    this.#ctx.log("debug", "machine schedulability changed", {
      machine: machine.name,
      excluded: reason,
      was_excluded: machine.loggedExclusion,
    });
    machine.loggedExclusion = reason;
  }

  /** Returns why no task may be placed on the machine, or null if tasks may be placed. */
  exclusionReasonOf(machine: Machine): ExclusionReason | null {
    return exclusionReasonOf(this.#ctx, machine);
  }

  /** True if tasks may be placed on the machine. */
  isSchedulable(machine: Machine): boolean {
    return exclusionReasonOf(this.#ctx, machine) === null;
  }

  /**
   * Returns the feasible machines for a task of the job, by type, in cluster-state order. For preemption,
   * capacity used by tasks with a priority below `preemptibleBelow` counts as free. Removes expired reservations.
   */
  findFor(job: Job, preemptibleBelow = 0): Machine[] {
    const found: Machine[] = [];
    this.wasSearchJobSpecific = job.spec.shape === "service";
    // Free capacity only shrinks within a round, so without preemption the smaller index is sufficient.
    for (const machines of (preemptibleBelow === 0
      ? this.#withCapacityByType
      : this.#schedulableByType
    ).values()) {
      const type = machines[0]?.type;
      if (!type || !fitsMachineType(job.spec, type)) continue;
      this.machinesExamined += machines.length;
      this.#collect(job, preemptibleBelow, machines, found);
    }
    return found;
  }

  /** Appends the feasible machines to `found`; all of `machines` have one type, which fits the job. */
  #collect(job: Job, preemptibleBelow: number, machines: readonly Machine[], found: Machine[]): void {
    for (const machine of machines) {
      if (!machine.hasCapacityFor(job.spec.need, preemptibleBelow) || !mayRunOn(job.spec, machine)) continue;
      if (this.#isReservedForOther(job, machine) || this.wouldWasteGpus(job, machine)) continue;
      if (
        machine.wouldRefuse(job, this.#ctx.now) ||
        this.#shouldAvoid(job, machine) ||
        this.#wouldSlowFetch(job, machine)
      )
        this.wasSearchJobSpecific = true;
      else found.push(machine);
    }
  }

  /** Sets the GPU headroom of a machine type; see {@link GpuHeadroomGuard.setHeadroom}. */
  setGpuHeadroom(type: string, need: Resources | null, machines: number): void {
    this.#gpuHeadroom.setHeadroom(type, need, machines);
  }

  /** True if a job without GPUs must avoid this machine; see {@link GpuHeadroomGuard.wouldWasteGpus}. */
  wouldWasteGpus(job: Job, machine: Machine): boolean {
    return this.#gpuHeadroom.wouldWasteGpus(job, machine);
  }

  /** True if a reservation excludes this job from the machine. Removes an expired reservation. */
  #isReservedForOther(job: Job, machine: Machine): boolean {
    const { reservation } = machine;
    if (reservation === null) return false;
    if (reservation.until <= this.#ctx.now || reservation.job.pendingCount === 0) {
      machine.reservation = null;
      return false;
    }
    return (
      reservation.job !== job &&
      (reservation.isFirm || reservation.job.effectivePriority >= job.effectivePriority)
    );
  }

  /** True if the job has recently failed here, and there are enough machines to try on which it has not. */
  #shouldAvoid(job: Job, machine: Machine): boolean {
    return this.#hasRecentlyFailedOn(job, machine) && this.#hasMachinesToTry(job);
  }

  #hasRecentlyFailedOn(job: Job, machine: Machine): boolean {
    const failedAt = job.failedOn.get(machine);
    return failedAt !== undefined && this.#ctx.now - failedAt < AVOIDANCE_MS;
  }

  /** True if the job has not recently failed on most of the schedulable machines that it may run on. */
  #hasMachinesToTry(job: Job): boolean {
    let untried = 0;
    let failed = 0;
    for (const machines of this.#schedulableByType.values()) {
      const type = machines[0]?.type;
      if (!type || !fitsMachineType(job.spec, type)) continue;
      for (const machine of machines) {
        if (!mayRunOn(job.spec, machine)) continue;
        if (this.#hasRecentlyFailedOn(job, machine)) failed++;
        else if (++untried > job.failedOn.size) return true;
      }
    }
    return untried > failed;
  }

  /** True if this job's image fetch would compete for bandwidth with that of a higher-priority gang. */
  #wouldSlowFetch(job: Job, machine: Machine): boolean {
    if (machine.images.has(job.spec.image)) return false;
    for (const { job: other, observedState } of machine.placements) {
      if (other.spec.shape !== "gang" || other.effectivePriority <= job.effectivePriority) continue;
      if (observedState === null || observedState === "fetching") return true;
    }
    return false;
  }
}

function getOrCreateList(lists: Map<string, Machine[]>, key: string): Machine[] {
  let list = lists.get(key);
  if (!list) {
    list = [];
    lists.set(key, list);
  }
  return list;
}
