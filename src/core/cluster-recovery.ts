import type { AgentManager } from "./agents/agent-manager.js";
import type { Context } from "./context.js";
import type { DependencyGraph } from "./jobs/dependency-graph.js";
import type { StoreEntry } from "./messages/store.js";
import type { ClusterState } from "./model/cluster-state.js";
import { RecordRestore } from "./record-restore.js";
import type { Scheduler } from "./scheduling/scheduler.js";
import type { StoredRecords } from "./store/record-reader.js";
import type { RecordWriter } from "./store/record-writer.js";

/** What a recovery works on. */
export interface ClusterRecoveryDependencies {
  readonly cluster: ClusterState;
  readonly agents: AgentManager;
  readonly recordWriter: RecordWriter;
  readonly dependencies: DependencyGraph;
  readonly scheduler: Scheduler;
}

/** How a new leader builds its cluster state: from the records that earlier leaders left, then from heartbeats. */
export class ClusterRecovery {
  readonly #ctx: Context;
  readonly #dependencies: ClusterRecoveryDependencies;

  constructor(ctx: Context, dependencies: ClusterRecoveryDependencies) {
    this.#ctx = ctx;
    this.#dependencies = dependencies;
  }

  /** Builds the cluster state from the records; returns how many placements are on record. */
  restore({ machines, chunks, jobs }: StoredRecords, applyJobRecord: (entry: StoreEntry) => void): number {
    const { cluster, recordWriter, dependencies } = this.#dependencies;
    const restore = new RecordRestore(this.#ctx, cluster, recordWriter, dependencies);
    for (const entry of machines) restore.restoreMachines(entry);
    for (const entry of jobs) applyJobRecord(entry);
    const placementCount = restore.restorePlacements(chunks);
    this.#estimateLastRuns();
    return placementCount;
  }

  /**
   * When a job last ran is not on record. The wait of a job that has begun counts from now, or each of its pending tasks
   * would count as starving under a new leader.
   */
  #estimateLastRuns(): void {
    const { cluster, scheduler } = this.#dependencies;
    const { now } = this.#ctx;
    for (const job of cluster.jobs.values()) if (job.doneCount > 0) job.lastRanAt = now;
    scheduler.turns?.restore(
      [...cluster.jobs.values()].filter((job) => job.doneCount > 0 || job.placements.size > 0),
    );
  }

  /** Reconciles machines with the heartbeats that came in during loading; the others are to be fenced first (I3, I4). */
  reconcileMachines(): void {
    const { cluster, agents } = this.#dependencies;
    for (const machine of cluster.machines.values()) {
      if (machine.heartbeat) agents.reconcile(machine);
      else if (machine.phase === "up") {
        for (const placement of machine.placements)
          machine.incarnation = Math.max(machine.incarnation, placement.incarnation);
        agents.queueFencing(machine);
      }
    }
  }
}
