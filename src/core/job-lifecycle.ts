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

/** The dependencies of {@link JobLifecycle}. */
export interface JobLifecycleDependencies {
  readonly cluster: ClusterState;
  readonly agents: AgentManager;
  readonly recordWriter: RecordWriter;
  readonly dependencies: DependencyGraph;
}

/** Queries and callbacks from {@link JobLifecycle} to the leader's term. */
export interface JobLifecycleCallbacks {
  /** True once the term has ended: late responses must have no effect. */
  hasTermEnded(): boolean;
  /** Jobs have changed in a way that a scheduling round may act on. */
  onJobsChanged(): void;
  /** An ended job was removed from the cluster state. */
  onJobRemoved(job: Job): void;
  /** Runs a callback at the first tick after a delay, unless the term ends first. */
  runAfter(delayMs: number, run: () => void): void;
}

/**
 * Tracks the states of jobs in a leader's term, from the job's key to its final record. Each transition to accepted,
 * cancelled or done is one conditional write of the job's key (I8). Only recorded transitions are applied here; when a
 * write fails its condition, the key is read again.
 */
export class JobLifecycle {
  readonly #ctx: Context;
  readonly #cluster: ClusterState;
  readonly #agents: AgentManager;
  readonly #recordWriter: RecordWriter;
  readonly #dependencies: DependencyGraph;
  readonly #callbacks: JobLifecycleCallbacks;

  constructor(
    ctx: Context,
    { cluster, agents, recordWriter, dependencies }: JobLifecycleDependencies,
    callbacks: JobLifecycleCallbacks,
  ) {
    this.#ctx = ctx;
    this.#cluster = cluster;
    this.#agents = agents;
    this.#recordWriter = recordWriter;
    this.#dependencies = dependencies;
    this.#callbacks = callbacks;
  }

  /** Applies a job record to the cluster state, unless the same or a newer version has been applied. */
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
    // A late change to a job that has ended in this term must not add it again.
    if (this.#dependencies.isKnownEnded(uid)) return;
    const job = this.#cluster.addJob(record.spec, record.acceptedAt, entry.version);
    if (record.state === "cancelled") job.state = "cancelled";
    this.#dependencies.add(job);
    if (job.state === "cancelled") this.#dependencies.onJobCancelled(job);
    if (this.#agents.areRecordsLoaded) this.finalizeIfEnded(job);
    this.#callbacks.onJobsChanged();
  }

  /** Stops the tasks of cancelled jobs and finalizes ended jobs, once all placements are restored. */
  reconcileRestoredJobs(): void {
    for (const job of this.#cluster.jobs.values()) {
      if (job.state === "cancelled") this.#stopAllTasks(job);
      this.finalizeIfEnded(job);
    }
  }

  /** Applies a recorded cancellation of the job or of one of its dependencies. */
  cancel(job: Job): void {
    if (job.state !== "active") return;
    job.state = "cancelled";
    job.isFinalRecordQueued = false;
    this.#stopAllTasks(job);
    this.finalizeIfEnded(job);
    this.#dependencies.onJobCancelled(job);
    this.#callbacks.onJobsChanged();
  }

  #stopAllTasks(job: Job): void {
    for (const placement of [...job.placements.values()]) this.#agents.stopTask(placement, 0, "cancelled");
  }

  /** Queues the final record of a complete or cancelled job once it has no placements left (I3). */
  finalizeIfEnded(job: Job): void {
    if (!this.#agents.areRecordsLoaded || job.isFinalRecordQueued || job.placements.size > 0) return;
    if (job.state === "cancelled" || (job.state === "active" && job.isComplete)) {
      job.isFinalRecordQueued = true;
      this.#recordWriter.queueFinalRecord(job);
    }
  }

  /** Removes the job from the cluster state after its final record is written. */
  onFinalRecordWritten(job: Job): void {
    if (job.state === "active") job.state = "done";
    this.#cluster.jobs.delete(job.index);
    this.#callbacks.onJobRemoved(job);
    const state = job.state === "cancelled" ? "cancelled" : "done";
    this.#dependencies.onJobEnded(job, job.endedAt === null ? { state } : { state, at: job.endedAt });
  }

  /** Reads the job's key again after a write conditioned on it has failed (I8). */
  reread(job: Job): void {
    rereadJob(this.#ctx, job.uid, (stored) => {
      if (this.#callbacks.hasTermEnded() || !this.#cluster.jobs.has(job.index)) return;
      switch (stored.kind) {
        case "active":
          this.applyRecord(stored.entry);
          this.#repeatWrites(job);
          break;
        case "ended":
          this.#onAlreadyFinalized(job, stored.state, stored.endedAt);
          break;
        case "unknown":
          this.#callbacks.runAfter(REREAD_RETRY_MS, () => this.reread(job));
          break;
      }
    });
  }

  /** Handles a final record that already exists, from an earlier leader or from a write whose outcome was unknown. */
  #onAlreadyFinalized(job: Job, state: "done" | "cancelled", endedAt: number | null): void {
    job.state = state;
    job.endedAt = endedAt;
    this.#stopAllTasks(job);
    if (job.placements.size === 0) this.onFinalRecordWritten(job);
  }

  /** Queues the pending writes again, conditioned on the version just read, whether or not the key has changed. */
  #repeatWrites(job: Job): void {
    if (job.state === "active") {
      for (const placement of job.placements.values())
        if (!placement.isRecorded) this.#recordWriter.markDirty(job, placement.task, true);
    }
    if (job.isFinalRecordQueued) this.#recordWriter.queueFinalRecord(job);
  }
}
