import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import { fitsMachineType, type Machine } from "../model/machine.js";
import { add, fits, type Resources } from "../model/resources.js";
import { isStarving } from "./queue-order.js";

/** Boots may take longer than the catalogue says, by up to this factor. */
const BOOT_TIME_FACTOR = 1.5;

/** What is to be kept free of a machine type with GPUs. */
interface Headroom {
  /** The demand of a typical GPU task; null where none has been seen. */
  readonly need: Resources | null;
  /** How many machines are to have capacity for it. */
  readonly machines: number;
}

/** The number of machines with capacity for a GPU task, with what it was counted from. */
interface FreeMachineCount {
  readonly placementChanges: number;
  readonly machines: readonly Machine[];
  readonly count: number;
}

const NO_MACHINES: ReadonlyMap<string, readonly Machine[]> = new Map();

/** Keeps jobs that need no GPU from using up the capacity of GPU machines that GPU jobs will need. */
export class GpuHeadroomGuard {
  readonly #ctx: Context;
  readonly #clusterState: ClusterState;
  readonly #headroomByType = new Map<string, Headroom>();
  readonly #freeCountByType = new Map<string, FreeMachineCount>();
  #schedulableByType = NO_MACHINES;

  constructor(ctx: Context, clusterState: ClusterState) {
    this.#ctx = ctx;
    this.#clusterState = clusterState;
  }

  /** Sets the schedulable machines of this round, by type. */
  beginRound(schedulableByType: ReadonlyMap<string, readonly Machine[]>): void {
    this.#schedulableByType = schedulableByType;
  }

  /** Sets how many machines of a type are to keep capacity for such a GPU task; none if the demand is null. */
  setHeadroom(type: string, need: Resources | null, machines: number): void {
    this.#headroomByType.set(type, { need, machines });
  }

  /** Would a task of this job, which needs no GPU, take the last capacity for a GPU task on this machine? */
  wouldBlockGpuTask(job: Job, machine: Machine): boolean {
    if (job.spec.need.gpu > 0 || (machine.type?.size.gpu ?? 0) === 0) return false;
    const need = this.#headroomByType.get(machine.typeName)?.need;
    if (!need) return false;
    const free = machine.freeCapacity();
    return fits(need, free) && !fits(need, add(free, job.spec.need, -1));
  }

  /**
   * Must a job that needs no GPU stay off this machine? It may take the capacity of a GPU task only if it can
   * checkpoint and be preempted, or while more machines than the headroom are free.
   */
  wouldWasteGpus(job: Job, machine: Machine): boolean {
    if (job.spec.need.gpu > 0) return false;
    if (machine.isMarkedForScaleIn) return true;
    if (this.#isServiceAwaitingCpuMachine(job, machine)) return true;
    if (!this.wouldBlockGpuTask(job, machine)) return false;
    // A starving job is protected from preemption for a while, so it can't make way for a GPU task,
    // checkpoints or not.
    if (job.spec.checkpointS > 0 && !isStarving(this.#ctx, job)) return false;
    const headroom = this.#headroomByType.get(machine.typeName);
    if (!headroom?.need) return false;
    return this.#countFree(machine.typeName, headroom.need) <= headroom.machines;
  }

  /**
   * A service never ends, so it would keep a GPU machine for good: it waits for as long as a machine without
   * GPUs takes to boot.
   */
  #isServiceAwaitingCpuMachine(job: Job, machine: Machine): boolean {
    if (job.spec.shape !== "service" || (machine.type?.size.gpu ?? 0) === 0) return false;
    const bootS = this.#shortestCpuBootS(job);
    const blockedMs = job.blockedSince === null ? 0 : this.#ctx.now - job.blockedSince;
    return bootS !== null && blockedMs < bootS * BOOT_TIME_FACTOR * 1000;
  }

  /** The boot time in seconds of the quickest type without GPUs that the job fits; null if there is none. */
  #shortestCpuBootS({ spec }: Job): number | null {
    let shortestS: number | null = null;
    for (const type of this.#clusterState.machineTypes.values()) {
      if (type.size.gpu > 0 || !fitsMachineType(spec, type)) continue;
      if (shortestS === null || type.bootS < shortestS) shortestS = type.bootS;
    }
    return shortestS;
  }

  /** How many machines of a type have capacity for a GPU task; counted anew only once placements change. */
  #countFree(type: string, need: Resources): number {
    const machines = this.#schedulableByType.get(type) ?? [];
    const { placementChanges } = this.#clusterState;
    const known = this.#freeCountByType.get(type);
    if (known && known.placementChanges === placementChanges && known.machines === machines)
      return known.count;
    let count = 0;
    for (const machine of machines) if (machine.hasCapacityFor(need)) count++;
    this.#freeCountByType.set(type, { placementChanges, machines, count });
    return count;
  }
}
