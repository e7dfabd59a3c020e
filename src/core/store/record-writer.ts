import type { Context } from "../context.js";
import type { StoreResponse } from "../messages/store.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { Placement } from "../model/placement.js";
import { BatchBuilder } from "./batch-builder.js";
import type { MachineRecords } from "./machine-records.js";
import { PendingWrites } from "./pending-writes.js";
import { QuarantinedKeys } from "./quarantined-keys.js";
import { KEYS, type MigrationRecord } from "./records.js";
import { jobsWithChangedKey, rereadVersions, staleVersions } from "./stale-versions.js";
import { countSeparableRecords, type WriteBatch } from "./write-batch.js";
import { WriteBudget } from "./write-budget.js";

const TRANSACTION_TIMEOUT_MS = 1500;
const RETRY_DELAY_MS = 200;
/**
 * A transaction is sent only when the write budget allows this many changes or, if fewer are pending, all of them. In
 * smaller transactions, starts would use up every change, and final records would never be written.
 */
const MIN_TRANSACTION_CHANGES = 6;

/** Queries and callbacks from {@link RecordWriter} to the leader's term. */
export interface RecordWriterCallbacks {
  /** These placements are now recorded and may be started (I2). */
  onPlacementsRecorded(placements: readonly Placement[]): void;
  /** The job was cancelled or its key was deleted. No more of its records are written until they are queued again. */
  onJobKeyChanged(job: Job): void;
  /** The job's final record has been written. */
  onFinalRecordWritten(job: Job): void;
  /** A transaction failed its condition on the leader key: another leader has been elected. */
  onLeadershipLost(reason: string): void;
  /** The store rejected a transaction as invalid; the store's limits may have been lowered. */
  onRecordTooLarge(): void;
  /** Returns the layout in which to record placements (see `chunkTasks`). */
  layout(): number;
}

/**
 * Write-behind queue for the leader's records. Sends one transaction at a time, conditioned on the leader key and on
 * the last known versions of the records it replaces (I5). A transaction that gets no response is retried with the same
 * conditions: if the first attempt was executed after all, they fail and the versions are read again.
 */
export class RecordWriter {
  /** Set when the leader's term ends; nothing more is sent, and responses are ignored. */
  isStopped = false;
  readonly #ctx: Context;
  readonly #lease: LeaderLease;
  readonly #callbacks: RecordWriterCallbacks;
  readonly #pending: PendingWrites;
  readonly #quarantinedKeys: QuarantinedKeys;
  readonly #budget: WriteBudget;
  /** After a rejected transaction: the number of records still to be written one per transaction. */
  #singleRecordsLeft = 0;
  /** True from sending a transaction until its outcome has been handled. */
  #busy = false;
  #retryAt = 0;

  constructor(
    ctx: Context,
    lease: LeaderLease,
    cluster: ClusterState,
    migrationVersion: number,
    callbacks: RecordWriterCallbacks,
  ) {
    this.#ctx = ctx;
    this.#lease = lease;
    this.#callbacks = callbacks;
    this.#pending = new PendingWrites(cluster, ctx.limits, migrationVersion, () => callbacks.layout());
    this.#budget = new WriteBudget(ctx);
    this.#quarantinedKeys = new QuarantinedKeys(ctx);
  }

  /** Number of placement chunks and final records waiting to be written. */
  get backlog(): number {
    return this.#pending.backlog;
  }

  /** The assignment of machines to records. */
  get machineRecords(): MachineRecords {
    return this.#pending.machineRecords;
  }

  /** Queues the record of a task's placement and done mark; a non-urgent write is deferred by a few seconds. */
  markDirty(job: Job, task: number, urgent: boolean): void {
    this.#pending.chunks.markDirty(job, task, urgent, this.#ctx.now);
  }

  /** True while a change to this task is not yet recorded, including writes in flight (I6). */
  isDirty(job: Job, task: number): boolean {
    return this.#pending.chunks.isDirty(job, task);
  }

  /** Queues the final record of a job without active placements; it replaces the job's key (I3, I8). */
  queueFinalRecord(job: Job): void {
    this.#pending.finalJobs.add(job);
  }

  /** Queues the deletion of a key left behind by an earlier leader; such a key is never written again. */
  queueDeletion(key: string): void {
    this.#pending.deletions.add(key);
  }

  /** Queues the migration record (null clears it), replacing a queued one. Calls back once it is committed. */
  writeMigration(value: MigrationRecord | null, onCommitted: () => void): void {
    this.#pending.migration = { value, onCommitted };
  }

  /** Sends the next transaction if none is in flight, a write is due and the write budget allows it. */
  flush(): void {
    if (!this.#maySend()) return;
    this.#pending.chunks.applyLayout();
    const maxChanges = this.#allowedChanges();
    if (maxChanges < 1) return;
    const batch = new BatchBuilder({
      ctx: this.#ctx,
      leaderKeyVersion: this.#lease.leaderKeyVersion,
      pending: this.#pending,
      quarantinedKeys: this.#quarantinedKeys,
      maxChanges,
      singleRecord: this.#singleRecordsLeft > 0,
    }).build();
    if (batch.changes.length > 0) this.#send(batch);
  }

  #maySend(): boolean {
    const { now } = this.#ctx;
    return !this.isStopped && !this.#busy && now >= this.#retryAt && now < this.#lease.validUntil;
  }

  /** Returns the maximum number of changes in a transaction now; 0 while the write budget is too small for one. */
  #allowedChanges(): number {
    const maxChanges = this.#ctx.limits.txnOps;
    const changes = Math.min(maxChanges, this.#budget.available());
    return changes < Math.min(MIN_TRANSACTION_CHANGES, maxChanges, this.backlog) ? 0 : changes;
  }

  #send(batch: WriteBatch): void {
    const { conditions, changes } = batch;
    this.#budget.spend(changes.length);
    this.#busy = true;
    this.#pending.chunks.inFlight = batch.chunks;
    const requestedAt = this.#ctx.now;
    this.#ctx.callStore({ kind: "transaction", conditions, changes }, TRANSACTION_TIMEOUT_MS, (response) => {
      if (!this.isStopped) this.#onResponse(batch, response, requestedAt);
    });
  }

  #onResponse(batch: WriteBatch, response: StoreResponse, requestedAt: number): void {
    // Requeued before `inFlight` is cleared, so that no dirty task appears recorded in between (I6).
    if (response.kind !== "ok") this.#pending.requeue(batch);
    this.#pending.chunks.inFlight = [];
    if (response.kind === "conflict") {
      this.#onConflict(batch, response.failed);
      return;
    }
    this.#busy = false;
    if (response.kind === "ok") {
      if (this.#singleRecordsLeft > 0) this.#singleRecordsLeft--;
      this.#onCommitted(batch, response.revision, requestedAt);
      this.flush();
    } else if (response.kind === "invalid") {
      this.#onInvalid(batch, response.reason);
    } else {
      this.#retryAt = this.#ctx.now + RETRY_DELAY_MS;
    }
  }

  #onCommitted(batch: WriteBatch, revision: number, requestedAt: number): void {
    for (const { job, key } of batch.chunks) job.chunkVersions.set(key, revision);
    for (const bucket of batch.buckets) bucket.version = revision;
    for (const placement of batch.placements) {
      // Only a start makes the transaction conditional on the job's key, which proves that it was not cancelled (I2).
      if (!placement.isRecorded) placement.notCancelledAsOf = requestedAt;
      placement.isRecorded = true;
    }
    if (batch.migration) this.#pending.migrationVersion = revision;
    batch.migration?.onCommitted();
    if (batch.placements.length > 0) this.#callbacks.onPlacementsRecorded(batch.placements);
    for (const job of batch.finalJobs) {
      for (const key of job.chunkVersions.keys()) this.#pending.deletions.add(key);
      this.#callbacks.onFinalRecordWritten(job);
    }
  }

  /**
   * Handles a transaction that the store rejected because of its content, which must not be retried unchanged. Its
   * records are written one per transaction, in the layout for the updated limits; a record that is rejected on its own
   * is quarantined, so that it does not block others.
   */
  #onInvalid(batch: WriteBatch, reason: string): void {
    this.#callbacks.onRecordTooLarge();
    const records = countSeparableRecords(batch);
    this.#singleRecordsLeft = Math.max(this.#singleRecordsLeft, records);
    this.#retryAt = this.#ctx.now + RETRY_DELAY_MS;
    if (records > 1) return;
    const keys = [...batch.chunks.map(({ key }) => key), ...batch.finalJobs.map(({ uid }) => KEYS.job(uid))];
    for (const key of keys) this.#quarantinedKeys.add(key);
    if (batch.migration && this.#pending.migration === batch.migration) this.#pending.migration = null;
    this.#ctx.log("error", "record rejected by the store", { keys, reason });
  }

  /** Handles failed conditions. Sends nothing until the versions of the failed keys have been read again. */
  #onConflict(batch: WriteBatch, failedKeys: readonly string[]): void {
    if (failedKeys.includes(KEYS.leader)) {
      this.#callbacks.onLeadershipLost("a transaction failed its condition on the leader key");
      return;
    }
    for (const job of jobsWithChangedKey(batch, failedKeys)) {
      this.#pending.dropJob(job, batch);
      this.#callbacks.onJobKeyChanged(job);
    }
    rereadVersions(
      this.#ctx,
      staleVersions(batch, failedKeys, this.#pending),
      () => this.isStopped,
      () => {
        this.#busy = false;
        this.#retryAt = this.#ctx.now;
        this.flush();
      },
    );
  }
}
