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
import { type Batch, countSeparableRecords } from "./write-batch.js";
import { WriteBudget } from "./write-budget.js";

const TRANSACTION_TIMEOUT_MS = 1500;
const RETRY_DELAY_MS = 200;
/**
 * A transaction waits until the write budget allows this many changes, or as many as are pending: with fewer, starts
 * would take all of each transaction, and final records would starve.
 */
const MIN_TRANSACTION_CHANGES = 6;

/** What the record writer tells the leader's term, and asks of it. */
export interface RecordWriterEvents {
  /** These placements are now on record; they may be started (I2). */
  onPlacementsRecorded(placements: readonly Placement[]): void;
  /** The job's key has changed: the job was cancelled, or its key is deleted. Nothing more is written of it until queued again. */
  onJobKeyChanged(job: Job): void;
  /** The job's final record is written. */
  onJobFinished(job: Job): void;
  /** A transaction failed on the leader key: another leader has been elected. */
  onLeadershipLost(reason: string): void;
  /** The store refused a transaction as invalid: its limits may have fallen. */
  onRecordTooLarge(): void;
  /** The layout in which placements are recorded (see `chunkTasks`). */
  layout(): number;
}

/**
 * Write-behind of the leader's records, one transaction at a time, each conditioned on the leader key and on the versions
 * last seen of what it replaces (I5). A transaction without a response is sent again on the same conditions: if the first
 * one was executed after all, they fail, and the versions are read again.
 */
export class RecordWriter {
  /** Set when the leader's term ends: nothing is sent any more, and responses are ignored. */
  isStopped = false;
  readonly #ctx: Context;
  readonly #lease: LeaderLease;
  readonly #events: RecordWriterEvents;
  readonly #pending: PendingWrites;
  readonly #quarantinedKeys: QuarantinedKeys;
  readonly #budget: WriteBudget;
  /** How many records are still to be written in transactions of their own, after a refused transaction. */
  #singleRecordsLeft = 0;
  /** True from sending a transaction until its outcome has been dealt with. */
  #busy = false;
  #retryAt = 0;

  constructor(
    ctx: Context,
    lease: LeaderLease,
    cluster: ClusterState,
    migrationVersion: number,
    events: RecordWriterEvents,
  ) {
    this.#ctx = ctx;
    this.#lease = lease;
    this.#events = events;
    this.#pending = new PendingWrites(cluster, ctx.limits, migrationVersion, () => events.layout());
    this.#budget = new WriteBudget(ctx);
    this.#quarantinedKeys = new QuarantinedKeys(ctx);
  }

  /** How many placement chunks and final records wait to be written. */
  get backlog(): number {
    return this.#pending.backlog;
  }

  /** Which record lists which machine. */
  get machineRecords(): MachineRecords {
    return this.#pending.machineRecords;
  }

  /** Queues the record of a task's placement and done mark; one that is not urgent is deferred by some seconds. */
  markDirty(job: Job, task: number, urgent: boolean): void {
    this.#pending.chunks.markDirty(job, task, urgent, this.#ctx.now);
  }

  /** True while something about this task is not on record, writes in flight included (I6). */
  isDirty(job: Job, task: number): boolean {
    return this.#pending.chunks.isDirty(job, task);
  }

  /** Queues the final record of a job of which no placement is active; it replaces the job's key (I3, I8). */
  queueFinalRecord(job: Job): void {
    this.#pending.finalJobs.add(job);
  }

  /** Queues the deletion of a key that an earlier leader left behind and that is never written again. */
  queueDeletion(key: string): void {
    this.#pending.deletions.add(key);
  }

  /** Queues the migration record, or null for none, in place of one still queued. Calls back once it is committed. */
  writeMigration(value: MigrationRecord | null, onCommitted: () => void): void {
    this.#pending.migration = { value, onCommitted };
  }

  /** Sends the next transaction, if none is in flight, something is due and the write budget allows it. */
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

  /** The most changes of a transaction now; 0 while the write budget is too small for one. */
  #allowedChanges(): number {
    const maxChanges = this.#ctx.limits.txnOps;
    const changes = Math.min(maxChanges, this.#budget.available());
    return changes < Math.min(MIN_TRANSACTION_CHANGES, maxChanges, this.backlog) ? 0 : changes;
  }

  #send(batch: Batch): void {
    const { conditions, changes } = batch;
    this.#budget.spend(changes.length);
    this.#busy = true;
    this.#pending.chunks.inFlight = batch.chunks;
    const requestedAt = this.#ctx.now;
    this.#ctx.callStore({ kind: "transaction", conditions, changes }, TRANSACTION_TIMEOUT_MS, (response) => {
      if (!this.isStopped) this.#onResponse(batch, response, requestedAt);
    });
  }

  #onResponse(batch: Batch, response: StoreResponse, requestedAt: number): void {
    // Queued again before the in-flight marks go: no dirty task may look recorded in between (I6).
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

  #onCommitted(batch: Batch, revision: number, requestedAt: number): void {
    for (const { job, key } of batch.chunks) job.chunkVersions.set(key, revision);
    for (const bucket of batch.buckets) bucket.version = revision;
    for (const placement of batch.placements) {
      // Only a start conditions the transaction on the job's key, and so shows that it was not cancelled (I2).
      if (!placement.isRecorded) placement.notCancelledAsOf = requestedAt;
      placement.isRecorded = true;
    }
    if (batch.migration) this.#pending.migrationVersion = revision;
    batch.migration?.onCommitted();
    if (batch.placements.length > 0) this.#events.onPlacementsRecorded(batch.placements);
    for (const job of batch.finalJobs) {
      for (const key of job.chunkVersions.keys()) this.#pending.deletions.add(key);
      this.#events.onJobFinished(job);
    }
  }

  /**
   * The store refused the transaction for its content: it must not be repeated as it is. Its records are written one at a
   * time, in the layout of the coming limits; one that is refused alone is quarantined, so that it blocks no other.
   */
  #onInvalid(batch: Batch, reason: string): void {
    this.#events.onRecordTooLarge();
    const records = countSeparableRecords(batch);
    this.#singleRecordsLeft = Math.max(this.#singleRecordsLeft, records);
    this.#retryAt = this.#ctx.now + RETRY_DELAY_MS;
    if (records > 1) return;
    const keys = [...batch.chunks.map(({ key }) => key), ...batch.finalJobs.map(({ uid }) => KEYS.job(uid))];
    for (const key of keys) this.#quarantinedKeys.add(key);
    if (batch.migration && this.#pending.migration === batch.migration) this.#pending.migration = null;
    this.#ctx.log("error", "record rejected by the store", { keys, reason });
  }

  /** Stays busy until the versions that failed have been read again. */
  #onConflict(batch: Batch, failedKeys: readonly string[]): void {
    if (failedKeys.includes(KEYS.leader)) {
      this.#events.onLeadershipLost("a transaction failed on the leader key");
      return;
    }
    for (const job of jobsWithChangedKey(batch, failedKeys)) {
      this.#pending.dropJob(job, batch);
      this.#events.onJobKeyChanged(job);
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
