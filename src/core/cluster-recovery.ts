import type { AgentManager } from "./agents/agent-manager.js";
import type { Context } from "./context.js";
import type { DependencyGraph } from "./jobs/dependency-graph.js";
import type { StoreEntry } from "./messages/store.js";
import type { ClusterState } from "./model/cluster-state.js";
import { RecordRestore } from "./record-restore.js";
import type { Scheduler } from "./scheduling/scheduler.js";
import type { StoredRecords } from "./store/record-reader.js";
import type { RecordWriter } from "./store/record-writer.js";

/** The dependencies of {@link ClusterRecovery}. */
export interface ClusterRecoveryDependencies {
  readonly cluster: ClusterState;
  readonly agents: AgentManager;
  readonly recordWriter: RecordWriter;
  readonly dependencies: DependencyGraph;
  readonly scheduler: Scheduler;
}

/** Builds a new leader's cluster state from the records of earlier leaders, then from agent heartbeats. */
export class ClusterRecovery {
  readonly #ctx: Context;
  readonly #dependencies: ClusterRecoveryDependencies;

  constructor(ctx: Context, dependencies: ClusterRecoveryDependencies) {
    this.#ctx = ctx;
    this.#dependencies = dependencies;
  }

  /** Builds the cluster state from the records. Returns the number of recorded placements. */
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
   * The records do not contain when a job last ran. For a job with tasks already done, the wait is counted from now;
   * otherwise all its pending tasks would count as starving under a new leader.
   */
  #estimateLastRuns(): void {
    const { cluster, scheduler } = this.#dependencies;
    const { now } = this.#ctx;
    for (const job of cluster.jobs.values()) if (job.doneCount > 0) job.lastRanAt = now;
    scheduler.turns?.restore(
      [...cluster.jobs.values()].filter((job) => job.doneCount > 0 || job.placements.size > 0),
    );
  }

  /** Reconciles machines with the heartbeats received during loading. The others must be fenced first (I3, I4). */
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
