import type { Context } from "../context.js";
import type { LeaderLease } from "../election/leader-lease.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import type { Placement } from "../model/placement.js";
import { contentOf, type DirtyChunk, DirtyChunks } from "./dirty-chunks.js";
import { type Bucket, MachineRecords } from "./machine-records.js";
import { QuarantinedKeys } from "./quarantined-keys.js";
import {
  type ChunkRecord,
  chunkTasks,
  type FinalRecord,
  KEYS,
  type MigrationRecord,
  NO_MIGRATION,
  toRanges,
} from "./records.js";
import { type Batch, emptyBatch, itemsOf, WriteBudget } from "./write-batch.js";

const CALL_MS = 1500;
const RETRY_MS = 200;
/** Done marks wait this long for other writes to ride along with. */
const LAZY_MS = 3000;
/** Then they are as pressing as any other write: until they are on record ended attempts can't be cleared. */
const LAZY_MAX_MS = 8000;
/** What part of a transaction is kept for jobs that are over: users wait to be told. */
const FINALS_PART = 3;
const TXN_BYTES = 48 * 1024;
/** With fewer changes than this in one transaction, jobs that are over would wait for ever behind starts. */
const LEAST_ROOM = 6;

export interface RecordWriterEvents {
  /** These placements are now on record; they may be started. */
  onPlacementsRecorded(placements: readonly Placement[]): void;
  /** The job's key has changed under us: it was cancelled, or is gone. */
  onJobKeyChanged(job: Job): void;
  onJobFinished(job: Job): void;
  onLeadershipLost(why: string): void;
  /** The state service takes no records of this size: its limits have fallen. */
  onRecordTooLarge(): void;
  /** The layout in which placements are recorded (see `chunkTasks`). */
  layout(): number;
}

/**
 * Writes the leader's records, one transaction at a time, each conditioned on the leadership and on
 * the versions last seen. An unanswered transaction is simply tried again with the same conditions: if the first
 * was executed after all, the conditions fail and the versions are read anew.
 */
export class RecordWriter {
  readonly #ctx: Context;
  readonly #term: LeaderLease;
  readonly #tables: ClusterState;
  readonly #events: RecordWriterEvents;
  readonly #chunks: DirtyChunks;
  /** So many records are written one by one, after a transaction that was refused for what is in it. */
  #oneByOne = 0;
  readonly #setAside: QuarantinedKeys;
  readonly #finals = new Set<Job>();
  readonly #gone = new Set<string>();
  readonly machineRecords: MachineRecords;
  #move: { value: MigrationRecord | null; then: () => void } | null = null;
  #moveVersion: number;
  #busy = false;
  #retryAt = 0;
  readonly #allowance: WriteBudget;
  isStopped = false;

  constructor(
    ctx: Context,
    term: LeaderLease,
    tables: ClusterState,
    moveVersion: number,
    events: RecordWriterEvents,
  ) {
    this.#moveVersion = moveVersion;
    this.#ctx = ctx;
    this.#term = term;
    this.#tables = tables;
    this.#events = events;
    this.machineRecords = new MachineRecords(tables, () => ctx.limits.valueBytes);
    this.#chunks = new DirtyChunks(() => chunkTasks(events.layout(), ctx.limits.valueBytes));
    this.#allowance = new WriteBudget(ctx);
    this.#setAside = new QuarantinedKeys(ctx);
  }

  get backlog(): number {
    return this.#chunks.size + this.#finals.size;
  }

  markDirty(job: Job, task: number, urgent: boolean): void {
    this.#chunks.touch(job, task, urgent, this.#ctx.now);
  }

  /** True while something about this task is not yet on record. */
  isDirty(job: Job, task: number): boolean {
    return this.#chunks.isDirty(job, task);
  }

  queueFinalRecord(job: Job): void {
    this.#finals.add(job);
  }

  /** Removes what an earlier leader left behind. */
  queueDeletion(key: string): void {
    this.#gone.add(key);
  }

  writeMigration(value: MigrationRecord | null, then: () => void): void {
    this.#move = { value, then };
  }

  flush(): void {
    const ctx = this.#ctx;
    if (this.isStopped || this.#busy || ctx.now < this.#retryAt || ctx.now >= this.#term.validUntil) return;
    this.#chunks.followLayout();
    const room = Math.min(ctx.limits.txnOps, this.#allowance.available());
    // Short of writes, transactions wait until there are enough for all that has to share them.
    if (room < Math.min(LEAST_ROOM, ctx.limits.txnOps, this.backlog)) return;
    if (room < 1) return;
    const batch = this.#build(room);
    if (batch.changes.length === 0) return;
    this.#allowance.spend(batch.changes.length);
    this.#busy = true;
    const { conditions, changes } = batch;
    this.#chunks.writing = batch.chunks;
    const askedAt = ctx.now;
    ctx.callStore({ kind: "transaction", conditions, changes }, CALL_MS, (answer) => {
      if (this.isStopped) return;
      if (answer.kind !== "ok") this.#putBack(batch);
      this.#chunks.writing = [];
      switch (answer.kind) {
        case "ok":
          this.#busy = false;
          if (this.#oneByOne > 0) this.#oneByOne--;
          this.#succeeded(batch, answer.revision, askedAt);
          this.flush();
          break;
        case "conflict":
          this.#conflicted(batch, answer.failed);
          break;
        case "invalid":
          this.#busy = false;
          this.#refused(batch, answer.reason);
          break;
        default:
          this.#busy = false;
          this.#retryAt = ctx.now + RETRY_MS;
      }
    });
  }

  #build(room: number): Batch {
    const batch = emptyBatch({ key: KEYS.leader, version: this.#term.leaderKeyVersion });
    if (this.#move) {
      batch.move = this.#move;
      this.#move = null;
      const { value } = batch.move;
      batch.conditions.push({ key: KEYS.move, version: this.#moveVersion });
      // Never removed: a key that is gone has version 0 again, and a late copy of an older record would pass.
      batch.changes.push({ put: KEYS.move, value: value ?? NO_MIGRATION });
    }
    // Starts first, with room left for what users wait to be told, then done marks whose time has come. Done marks
    // used to ride along with any start: at the grown sizes they took the writes that starts were waiting for.
    const { now } = this.#ctx;
    const urgent: DirtyChunk[] = [];
    const lazy: DirtyChunk[] = [];
    for (const dirty of this.#chunks.values()) {
      if (this.#setAside.has(dirty.key)) continue;
      if (dirty.urgent || now - dirty.since >= LAZY_MAX_MS) urgent.push(dirty);
      else if (now - dirty.since >= LAZY_MS) lazy.push(dirty);
    }
    urgent.sort((a, b) => b.job.effectivePriority - a.job.effectivePriority || a.since - b.since);
    const jobs = new Set<Job>();
    const forFinals = Math.min(this.#finals.size * 2, Math.ceil(room / FINALS_PART));
    for (const dirty of urgent) {
      if (this.#isFull(batch) || !this.#addChunk(batch, dirty, room - forFinals, jobs)) break;
    }
    for (const job of this.#finalsInOrder()) {
      if (batch.changes.length + 2 > room || this.#isFull(batch)) break;
      if (!jobs.has(job)) this.#addFinal(batch, job);
    }
    for (const dirty of lazy) {
      if (this.#isFull(batch)) break;
      if (this.#chunks.has(dirty.key) && !this.#addChunk(batch, dirty, room, jobs)) break;
    }
    for (const key of this.#gone) {
      if (batch.changes.length >= room || this.#isFull(batch)) break;
      batch.changes.push({ remove: key });
      batch.removed.push(key);
      this.#gone.delete(key);
    }
    // Machines that are gone are struck off when there is something else to write.
    if (batch.changes.length > 0 && this.#oneByOne === 0) {
      for (const bucket of this.machineRecords.changed()) {
        if (batch.changes.length >= room || this.#isFull(batch)) break;
        if (!batch.buckets.includes(bucket)) this.#addBucket(batch, bucket);
      }
    }
    return batch;
  }

  #isFull(batch: Batch): boolean {
    return batch.bytes > TXN_BYTES || (this.#oneByOne > 0 && itemsOf(batch) > 0);
  }

  /** Jobs that others wait for come first: the next of a pipeline starts once this one is on record as done. */
  #finalsInOrder(): Job[] {
    const finals = [...this.#finals].filter((job) => !this.#setAside.has(KEYS.job(job.uid)));
    return finals.sort((a, b) => Number(b.dependentCount > 0) - Number(a.dependentCount > 0));
  }

  #addChunk(batch: Batch, dirty: DirtyChunk, room: number, jobs: Set<Job>): boolean {
    const { job, key, range } = dirty;
    const { held, done, placements } = contentOf(job, range);
    const buckets = new Set<Bucket>();
    for (const { machine } of placements)
      for (const bucket of this.machineRecords.toWrite(machine))
        if (!batch.buckets.includes(bucket)) buckets.add(bucket);
    // Where they don't all fit beside it, the machines are on record first.
    for (const bucket of buckets) if (batch.changes.length < room) this.#addBucket(batch, bucket);
    if (batch.changes.length + 1 > room) return false;
    this.#chunks.delete(key);
    // What another size of chunk has left empty needs no record.
    if (held.length === 0 && done.length === 0 && job.chunkVersions.size === 0) return true;
    const value: ChunkRecord = { held, done: toRanges(done) };
    const starts = placements.some((placement) => !placement.isRecorded);
    // A start depends on the job not having been cancelled since.
    if (starts && !jobs.has(job)) {
      jobs.add(job);
      batch.conditions.push({ key: KEYS.job(job.uid), version: job.version });
    }
    batch.conditions.push({ key, version: job.chunkVersions.get(key) ?? 0 });
    batch.changes.push({ put: key, value });
    job.chunkTasks = Math.min(job.chunkTasks, range.count);
    batch.chunks.push(dirty);
    batch.placements.push(...placements);
    batch.bytes += 200 + held.length * 48;
    return true;
  }

  #addBucket(batch: Batch, bucket: Bucket): void {
    const key = KEYS.bucket(bucket.index);
    const value = this.machineRecords.value(bucket);
    batch.conditions.push({ key, version: bucket.version });
    batch.changes.push({ put: key, value });
    batch.buckets.push(bucket);
    batch.bytes += 100 + bucket.machines.size * 90;
    // What is added while this is under way makes it dirty again.
    bucket.dirty = false;
  }

  #addFinal(batch: Batch, job: Job): void {
    this.#finals.delete(job);
    batch.finals.push(job);
    batch.conditions.push({ key: KEYS.job(job.uid), version: job.version });
    batch.changes.push({ remove: KEYS.job(job.uid) });
    const state = job.state === "cancelled" ? "cancelled" : "done";
    job.endedAt = Math.round(this.#ctx.wallMs);
    const value: FinalRecord = { state, tasks: job.spec.tasks, at: job.endedAt };
    if (job.spec.shape === "service") value.service = true;
    batch.changes.push({ put: KEYS.final(job.uid), value });
    this.#chunks.forget(job);
    batch.bytes += 200;
  }

  #succeeded(batch: Batch, revision: number, askedAt: number): void {
    for (const { job, key } of batch.chunks) job.chunkVersions.set(key, revision);
    for (const bucket of batch.buckets) bucket.version = revision;
    for (const placement of batch.placements) {
      // Only a start makes the transaction depend on the job's key.
      if (!placement.isRecorded) placement.notCancelledAsOf = askedAt;
      placement.isRecorded = true;
    }
    if (batch.move) this.#moveVersion = revision;
    batch.move?.then();
    if (batch.placements.length > 0) this.#events.onPlacementsRecorded(batch.placements);
    for (const job of batch.finals) {
      for (const key of job.chunkVersions.keys()) this.#gone.add(key);
      this.#events.onJobFinished(job);
    }
  }

  #putBack(batch: Batch): void {
    for (const dirty of batch.chunks) if (this.#tables.jobs.has(dirty.job.index)) this.#chunks.putBack(dirty);
    for (const job of batch.finals) this.#finals.add(job);
    for (const key of batch.removed) this.#gone.add(key);
    for (const bucket of batch.buckets) bucket.dirty = true;
    if (batch.move && !this.#move) this.#move = batch.move;
  }

  /**
   * Refused for what is in it: never repeated as it is. The records are written one by one, in the layout of the limits
   * to come; one that is refused by itself is left out for a while, so that it holds up no other.
   */
  #refused(batch: Batch, why: string): void {
    this.#events.onRecordTooLarge();
    const items = itemsOf(batch);
    this.#oneByOne = Math.max(this.#oneByOne, items);
    this.#retryAt = this.#ctx.now + RETRY_MS;
    if (items > 1) return;
    const keys = [...batch.chunks.map(({ key }) => key), ...batch.finals.map(({ uid }) => KEYS.job(uid))];
    for (const key of keys) this.#setAside.add(key);
    if (batch.move && this.#move === batch.move) this.#move = null;
    this.#ctx.log("error", "a record can't be written", { keys, why });
  }

  #conflicted(batch: Batch, failed: readonly string[]): void {
    if (failed.includes(KEYS.leader)) {
      this.#events.onLeadershipLost("a transaction failed on the leader key");
      return;
    }
    // Chunks may differ because an earlier, unanswered write of ours was executed: take the new version.
    const stale: { key: string; take: (version: number) => void }[] = [];
    for (const { job, key } of batch.chunks) {
      if (failed.includes(key)) stale.push({ key, take: (version) => job.chunkVersions.set(key, version) });
    }
    for (const bucket of batch.buckets) {
      const key = KEYS.bucket(bucket.index);
      const take = (version: number) => {
        bucket.version = version;
      };
      if (failed.includes(key)) stale.push({ key, take });
    }
    const takeMove = (version: number) => {
      this.#moveVersion = version;
    };
    if (failed.includes(KEYS.move)) stale.push({ key: KEYS.move, take: takeMove });
    const jobs = new Set<Job>();
    for (const { job } of batch.chunks) if (failed.includes(KEYS.job(job.uid))) jobs.add(job);
    for (const job of batch.finals) if (failed.includes(KEYS.job(job.uid))) jobs.add(job);
    let waiting = stale.length;
    const done = () => {
      this.#busy = false;
      this.#retryAt = this.#ctx.now;
      this.flush();
    };
    for (const job of jobs) {
      this.#finals.delete(job);
      for (const dirty of batch.chunks) if (dirty.job === job) this.#chunks.delete(dirty.key);
      this.#events.onJobKeyChanged(job);
    }
    if (waiting === 0) {
      done();
      return;
    }
    for (const { key, take } of stale) {
      this.#ctx.callStore({ kind: "get", key }, CALL_MS, (answer) => {
        if (this.isStopped) return;
        if (answer.kind === "found") take(answer.entry.version);
        else if (answer.kind === "notFound") take(0);
        if (--waiting === 0) done();
      });
    }
  }
}
