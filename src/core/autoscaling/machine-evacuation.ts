import type { AgentManager } from "../agents/agent-manager.js";
import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Machine } from "../model/machine.js";
import type { Placement } from "../model/placement.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import { RelocationPlan } from "./relocation-plan.js";

/** The minimum time from sending a service replica's start command to evicting it. */
const REPLICA_MIN_AGE_MS = 30_000;
/** Tasks on faulty machines for which room is looked for in one tick. */
const MAX_RELOCATIONS_PER_TICK = 50;
const EVICTION_REASON = "machine drained or reclaimed";
const FAULTY_REASON = "machine is faulty, and there is room elsewhere";

/** Evicts tasks from machines that drain or are about to be reclaimed. */
export class MachineEvacuation {
  readonly #ctx: Context;
  readonly #cluster: ClusterState;
  readonly #agents: AgentManager;
  readonly #scheduler: Scheduler;

  constructor(ctx: Context, cluster: ClusterState, agents: AgentManager, scheduler: Scheduler) {
    this.#ctx = ctx;
    this.#cluster = cluster;
    this.#agents = agents;
    this.#scheduler = scheduler;
  }

  /**
   * Evicts tasks, allowing time for checkpoints. Machines that an operator drains or that are about to be reclaimed are
   * evacuated in any case; tasks that run on a faulty machine leave it only if there is room for them elsewhere.
   */
  tick(): void {
    const faulty: Machine[] = [];
    for (const machine of this.#cluster.machines.values()) {
      if (machine.phase !== "up" || machine.isLeaseExpired) continue;
      if (machine.reclaimDueAt !== null || machine.mode === "drain") this.#evacuate(machine);
      else if (machine.isDraining) faulty.push(machine);
    }
    if (faulty.length > 0) this.#relocateFrom(faulty);
  }

  #evacuate(machine: Machine): void {
    for (const placement of [...machine.placements])
      if (this.#isEvictable(placement)) this.#evict(placement, EVICTION_REASON);
  }

  /**
   * True for tasks with checkpoints, and for replicas that have run for a while. Other tasks would lose their work, and may
   * still complete in time.
   */
  #isEvictable({ job: { spec }, stop, startSentAt }: Placement): boolean {
    if (stop) return false;
    if (spec.shape === "service") return this.#ctx.now - startSentAt > REPLICA_MIN_AGE_MS;
    return spec.checkpointS > 0;
  }

  #evict(placement: Placement, reason: string): void {
    if (placement.job.spec.shape === "service") this.#agents.stopTask(placement, 0, reason);
    else this.#scheduler.preemption.stopGracefully(placement, reason);
  }

  /** Evicts single tasks for which there is room on other machines. A gang is left alone: it fails as a whole if at all. */
  #relocateFrom(faulty: readonly Machine[]): void {
    const plan = new RelocationPlan(this.#cluster, this.#scheduler.feasibleMachines);
    let candidates = 0;
    for (const machine of faulty) {
      for (const placement of [...machine.placements]) {
        if (placement.job.spec.shape === "gang" || placement.job.state !== "active") continue;
        if (!placement.stop && !this.#isEvictable(placement)) continue;
        if (++candidates > MAX_RELOCATIONS_PER_TICK) return;
        // Tasks that are being evicted already need room too.
        const hasRoom = plan.reserve(placement);
        if (hasRoom && !placement.stop) this.#evict(placement, FAULTY_REASON);
      }
    }
  }
}
