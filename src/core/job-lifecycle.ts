import type { AgentManager } from "./agents/agent-manager.js";
import type { Context } from "./context.js";
import type { DependencyGraph } from "./jobs/dependency-graph.js";
import type { StoreEntry } from "./messages/store.js";
import type { ClusterState } from "./model/cluster-state.js";
import type { Job } from "./model/job.js";
import type { RecordWriter } from "./store/record-writer.js";
import { KEYS, readJob } from "./store/records.js";
import { rereadJob } from "./store/reread-job.js";

const REREAD_RETRY_MS = 300;

/** What the life of jobs is led with. */
export interface JobLifecycleDependencies {
  readonly cluster: ClusterState;
  readonly agents: AgentManager;
  readonly recordWriter: RecordWriter;
  readonly dependencies: DependencyGraph;
}

/** What the life of jobs needs of the term, and reports to it. */
export interface JobLifecycleEvents {
  /** True once the term is over: late responses must have no effect. */
  hasTermEnded(): boolean;
  /** Jobs have changed so that a scheduling round may act on it. */
  onJobsChanged(): void;
  /** A finished job has left the cluster state. */
  onJobRemoved(job: Job): void;
  /** Runs something at the first tick after a delay, unless the term ends before. */
  runAfter(delayMs: number, run: () => void): void;
}

/**
 * The states of jobs in a leader's term, from the job's key to its final record. Accepted, cancelled and done are each
 * decided by one conditioned write of the job's key (I8): what is applied here has been decided there, and a write that
 * lost reads the key again.
 */
export class JobLifecycle {
  readonly #ctx: Context;
  readonly #cluster: ClusterState;
  readonly #agents: AgentManager;
  readonly #recordWriter: RecordWriter;
  readonly #dependencies: DependencyGraph;
  readonly #events: JobLifecycleEvents;

  constructor(
    ctx: Context,
    { cluster, agents, recordWriter, dependencies }: JobLifecycleDependencies,
    events: JobLifecycleEvents,
  ) {
    this.#ctx = ctx;
    this.#cluster = cluster;
    this.#agents = agents;
    this.#recordWriter = recordWriter;
    this.#dependencies = dependencies;
    this.#events = events;
  }

  /** Applies a job's key, unless a version as new has been applied. */
  applyRecord(entry: StoreEntry): void {
    const record = readJob(entry.value);
    const uid = entry.key.slice(KEYS.jobsPrefix.length);
    if (!record || record.spec.uid !== uid) {
      this.#ctx.log("error", "unreadable record", { key: entry.key });
      return;
    }
    const knownJob = this.#cluster.jobByUid(uid);
    if (knownJob) {
      if (entry.version <= knownJob.version) return;
      knownJob.version = entry.version;
      if (record.state === "cancelled") this.cancel(knownJob);
      return;
    }
    // A late change of a job that has ended in this term must not bring it back.
    if (this.#dependencies.isKnownEnded(uid)) return;
    const job = this.#cluster.addJob(record.spec, record.acceptedAt, entry.version);
    if (record.state === "cancelled") job.state = "cancelled";
    this.#dependencies.add(job);
    if (job.state === "cancelled") this.#dependencies.onJobCancelled(job);
    if (this.#agents.areRecordsLoaded) this.finishIfOver(job);
    this.#events.onJobsChanged();
  }

  /** Does what the states of restored jobs call for, once all placements are restored. */
  settleRestoredJobs(): void {
    for (const job of this.#cluster.jobs.values()) {
      if (job.state === "cancelled") this.#stopAllTasks(job);
      this.finishIfOver(job);
    }
  }

  /** Applies a cancellation that is on record: the job's own, or that of one of its dependencies. */
  cancel(job: Job): void {
    if (job.state !== "active") return;
    job.state = "cancelled";
    job.isFinalRecordQueued = false;
    this.#stopAllTasks(job);
    this.finishIfOver(job);
    this.#dependencies.onJobCancelled(job);
    this.#events.onJobsChanged();
  }

  #stopAllTasks(job: Job): void {
    for (const placement of [...job.placements.values()]) this.#agents.stopTask(placement, 0, "cancelled");
  }

  /** Queues the final record of a job that is complete or cancelled, once it has no placement left anywhere (I3). */
  finishIfOver(job: Job): void {
    if (!this.#agents.areRecordsLoaded || job.isFinalRecordQueued || job.placements.size > 0) return;
    if (job.state === "cancelled" || (job.state === "active" && job.isComplete)) {
      job.isFinalRecordQueued = true;
      this.#recordWriter.queueFinalRecord(job);
    }
  }

  /** The job's final record is written: removes it from the cluster state. */
  onFinalRecordWritten(job: Job): void {
    if (job.state === "active") job.state = "done";
    this.#cluster.jobs.delete(job.index);
    this.#events.onJobRemoved(job);
    const state = job.state === "cancelled" ? "cancelled" : "done";
    this.#dependencies.onJobEnded(job, job.endedAt === null ? { state } : { state, at: job.endedAt });
  }

  /** A write conditioned on the job's key has failed: reads what is on record now (I8). */
  reread(job: Job): void {
    rereadJob(this.#ctx, job.uid, (stored) => {
      if (this.#events.hasTermEnded() || !this.#cluster.jobs.has(job.index)) return;
      switch (stored.kind) {
        case "active":
          this.applyRecord(stored.entry);
          this.#repeatWrites(job);
          break;
        case "ended":
          this.#onFoundOver(job, stored.state, stored.endedAt);
          break;
        case "unknown":
          this.#events.runAfter(REREAD_RETRY_MS, () => this.reread(job));
          break;
      }
    });
  }

  /** The final record was written already, by an earlier leader or by a write whose outcome was unknown. */
  #onFoundOver(job: Job, state: "done" | "cancelled", endedAt: number | null): void {
    job.state = state;
    job.endedAt = endedAt;
    this.#stopAllTasks(job);
    if (job.placements.size === 0) this.onFinalRecordWritten(job);
  }

  /** Whether or not the key has changed after all, what is yet to be written is written on the version just read. */
  #repeatWrites(job: Job): void {
    if (job.state === "active") {
      for (const placement of job.placements.values())
        if (!placement.isRecorded) this.#recordWriter.markDirty(job, placement.task, true);
    }
    if (job.isFinalRecordQueued) this.#recordWriter.queueFinalRecord(job);
  }
}
