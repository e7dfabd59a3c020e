import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import type { EffectiveStoreLimits } from "../model/store-limits.js";
import { chunkTasks } from "./chunk-layout.js";
import { DirtyChunks } from "./dirty-chunks.js";
import { MachineRecords } from "./machine-records.js";
import type { Batch, MigrationWrite } from "./write-batch.js";

/** Everything a leader has yet to write, by kind of record. Building a batch takes from it; a failed one is requeued. */
export class PendingWrites {
  /** Placement chunks that differ from what is stored. */
  readonly chunks: DirtyChunks;
  readonly machineRecords: MachineRecords;
  /** Ended jobs, in the order in which they ended. */
  readonly finalJobs = new Set<Job>();
  /** Keys to delete, in the order in which they became obsolete. */
  readonly deletions = new Set<string>();
  migration: MigrationWrite | null = null;
  /** The version last seen of the migration record's key. */
  migrationVersion: number;
  readonly #cluster: ClusterState;

  constructor(
    cluster: ClusterState,
    limits: EffectiveStoreLimits,
    migrationVersion: number,
    /** The layout in which placements are recorded now (see `chunkTasks`). */
    layout: () => number,
  ) {
    this.#cluster = cluster;
    this.migrationVersion = migrationVersion;
    this.machineRecords = new MachineRecords(cluster, () => limits.valueBytes);
    this.chunks = new DirtyChunks(() => chunkTasks(layout(), limits.valueBytes));
  }

  /** How many placement chunks and final records wait to be written. */
  get backlog(): number {
    return this.chunks.size + this.finalJobs.size;
  }

  /** Queues the records of an uncommitted batch again; a migration queued since then replaces the batch's. */
  requeue(batch: Batch): void {
    for (const chunk of batch.chunks) if (this.#cluster.jobs.has(chunk.job.index)) this.chunks.requeue(chunk);
    for (const job of batch.finalJobs) this.finalJobs.add(job);
    for (const key of batch.deletedKeys) this.deletions.add(key);
    for (const bucket of batch.buckets) bucket.dirty = true;
    if (batch.migration && !this.migration) this.migration = batch.migration;
  }

  /** Drops what this batch was to write of a job: its key has changed, so its state must be read again first. */
  dropJob(job: Job, batch: Batch): void {
    this.finalJobs.delete(job);
    for (const chunk of batch.chunks) if (chunk.job === job) this.chunks.delete(chunk.key);
  }
}
