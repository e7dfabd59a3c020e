import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import { toRanges } from "./chunk-layout.js";
import { collectChunkContent, type DirtyChunk } from "./dirty-chunks.js";
import type { Bucket } from "./machine-records.js";
import type { PendingWrites } from "./pending-writes.js";
import type { QuarantinedKeys } from "./quarantined-keys.js";
import { type ChunkRecord, type FinalRecord, KEYS, NO_MIGRATION } from "./records.js";
import { countSeparableRecords, emptyBatch, type WriteBatch } from "./write-batch.js";

/** How long done marks are deferred, so that several share a transaction. */
const DEFERRED_WRITE_DELAY_MS = 3000;
/** Age at which a done mark becomes as urgent as a start: an ended attempt is acknowledged only once recorded (I6). */
const DEFERRED_WRITE_MAX_DELAY_MS = 8000;
/** One in this many changes of a transaction is reserved for pending final records, because users wait for them. */
const FINAL_RECORDS_DIVISOR = 3;
/** A final record takes two changes: deleting the job's key and putting the final key. */
const CHANGES_PER_FINAL_RECORD = 2;
const MAX_TRANSACTION_BYTES = 48 * 1024;

/** Estimated size that a record adds to a transaction, counted against `MAX_TRANSACTION_BYTES`. */
const CHUNK_BYTES = 200;
const CHUNK_ENTRY_BYTES = 48;
const BUCKET_BYTES = 100;
const BUCKET_ENTRY_BYTES = 90;
const FINAL_RECORD_BYTES = 200;

/** The inputs and limits of a batch. */
export interface BatchOptions {
  readonly ctx: Context;
  /** The leader key version on which every transaction is conditioned (I5). */
  readonly leaderKeyVersion: number;
  readonly pending: PendingWrites;
  readonly quarantinedKeys: QuarantinedKeys;
  readonly maxChanges: number;
  /** Limits the batch to one record and the machine records it depends on. */
  readonly singleRecord: boolean;
}

/**
 * Builds the leader's next transaction and removes from the pending writes whatever it includes. The order, as far as
 * the limits allow, is: the migration, urgent chunks (starts and overdue done marks), final records, deferred chunks
 * (other done marks), deletions, and machine records from which a machine was removed.
 */
export class BatchBuilder {
  readonly #ctx: Context;
  readonly #pending: PendingWrites;
  readonly #quarantinedKeys: QuarantinedKeys;
  readonly #maxChanges: number;
  readonly #singleRecord: boolean;
  readonly #batch: WriteBatch;
  /** Jobs with a start in the batch; the batch is conditioned on their keys. */
  readonly #startedJobs = new Set<Job>();

  constructor(options: BatchOptions) {
    this.#ctx = options.ctx;
    this.#pending = options.pending;
    this.#quarantinedKeys = options.quarantinedKeys;
    this.#maxChanges = options.maxChanges;
    this.#singleRecord = options.singleRecord;
    this.#batch = emptyBatch({ key: KEYS.leader, version: options.leaderKeyVersion });
  }

  /** Builds the batch, which has no changes if nothing is due. Must be called only once. */
  build(): WriteBatch {
    this.#addMigration();
    const { urgent, deferred } = this.#dueChunks();
    this.#addUrgentChunks(urgent);
    this.#addFinalRecords();
    this.#addDeferredChunks(deferred);
    this.#addDeletions();
    this.#addChangedBuckets();
    return this.#batch;
  }

  get #isFull(): boolean {
    const batch = this.#batch;
    return batch.bytes > MAX_TRANSACTION_BYTES || (this.#singleRecord && countSeparableRecords(batch) > 0);
  }

  #hasRoomFor(changes: number): boolean {
    return this.#batch.changes.length + changes <= this.#maxChanges;
  }

  #addMigration(): void {
    const { migration, migrationVersion } = this.#pending;
    if (!migration) return;
    this.#batch.migration = migration;
    this.#pending.migration = null;
    this.#batch.conditions.push({ key: KEYS.migration, version: migrationVersion });
    // The key is never deleted: its version would return to 0, and a late write of an older record would succeed (I5).
    this.#batch.changes.push({ put: KEYS.migration, value: migration.value ?? NO_MIGRATION });
  }

  /** Divides the dirty chunks that are due into urgent ones, sorted by priority, then age, and deferred ones. */
  #dueChunks(): { urgent: DirtyChunk[]; deferred: DirtyChunk[] } {
    const { now } = this.#ctx;
    const urgent: DirtyChunk[] = [];
    const deferred: DirtyChunk[] = [];
    for (const chunk of this.#pending.chunks.values()) {
      if (this.#quarantinedKeys.has(chunk.key)) continue;
      const ageMs = now - chunk.dirtyAt;
      if (chunk.urgent || ageMs >= DEFERRED_WRITE_MAX_DELAY_MS) urgent.push(chunk);
      else if (ageMs >= DEFERRED_WRITE_DELAY_MS) deferred.push(chunk);
    }
    urgent.sort((a, b) => b.job.effectivePriority - a.job.effectivePriority || a.dirtyAt - b.dirtyAt);
    return { urgent, deferred };
  }

  /**
   * Adds urgent chunks (starts and overdue done marks), but leaves room for final records. Deferred chunks are added
   * later, so that they never displace starts.
   */
  #addUrgentChunks(chunks: readonly DirtyChunk[]): void {
    const reservedChanges = Math.min(
      this.#pending.finalJobs.size * CHANGES_PER_FINAL_RECORD,
      Math.ceil(this.#maxChanges / FINAL_RECORDS_DIVISOR),
    );
    const maxChanges = this.#maxChanges - reservedChanges;
    for (const chunk of chunks) if (this.#isFull || !this.#addChunk(chunk, maxChanges)) break;
  }

  #addDeferredChunks(chunks: readonly DirtyChunk[]): void {
    for (const chunk of chunks) {
      if (this.#isFull) break;
      // A chunk is obsolete if the final record of its job has been added.
      if (this.#pending.chunks.has(chunk.key) && !this.#addChunk(chunk, this.#maxChanges)) break;
    }
  }

  /**
   * Adds a chunk, preceded by the machine records that its placements refer to. Returns false if it does not fit within
   * `maxChanges`; its machine records may have been added nevertheless and are then written before the chunk.
   */
  #addChunk(chunk: DirtyChunk, maxChanges: number): boolean {
    const { job, key, range } = chunk;
    const batch = this.#batch;
    const { active, done, placements } = collectChunkContent(job, range);
    for (const bucket of this.#bucketsNeededBy(placements)) {
      if (batch.changes.length < maxChanges) this.#addBucket(bucket);
    }
    if (batch.changes.length + 1 > maxChanges) return false;
    this.#pending.chunks.delete(key);
    // Nothing is stored for this job and there is nothing to store: a chunk of another size covered these tasks.
    if (active.length === 0 && done.length === 0 && job.chunkVersions.size === 0) return true;
    const value: ChunkRecord = { held: active, done: toRanges(done) };
    const hasStart = placements.some((placement) => !placement.isRecorded);
    // Record a start only if its job has not been cancelled (I2).
    if (hasStart && !this.#startedJobs.has(job)) {
      this.#startedJobs.add(job);
      batch.conditions.push({ key: KEYS.job(job.uid), version: job.version });
    }
    batch.conditions.push({ key, version: job.chunkVersions.get(key) ?? 0 });
    batch.changes.push({ put: key, value });
    job.chunkTasks = Math.min(job.chunkTasks, range.count);
    batch.chunks.push(chunk);
    batch.placements.push(...placements);
    batch.bytes += CHUNK_BYTES + active.length * CHUNK_ENTRY_BYTES;
    return true;
  }

  #bucketsNeededBy(placements: WriteBatch["placements"]): Set<Bucket> {
    const buckets = new Set<Bucket>();
    for (const { machine } of placements)
      for (const bucket of this.#pending.machineRecords.dirtyBucketsFor(machine))
        if (!this.#batch.buckets.includes(bucket)) buckets.add(bucket);
    return buckets;
  }

  #addBucket(bucket: Bucket): void {
    const key = KEYS.bucket(bucket.index);
    const value = this.#pending.machineRecords.encode(bucket);
    this.#batch.conditions.push({ key, version: bucket.version });
    this.#batch.changes.push({ put: key, value });
    this.#batch.buckets.push(bucket);
    this.#batch.bytes += BUCKET_BYTES + bucket.machines.size * BUCKET_ENTRY_BYTES;
    // A change during the transaction marks the bucket dirty again.
    bucket.dirty = false;
  }

  /** Adds final records. Skips jobs with a start in this batch, because both would be conditioned on the job's key. */
  #addFinalRecords(): void {
    for (const job of this.#finalJobsInOrder()) {
      if (!this.#hasRoomFor(CHANGES_PER_FINAL_RECORD) || this.#isFull) break;
      if (!this.#startedJobs.has(job)) this.#addFinalRecord(job);
    }
  }

  /** Jobs with dependents come first, because the dependents start only once the job's end is recorded. */
  #finalJobsInOrder(): Job[] {
    const jobs = [...this.#pending.finalJobs].filter((job) => !this.#quarantinedKeys.has(KEYS.job(job.uid)));
    return jobs.sort((a, b) => Number(b.dependentCount > 0) - Number(a.dependentCount > 0));
  }

  /** Replaces a job's key by its final record, provided that the key has not changed (I8). */
  #addFinalRecord(job: Job): void {
    const batch = this.#batch;
    this.#pending.finalJobs.delete(job);
    batch.finalJobs.push(job);
    batch.conditions.push({ key: KEYS.job(job.uid), version: job.version });
    batch.changes.push({ remove: KEYS.job(job.uid) });
    const state = job.state === "cancelled" ? "cancelled" : "done";
    job.endedAt = Math.round(this.#ctx.wallMs);
    const value: FinalRecord = { state, tasks: job.spec.tasks, at: job.endedAt };
    if (job.spec.shape === "service") value.service = true;
    batch.changes.push({ put: KEYS.final(job.uid), value });
    this.#pending.chunks.removeJob(job);
    batch.bytes += FINAL_RECORD_BYTES;
  }

  /** Adds deletions, conditioned on the leader key only, because the deleted keys are never written again (I5). */
  #addDeletions(): void {
    for (const key of this.#pending.deletions) {
      if (!this.#hasRoomFor(1) || this.#isFull) break;
      this.#batch.changes.push({ remove: key });
      this.#batch.deletedKeys.push(key);
      this.#pending.deletions.delete(key);
    }
  }

  /** Adds machine records from which a machine was removed; these alone are no reason to send a transaction. */
  #addChangedBuckets(): void {
    const batch = this.#batch;
    if (batch.changes.length === 0 || this.#singleRecord) return;
    for (const bucket of this.#pending.machineRecords.dirtyBuckets()) {
      if (!this.#hasRoomFor(1) || this.#isFull) break;
      if (!batch.buckets.includes(bucket)) this.#addBucket(bucket);
    }
  }
}
