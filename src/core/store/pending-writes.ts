import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import type { EffectiveStoreLimits } from "../model/store-limits.js";
import { chunkTasks } from "./chunk-layout.js";
import { DirtyChunks } from "./dirty-chunks.js";
import { MachineRecords } from "./machine-records.js";
import type { MigrationWrite, WriteBatch } from "./write-batch.js";

/** A leader's pending writes, by kind of record. Building a batch removes its writes; a failed batch is requeued. */
export class PendingWrites {
  /** Placement chunks that differ from their stored records. */
  readonly chunks: DirtyChunks;
  readonly machineRecords: MachineRecords;
  /** Jobs whose final record is pending, in the order in which they ended. */
  readonly finalJobs = new Set<Job>();
  /** Keys to delete, in the order in which they became obsolete. */
  readonly deletions = new Set<string>();
  migration: MigrationWrite | null = null;
  /** Last known version of the migration record's key. */
  migrationVersion: number;
  readonly #cluster: ClusterState;

  constructor(
    cluster: ClusterState,
    limits: EffectiveStoreLimits,
    migrationVersion: number,
    /** Returns the layout in which to record placements now (see `chunkTasks`). */
    layout: () => number,
  ) {
    this.#cluster = cluster;
    this.migrationVersion = migrationVersion;
    this.machineRecords = new MachineRecords(cluster, () => limits.valueBytes);
    this.chunks = new DirtyChunks(() => chunkTasks(layout(), limits.valueBytes));
  }

  /** Number of placement chunks and final records waiting to be written. */
  get backlog(): number {
    return this.chunks.size + this.finalJobs.size;
  }

  /** Requeues the records of an uncommitted batch; a migration queued in the meantime replaces the batch's. */
  requeue(batch: WriteBatch): void {
    for (const chunk of batch.chunks) if (this.#cluster.jobs.has(chunk.job.index)) this.chunks.requeue(chunk);
    for (const job of batch.finalJobs) this.finalJobs.add(job);
    for (const key of batch.deletedKeys) this.deletions.add(key);
    for (const bucket of batch.buckets) bucket.dirty = true;
    if (batch.migration && !this.migration) this.migration = batch.migration;
  }

  /** Drops the writes of a batch for a job whose key has changed, because the job's state must be read again first. */
  dropJob(job: Job, batch: WriteBatch): void {
    this.finalJobs.delete(job);
    for (const chunk of batch.chunks) if (chunk.job === job) this.chunks.delete(chunk.key);
  }
}
