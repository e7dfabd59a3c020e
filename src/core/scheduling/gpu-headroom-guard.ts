import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import { fitsMachineType, type Machine } from "../model/machine.js";
import { add, fits, type Resources } from "../model/resources.js";
import { isStarving } from "./queue-order.js";

/** Safety factor on the boot time given in the catalog. */
const BOOT_TIME_FACTOR = 1.5;

/** The capacity to keep free for GPU tasks on machines of one type. */
interface Headroom {
  /** The largest demand of a GPU task, per resource; null if none has been observed. */
  readonly need: Resources | null;
  /** The number of machines that must keep capacity for such a task. */
  readonly machines: number;
}

/** A cached count of machines with capacity for a GPU task, with the inputs that it is valid for. */
interface FreeMachineCount {
  readonly placementChanges: number;
  readonly machines: readonly Machine[];
  readonly count: number;
}

const NO_MACHINES: ReadonlyMap<string, readonly Machine[]> = new Map();

/** Prevents jobs without GPUs from using the capacity of GPU machines that is kept for GPU jobs. */
export class GpuHeadroomGuard {
  readonly #ctx: Context;
  readonly #cluster: ClusterState;
  readonly #headroomByType = new Map<string, Headroom>();
  readonly #freeCountByType = new Map<string, FreeMachineCount>();
  #schedulableByType = NO_MACHINES;

  constructor(ctx: Context, cluster: ClusterState) {
    this.#ctx = ctx;
    this.#cluster = cluster;
  }

  /** Sets the schedulable machines of this round, by type. */
  beginRound(schedulableByType: ReadonlyMap<string, readonly Machine[]>): void {
    this.#schedulableByType = schedulableByType;
  }

  /** Sets how many machines of a type must keep capacity for a GPU task with this demand; no headroom if null. */
  setHeadroom(type: string, need: Resources | null, machines: number): void {
    this.#headroomByType.set(type, { need, machines });
  }

  /** True if a task of a job without GPUs would use up the last capacity for a GPU task on this machine. */
  wouldBlockGpuTask(job: Job, machine: Machine): boolean {
    if (job.spec.need.gpu > 0 || (machine.type?.size.gpu ?? 0) === 0) return false;
    const need = this.#headroomByType.get(machine.typeName)?.need;
    if (!need) return false;
    const free = machine.freeCapacity();
    return fits(need, free) && !fits(need, add(free, job.spec.need, -1));
  }

  /**
   * True if a job without GPUs must avoid this machine. It may use the capacity of a GPU task only if
   * it can checkpoint and be preempted, or if more machines than the headroom are free.
   */
  wouldWasteGpus(job: Job, machine: Machine): boolean {
    if (job.spec.need.gpu > 0) return false;
    if (machine.isMarkedForScaleIn) return true;
    if (this.#isServiceAwaitingCpuMachine(job, machine)) return true;
    if (!this.wouldBlockGpuTask(job, machine)) return false;
    // A starving job is protected from preemption after its start, so it could not make way for a GPU task even
    // with checkpoints.
    if (job.spec.checkpointS > 0 && !isStarving(this.#ctx, job)) return false;
    const headroom = this.#headroomByType.get(machine.typeName);
    if (!headroom?.need) return false;
    return this.#countFree(machine.typeName, headroom.need) <= headroom.machines;
  }

  /**
   * True if a service should still wait for a machine without GPUs to boot. A service never ends, so
   * it would occupy the GPU machine permanently.
   */
  #isServiceAwaitingCpuMachine(job: Job, machine: Machine): boolean {
    if (job.spec.shape !== "service" || (machine.type?.size.gpu ?? 0) === 0) return false;
    const bootS = this.#shortestCpuBootS(job);
    const blockedMs = job.blockedSince === null ? 0 : this.#ctx.now - job.blockedSince;
    return bootS !== null && blockedMs < bootS * BOOT_TIME_FACTOR * 1000;
  }

  /** Returns the shortest boot time, in seconds, of the types without GPUs that fit the job; null if none does. */
  #shortestCpuBootS({ spec }: Job): number | null {
    let shortestS: number | null = null;
    for (const type of this.#cluster.machineTypes.values()) {
      if (type.size.gpu > 0 || !fitsMachineType(spec, type)) continue;
      if (shortestS === null || type.bootS < shortestS) shortestS = type.bootS;
    }
    return shortestS;
  }

  /** Counts the machines of a type with capacity for a GPU task; cached until placements change. */
  #countFree(type: string, need: Resources): number {
    const machines = this.#schedulableByType.get(type) ?? [];
    const { placementChanges } = this.#cluster;
    const known = this.#freeCountByType.get(type);
    if (known && known.placementChanges === placementChanges && known.machines === machines)
      return known.count;
    let count = 0;
    for (const machine of machines) if (machine.hasCapacityFor(need)) count++;
    this.#freeCountByType.set(type, { placementChanges, machines, count });
    return count;
  }
}
