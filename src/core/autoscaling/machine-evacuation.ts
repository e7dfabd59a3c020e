import type { AgentManager } from "../agents/agent-manager.js";
import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Machine } from "../model/machine.js";
import type { Scheduler } from "../scheduling/scheduler.js";

/** The minimum time from sending a service replica's start command to evicting it. */
const REPLICA_MIN_AGE_MS = 30_000;
const EVICTION_REASON = "machine drained or reclaimed";

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

  /** Evicts tasks from machines that are drained or about to be reclaimed, allowing time for checkpoints. */
  tick(): void {
    for (const machine of this.#cluster.machines.values()) {
      if (machine.phase !== "up" || machine.isLeaseExpired) continue;
      if (machine.reclaimDueAt === null && !machine.isDraining) continue;
      this.#stopTasksWithCheckpoints(machine);
      this.#stopReplicas(machine);
    }
  }

  /** Stops tasks with checkpoints. Others would lose their work, and may still complete in time. */
  #stopTasksWithCheckpoints(machine: Machine): void {
    for (const placement of [...machine.placements]) {
      const { spec } = placement.job;
      if (placement.stop || spec.shape === "service" || spec.checkpointS <= 0) continue;
      this.#scheduler.preemption.stopGracefully(placement, EVICTION_REASON);
    }
  }

  #stopReplicas(machine: Machine): void {
    for (const placement of [...machine.placements]) {
      if (placement.stop || placement.job.spec.shape !== "service") continue;
      if (this.#ctx.now - placement.startSentAt > REPLICA_MIN_AGE_MS)
        this.#agents.stopTask(placement, 0, EVICTION_REASON);
    }
  }
}
