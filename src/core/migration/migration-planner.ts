import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import { type Machine, mayRunOn } from "../model/machine.js";
import type { Placement } from "../model/placement.js";
import { add, fits } from "../model/resources.js";
import { weightedIndex } from "../random.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import { zonesAllowMove } from "../scheduling/zone-spread.js";

/** Score bonus for a machine that already has the image; breaks ties between machines of equal share. */
const IMAGE_PRESENT_BONUS = 1e-6;

/** A replica to migrate, with its source and target machines. */
export interface MigrationPlan {
  readonly replica: Placement;
  readonly from: Machine;
  readonly to: Machine;
}

/**
 * Chooses which replica to migrate: a service replica on a machine that has been underutilized for the whole window,
 * provided that all of the machine's replicas fit on other machines, so that it can become empty.
 */
export class MigrationPlanner {
  readonly #ctx: Context;
  readonly #cluster: ClusterState;
  readonly #scheduler: Scheduler;

  constructor(ctx: Context, cluster: ClusterState, scheduler: Scheduler) {
    this.#ctx = ctx;
    this.#cluster = cluster;
    this.#scheduler = scheduler;
  }

  /** Tracks since when each machine has been underutilized: up, with an allocated CPU share below `move_low`. */
  trackUtilization(): void {
    const { now, settings } = this.#ctx;
    for (const machine of this.#cluster.machines.values()) {
      if (machine.phase === "up" && machine.allocatedCpuShare() < settings.move_low)
        machine.underutilizedSince ??= now;
      else machine.underutilizedSince = null;
    }
  }

  /** Returns the migration to start in this round; null if no machine qualifies. */
  plan(): MigrationPlan | null {
    for (const machine of this.#cluster.machines.values()) {
      if (!this.#isUnderutilized(machine) || !this.#scheduler.feasibleMachines.isSchedulable(machine))
        continue;
      const plan = this.#planFrom(machine);
      if (plan) return plan;
    }
    return null;
  }

  #planFrom(from: Machine): MigrationPlan | null {
    const replicas = [...from.placements].filter(({ job }) => job.spec.shape === "service");
    if (replicas.length === 0 || !this.#allFitElsewhere(from, replicas)) return null;
    const replica = this.#drawReplica(replicas);
    if (!replica) return null;
    const to = this.#findTarget(replica, from, new Map());
    return to ? { replica, from, to } : null;
  }

  /** Randomly selects one of the replicas that may be migrated, weighted by CPU request; null if there is none. */
  #drawReplica(replicas: readonly Placement[]): Placement | null {
    // Only one migration runs at a time; a crash-looping replica would waste it.
    const movable = replicas.filter(
      (replica) => replica.observedState === "running" && !replica.stop && replica.job.failures === 0,
    );
    const drawn = weightedIndex(
      this.#ctx.random,
      movable.map(({ job }) => job.spec.need.cpu),
    );
    return drawn === null ? null : (movable[drawn] ?? null);
  }

  #isUnderutilized(machine: Machine): boolean {
    return (
      machine.underutilizedSince !== null &&
      this.#ctx.now - machine.underutilizedSince >= this.#ctx.settings.move_window_s * 1000
    );
  }

  #allFitElsewhere(from: Machine, replicas: readonly Placement[]): boolean {
    const plannedReplicas = new Map<Machine, number>();
    for (const replica of replicas) {
      const target = this.#findTarget(replica, from, plannedReplicas);
      if (!target) return false;
      plannedReplicas.set(target, (plannedReplicas.get(target) ?? 0) + 1);
    }
    return true;
  }

  /** Returns the fullest feasible machine, counting replicas of this size already planned onto each; null if none. */
  #findTarget(
    replica: Placement,
    from: Machine,
    plannedReplicas: ReadonlyMap<Machine, number>,
  ): Machine | null {
    const { job } = replica;
    let best: Machine | null = null;
    let bestScore = -1;
    for (const machine of this.#cluster.machines.values()) {
      if (!this.#isCandidate(job, from, machine)) continue;
      const score = this.#targetScore(job, from, machine, plannedReplicas.get(machine) ?? 0);
      if (score !== null && score > bestScore) {
        bestScore = score;
        best = machine;
      }
    }
    return best;
  }

  /** Underutilized machines are excluded as targets because they should become empty themselves. */
  #isCandidate(job: Job, from: Machine, machine: Machine): boolean {
    const { feasibleMachines } = this.#scheduler;
    return (
      machine !== from &&
      !machine.isMarkedForScaleIn &&
      !this.#isUnderutilized(machine) &&
      feasibleMachines.isSchedulable(machine) &&
      mayRunOn(job.spec, machine)
    );
  }

  /** Returns the allocated CPU share plus any image bonus; null if the replica does not fit or reaches `move_high`. */
  #targetScore(job: Job, from: Machine, machine: Machine, plannedReplicas: number): number | null {
    const { now, settings } = this.#ctx;
    const { need, image } = job.spec;
    const machineCpu = machine.type?.size.cpu ?? 0;
    if (machineCpu === 0) return null;
    const free = add(machine.freeCapacity(), need, -plannedReplicas);
    const share = machine.allocatedCpuShare() + (need.cpu * plannedReplicas) / machineCpu;
    if (!fits(need, free) || share + need.cpu / machineCpu >= settings.move_high) return null;
    if (!zonesAllowMove(job, from, machine)) return null;
    // If the image is present, less time passes between the end of the old copy and the start of the new one.
    const cachedImage = machine.images.get(image);
    return share + (cachedImage && cachedImage.readyAt <= now ? IMAGE_PRESENT_BONUS : 0);
  }
}
