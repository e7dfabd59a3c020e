import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import { toRanges } from "./chunk-layout.js";
import { contentOf, type DirtyChunk } from "./dirty-chunks.js";
import type { Bucket } from "./machine-records.js";
import type { PendingWrites } from "./pending-writes.js";
import type { QuarantinedKeys } from "./quarantined-keys.js";
import { type ChunkRecord, type FinalRecord, KEYS, NO_MIGRATION } from "./records.js";
import { type Batch, countSeparableRecords, emptyBatch } from "./write-batch.js";

/** Done marks are deferred for this long, so that several share a transaction. */
const DEFERRED_WRITE_DELAY_MS = 3000;
/** From this age on they are as urgent as starts: an ended attempt can't be acknowledged before it is on record (I6). */
const DEFERRED_WRITE_MAX_DELAY_MS = 8000;
/** While final records wait, one part in this many of a transaction's changes is reserved for them: users wait for them. */
const FINAL_RECORDS_DIVISOR = 3;
/** A final record takes two changes: the job's key is deleted, the final key is put. */
const CHANGES_PER_FINAL_RECORD = 2;
const MAX_TRANSACTION_BYTES = 48 * 1024;

/** Estimates of what a record adds to a transaction, against `MAX_TRANSACTION_BYTES`. */
const CHUNK_BYTES = 200;
const CHUNK_ENTRY_BYTES = 48;
const BUCKET_BYTES = 100;
const BUCKET_ENTRY_BYTES = 90;
const FINAL_RECORD_BYTES = 200;

/** What a batch is built from, and its limits. */
export interface BatchOptions {
  readonly ctx: Context;
  /** The version of the leader key that every transaction is conditioned on (I5). */
  readonly leaderKeyVersion: number;
  readonly pending: PendingWrites;
  readonly quarantinedKeys: QuarantinedKeys;
  readonly maxChanges: number;
  /** Put no more than one record, with the machine records it needs, into the batch. */
  readonly singleRecord: boolean;
}

/**
 * Builds the leader's next transaction from the pending writes, which lose what the batch takes. In this order, as far as
 * the limits allow: the migration, urgent chunks (starts), final records, deferred chunks (done marks), deletions, and
 * machine records that lost a machine.
 */
export class BatchBuilder {
  readonly #ctx: Context;
  readonly #pending: PendingWrites;
  readonly #quarantinedKeys: QuarantinedKeys;
  readonly #maxChanges: number;
  readonly #singleRecord: boolean;
  readonly #batch: Batch;
  /** Jobs whose key the batch is conditioned on, as it holds a start of theirs. */
  readonly #startedJobs = new Set<Job>();

  constructor(options: BatchOptions) {
    this.#ctx = options.ctx;
    this.#pending = options.pending;
    this.#quarantinedKeys = options.quarantinedKeys;
    this.#maxChanges = options.maxChanges;
    this.#singleRecord = options.singleRecord;
    this.#batch = emptyBatch({ key: KEYS.leader, version: options.leaderKeyVersion });
  }

  /** Builds the batch; it has no changes if nothing is due. To be called once. */
  build(): Batch {
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
    // Never deleted: a deleted key has version 0 again, and a late write of an older record would pass its condition (I5).
    this.#batch.changes.push({ put: KEYS.migration, value: migration.value ?? NO_MIGRATION });
  }

  /** Sorts the dirty chunks that may be written now by urgency; the urgent ones by priority, then age. */
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

  /** Starts come first, but leave room for final records; deferred chunks never take the writes that starts wait for. */
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
      // The final record of its job may have made a chunk obsolete.
      if (this.#pending.chunks.has(chunk.key) && !this.#addChunk(chunk, this.#maxChanges)) break;
    }
  }

  /**
   * Adds a chunk, and before it the machine records that its placements need. Returns false if it doesn't fit into this
   * many changes; the machine records may have been added even so, and are then on record before it.
   */
  #addChunk(chunk: DirtyChunk, maxChanges: number): boolean {
    const { job, key, range } = chunk;
    const batch = this.#batch;
    const { active, done, placements } = contentOf(job, range);
    for (const bucket of this.#bucketsNeededBy(placements)) {
      if (batch.changes.length < maxChanges) this.#addBucket(bucket);
    }
    if (batch.changes.length + 1 > maxChanges) return false;
    this.#pending.chunks.delete(key);
    // Nothing is stored of this job and there is nothing to store: a chunk of another size has covered these tasks.
    if (active.length === 0 && done.length === 0 && job.chunkVersions.size === 0) return true;
    const value: ChunkRecord = { held: active, done: toRanges(done) };
    const hasStart = placements.some((placement) => !placement.isRecorded);
    // A start is on record only if its job had not been cancelled before (I2).
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

  #bucketsNeededBy(placements: Batch["placements"]): Set<Bucket> {
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
    // A change made while the transaction is in flight marks it dirty again.
    bucket.dirty = false;
  }

  /** Adds final records. A job with a start in this batch has to wait: both are conditioned on its key. */
  #addFinalRecords(): void {
    for (const job of this.#finalJobsInOrder()) {
      if (!this.#hasRoomFor(CHANGES_PER_FINAL_RECORD) || this.#isFull) break;
      if (!this.#startedJobs.has(job)) this.#addFinalRecord(job);
    }
  }

  /** Jobs with dependents come first: those start only once this job's end is on record. */
  #finalJobsInOrder(): Job[] {
    const jobs = [...this.#pending.finalJobs].filter((job) => !this.#quarantinedKeys.has(KEYS.job(job.uid)));
    return jobs.sort((a, b) => Number(b.dependentCount > 0) - Number(a.dependentCount > 0));
  }

  /** Replaces a job's key by its final record, on the condition that the key has not changed (I8). */
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

  /** Adds deletions, conditioned on the leader's key alone: what they delete is never written again (I5). */
  #addDeletions(): void {
    for (const key of this.#pending.deletions) {
      if (!this.#hasRoomFor(1) || this.#isFull) break;
      this.#batch.changes.push({ remove: key });
      this.#batch.deletedKeys.push(key);
      this.#pending.deletions.delete(key);
    }
  }

  /** Adds machine records that lost a machine; they are not worth a transaction of their own. */
  #addChangedBuckets(): void {
    const batch = this.#batch;
    if (batch.changes.length === 0 || this.#singleRecord) return;
    for (const bucket of this.#pending.machineRecords.dirtyBuckets()) {
      if (!this.#hasRoomFor(1) || this.#isFull) break;
      if (!batch.buckets.includes(bucket)) this.#addBucket(bucket);
    }
  }
}
