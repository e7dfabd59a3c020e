import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import { fitsMachineType, type Machine } from "../model/machine.js";
import type { Resources } from "../model/resources.js";
import type { GpuHeadroomGuard } from "./gpu-headroom-guard.js";

/** Which of the feasible machines may be considered. */
export type MachineFilter = (machine: Machine) => boolean;

/** The filter that lets every machine pass. */
export const anyMachine: MachineFilter = () => true;

/** Finds the machines on which a task of a job may be placed. */
export class FeasibleMachines {
  readonly #ctx: Context;
  readonly #clusterState: ClusterState;
  readonly #gpuHeadroom: GpuHeadroomGuard;
  /** The schedulable machines of this round, by type. */
  #schedulableByType = new Map<string, Machine[]>();
  /** Those with capacity for the least demand of any job of the round: in a loaded cluster, few. */
  #withCapacityByType = new Map<string, Machine[]>();
  /**
   * True if the last search was narrowed by what belongs to its job alone (shape, image, failures): other
   * jobs of the same demand may find machines where it found none.
   */
  isJobSpecific = false;
  /** Counts the machines examined for some job: the work of the rounds. */
  machinesExamined = 0;

  constructor(ctx: Context, clusterState: ClusterState, gpuHeadroom: GpuHeadroomGuard) {
    this.#ctx = ctx;
    this.#clusterState = clusterState;
    this.#gpuHeadroom = gpuHeadroom;
  }

  /**
   * Lists the schedulable machines for a round, and those of them with capacity for the least demand of these
   * jobs.
   */
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
      if (!this.isSchedulable(machine)) continue;
      listOf(this.#schedulableByType, machine.typeName).push(machine);
      if (machine.hasCapacityFor(leastNeed)) listOf(this.#withCapacityByType, machine.typeName).push(machine);
    }
  }

  /** Do the job's own constraints (types, zone, spot) allow this machine, whatever capacity it has? */
  mayRunOn(job: Job, machine: Machine): boolean {
    const { types, zone, spot } = job.spec;
    return (
      (types === null || types.includes(machine.typeName)) &&
      (zone === null || zone === machine.zone) &&
      (spot || !machine.spot)
    );
  }

  /** May tasks be placed on this machine? Only while it sends heartbeats and shows that commands reach it (I7). */
  isSchedulable(machine: Machine): boolean {
    const { now, deployment } = this.#ctx;
    return (
      machine.phase === "up" &&
      !machine.isLeaseExpired &&
      machine.mode === "open" &&
      machine.type !== null &&
      // A heartbeat without this term's fencing token may be a late copy, so it is a hint of presence only (I4).
      machine.fencedAt !== null &&
      machine.unreachableSince === null &&
      machine.reclaimDueAt === null &&
      machine.backoffUntil <= now &&
      now - machine.heartbeatAt < deployment.heartbeatIntervalS * 2500 + 500
    );
  }

  /**
   * The machines with capacity for a task of the job, by type, in the order of the cluster state. What tasks
   * of a priority lower than `below` use counts as free capacity, for preemption. Drops reservations that
   * have expired.
   */
  findFor(job: Job, below = 0): Machine[] {
    const found: Machine[] = [];
    this.isJobSpecific = job.spec.shape === "service";
    // Within a round free capacity only shrinks, but for preemption: without that few machines are examined.
    for (const machines of (below === 0 ? this.#withCapacityByType : this.#schedulableByType).values()) {
      const type = machines[0]?.type;
      if (!type || !fitsMachineType(job.spec, type)) continue;
      this.machinesExamined += machines.length;
      this.#collect(job, below, machines, found);
    }
    return found;
  }

  /** Adds the feasible ones of these machines, all of a type that the job fits, to those found. */
  #collect(job: Job, below: number, machines: readonly Machine[], found: Machine[]): void {
    for (const machine of machines) {
      if (!machine.hasCapacityFor(job.spec.need, below) || !this.mayRunOn(job, machine)) continue;
      if (this.#isReservedForOther(job, machine) || this.wouldWasteGpus(job, machine)) continue;
      if (this.#hasFailedOn(job, machine) || this.#wouldSlowFetch(job, machine)) this.isJobSpecific = true;
      else found.push(machine);
    }
  }

  /** Keeps so many machines of a type with capacity for such a GPU task; see {@link GpuHeadroomGuard}. */
  setGpuHeadroom(type: string, need: Resources | null, machines: number): void {
    this.#gpuHeadroom.setHeadroom(type, need, machines);
  }

  /** Must a job that needs no GPU stay off this machine? See {@link GpuHeadroomGuard}. */
  wouldWasteGpus(job: Job, machine: Machine): boolean {
    return this.#gpuHeadroom.wouldWasteGpus(job, machine);
  }

  /** Is the machine reserved for a job that this one must not overtake? Drops an expired reservation. */
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

  /** Has the job failed here? False once it has failed on half of all machines: then the fault is its own. */
  #hasFailedOn(job: Job, machine: Machine): boolean {
    return (
      job.failedMachines.has(machine.index) && job.failedMachines.size < this.#clusterState.machines.size / 2
    );
  }

  /** Would this job's image fetch share the bandwidth with one that a gang of higher priority waits for? */
  #wouldSlowFetch(job: Job, machine: Machine): boolean {
    if (machine.images.has(job.spec.image)) return false;
    for (const { job: other, observedState } of machine.placements) {
      if (other.spec.shape !== "gang" || other.effectivePriority <= job.effectivePriority) continue;
      if (observedState === null || observedState === "fetching") return true;
    }
    return false;
  }
}

function listOf(lists: Map<string, Machine[]>, key: string): Machine[] {
  let list = lists.get(key);
  if (!list) {
    list = [];
    lists.set(key, list);
  }
  return list;
}
