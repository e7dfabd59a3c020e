import type { Context } from "./context.js";
import type { Reigning } from "./leadership.js";
import {
  BUCKET_MACHINES,
  type BucketRecord,
  CHUNK_TASKS,
  type ChunkRecord,
  KEYS,
  type MoveRecord,
  NO_MOVE,
  toRanges,
} from "./records.js";
import type { Job, Machine, Placement, Tables } from "./tables.js";
import type { StateChange, StateCondition } from "./types.js";

const CALL_MS = 1500;
const RETRY_MS = 200;
/** Done marks wait this long for other writes to ride along with. */
const LAZY_MS = 3000;
/** Then they are as pressing as any other write: until they are on record ended attempts can't be cleared. */
const LAZY_MAX_MS = 8000;
/** What part of a transaction is kept for jobs that are over: users wait to be told. */
const FINALS_PART = 3;
const TXN_BYTES = 48 * 1024;
/** The leader's part of the write limit; the rest is left to submissions and cancellations. */
const SHARE = 0.8;

interface DirtyChunk {
  readonly job: Job;
  readonly chunk: number;
  since: number;
  urgent: boolean;
}

export interface RecorderEvents {
  /** These placements are now on record; they may be started. */
  recorded(placements: readonly Placement[]): void;
  /** The job's key has changed under us: it was cancelled, or is gone. */
  jobChanged(job: Job): void;
  finished(job: Job): void;
  deposed(why: string): void;
}

interface Bucket {
  readonly index: number;
  readonly machines: Set<Machine>;
  version: number;
  dirty: boolean;
}

interface Batch {
  readonly conditions: StateCondition[];
  readonly changes: StateChange[];
  readonly chunks: DirtyChunk[];
  readonly placements: Placement[];
  readonly buckets: Bucket[];
  readonly finals: Job[];
  readonly removed: string[];
  move: { readonly value: MoveRecord | null; readonly then: () => void } | null;
  bytes: number;
}

/**
 * Writes the leader's records, one transaction at a time, each conditioned on the leadership and on
 * the versions last seen. An unanswered transaction is simply tried again with the same conditions: if the first
 * was executed after all, the conditions fail and the versions are read anew.
 */
export class Recorder {
  readonly #ctx: Context;
  readonly #reign: Reigning;
  readonly #tables: Tables;
  readonly #events: RecorderEvents;
  readonly #chunks = new Map<string, DirtyChunk>();
  /** Those in the transaction under way: not on record until it is answered. */
  #writing: ReadonlySet<string> = new Set();
  readonly #finals = new Set<Job>();
  readonly #gone = new Set<string>();
  readonly #buckets: Bucket[] = [];
  #move: { value: MoveRecord | null; then: () => void } | null = null;
  #moveVersion: number;
  #busy = false;
  #retryAt = 0;
  #allowance: number;
  #allowanceAt: number;
  over = false;

  constructor(ctx: Context, reign: Reigning, tables: Tables, moveVersion: number, events: RecorderEvents) {
    this.#moveVersion = moveVersion;
    this.#ctx = ctx;
    this.#reign = reign;
    this.#tables = tables;
    this.#events = events;
    this.#allowance = ctx.deployment.stateWriteRps * SHARE;
    this.#allowanceAt = ctx.now;
  }

  get backlog(): number {
    return this.#chunks.size + this.#finals.size;
  }

  touch(job: Job, task: number, urgent: boolean): void {
    const chunk = Math.floor(task / CHUNK_TASKS);
    const key = KEYS.chunk(job.uid, chunk);
    const dirty = this.#chunks.get(key);
    if (dirty) dirty.urgent ||= urgent;
    else this.#chunks.set(key, { job, chunk, since: this.#ctx.now, urgent });
  }

  /** True while something about this task is not yet on record. */
  isDirty(job: Job, task: number): boolean {
    const key = KEYS.chunk(job.uid, Math.floor(task / CHUNK_TASKS));
    return this.#chunks.has(key) || this.#writing.has(key);
  }

  finish(job: Job): void {
    this.#finals.add(job);
  }

  machineGone(machine: Machine): void {
    const bucket = machine.bucket === null ? undefined : this.#buckets[machine.bucket];
    if (bucket?.machines.delete(machine)) bucket.dirty = true;
  }

  /** Takes over a record of machines that an earlier leader wrote. */
  inheritBucket(index: number, machines: readonly Machine[], version: number): void {
    for (let i = this.#buckets.length; i <= index; i++) this.#bucket(i);
    const bucket = this.#bucket(index);
    bucket.version = version;
    for (const machine of machines) {
      bucket.machines.add(machine);
      machine.bucket = index;
    }
  }

  #bucket(index: number): Bucket {
    this.#buckets[index] ??= { index, machines: new Set(), version: 0, dirty: false };
    return this.#buckets[index];
  }

  /** The record that a machine's first placement is written with; its neighbours of the same start ride along. */
  #bucketFor(machine: Machine): Bucket {
    const known = machine.bucket === null ? undefined : this.#buckets[machine.bucket];
    if (known) return known;
    const open = this.#buckets.find((bucket) => bucket.machines.size < BUCKET_MACHINES);
    const bucket = open ?? this.#bucket(this.#buckets.length);
    const add = (other: Machine) => {
      bucket.machines.add(other);
      other.bucket = bucket.index;
    };
    add(machine);
    for (const other of this.#tables.machines.values()) {
      if (bucket.machines.size >= BUCKET_MACHINES) break;
      if (other.bucket === null && other.phase === "up" && other.address !== "") add(other);
    }
    bucket.dirty = true;
    return bucket;
  }

  /** Removes what an earlier leader left behind. */
  discard(key: string): void {
    this.#gone.add(key);
  }

  setMove(value: MoveRecord | null, then: () => void): void {
    this.#move = { value, then };
  }

  flush(): void {
    const ctx = this.#ctx;
    if (this.over || this.#busy || ctx.now < this.#retryAt || ctx.now >= this.#reign.confirmedUntil) return;
    const rate = ctx.deployment.stateWriteRps * SHARE;
    this.#allowance = Math.min(rate, this.#allowance + ((ctx.now - this.#allowanceAt) * rate) / 1000);
    this.#allowanceAt = ctx.now;
    const room = Math.min(ctx.deployment.txnOps, Math.floor(this.#allowance));
    if (room < 1) return;
    const batch = this.#build(room);
    if (batch.changes.length === 0) return;
    this.#allowance -= batch.changes.length;
    this.#busy = true;
    const { conditions, changes, chunks } = batch;
    this.#writing = new Set(chunks.map(({ job, chunk }) => KEYS.chunk(job.uid, chunk)));
    const askedAt = ctx.now;
    ctx.state({ t: "txn", conditions, changes }, CALL_MS, (answer) => {
      if (this.over) return;
      if (answer.t !== "ok") this.#putBack(batch);
      this.#writing = new Set();
      switch (answer.t) {
        case "ok":
          this.#busy = false;
          this.#succeeded(batch, answer.revision, askedAt);
          this.flush();
          break;
        case "conflict":
          this.#conflicted(batch, answer.failed);
          break;
        default:
          this.#busy = false;
          this.#retryAt = ctx.now + RETRY_MS;
      }
    });
  }

  #build(room: number): Batch {
    const batch: Batch = {
      conditions: [{ key: KEYS.leader, version: this.#reign.version }],
      changes: [],
      chunks: [],
      placements: [],
      buckets: [],
      finals: [],
      removed: [],
      move: null,
      bytes: 0,
    };
    if (this.#move) {
      batch.move = this.#move;
      this.#move = null;
      const { value } = batch.move;
      batch.conditions.push({ key: KEYS.move, version: this.#moveVersion });
      // Never removed: a key that is gone has version 0 again, and a late copy of an older record would pass.
      batch.changes.push({ put: KEYS.move, value: value ?? NO_MOVE });
    }
    // Starts first, with room left for what users wait to be told, then done marks whose time has come. Done marks
    // used to ride along with any start: at the grown sizes they took the writes that starts were waiting for.
    const { now } = this.#ctx;
    const urgent: DirtyChunk[] = [];
    const lazy: DirtyChunk[] = [];
    for (const dirty of this.#chunks.values()) {
      if (dirty.urgent || now - dirty.since >= LAZY_MAX_MS) urgent.push(dirty);
      else if (now - dirty.since >= LAZY_MS) lazy.push(dirty);
    }
    urgent.sort((a, b) => b.job.spec.priority - a.job.spec.priority || a.since - b.since);
    const jobs = new Set<Job>();
    const forFinals = Math.min(this.#finals.size * 2, Math.ceil(room / FINALS_PART));
    for (const dirty of urgent) {
      if (batch.bytes > TXN_BYTES || !this.#addChunk(batch, dirty, room - forFinals, jobs)) break;
    }
    for (const job of this.#finals) {
      if (batch.changes.length + 2 > room || batch.bytes > TXN_BYTES) break;
      if (jobs.has(job)) continue;
      this.#addFinal(batch, job);
    }
    for (const dirty of lazy) {
      if (batch.bytes > TXN_BYTES || !this.#chunks.has(KEYS.chunk(dirty.job.uid, dirty.chunk))) continue;
      if (!this.#addChunk(batch, dirty, room, jobs)) break;
    }
    for (const key of this.#gone) {
      if (batch.changes.length >= room) break;
      batch.changes.push({ remove: key });
      batch.removed.push(key);
      this.#gone.delete(key);
    }
    if (batch.changes.length > 0) {
      // Machines that are gone are struck off when there is something else to write.
      for (const bucket of this.#buckets) {
        if (batch.changes.length >= room || batch.bytes > TXN_BYTES) break;
        if (bucket.dirty && !batch.buckets.includes(bucket)) this.#addBucket(batch, bucket);
      }
    }
    return batch;
  }

  #addChunk(batch: Batch, dirty: DirtyChunk, room: number, jobs: Set<Job>): boolean {
    const { job, chunk } = dirty;
    const first = chunk * CHUNK_TASKS;
    const last = Math.min(job.spec.tasks, first + CHUNK_TASKS) - 1;
    const held: [number, string, number, number][] = [];
    const placements: Placement[] = [];
    const buckets = new Set<Bucket>();
    for (let task = first; task <= last; task++) {
      const placement = job.held.get(task);
      if (!placement) continue;
      placements.push(placement);
      held.push([task, placement.machine.name, placement.session, placement.attempt]);
      const bucket = this.#bucketFor(placement.machine);
      if (bucket.dirty && !batch.buckets.includes(bucket)) buckets.add(bucket);
    }
    if (batch.changes.length + 1 + buckets.size > room) return false;
    const key = KEYS.chunk(job.uid, chunk);
    this.#chunks.delete(key);
    const done: number[] = [];
    for (let task = first; task <= last; task++) if (job.isDone(task)) done.push(task);
    const value: ChunkRecord = { held, done: toRanges(done) };
    for (const bucket of buckets) this.#addBucket(batch, bucket);
    const starts = placements.some((placement) => !placement.durable);
    // A start depends on the job not having been cancelled since.
    if (starts && !jobs.has(job)) {
      jobs.add(job);
      batch.conditions.push({ key: KEYS.job(job.uid), version: job.version });
    }
    batch.conditions.push({ key, version: job.chunkVersions.get(chunk) ?? 0 });
    batch.changes.push({ put: key, value });
    batch.chunks.push(dirty);
    batch.placements.push(...placements);
    batch.bytes += 200 + held.length * 48;
    return true;
  }

  #addBucket(batch: Batch, bucket: Bucket): void {
    const key = KEYS.bucket(bucket.index);
    const value: BucketRecord = {
      machines: [...bucket.machines].map((m) => [m.name, m.address, m.typeName, m.zone, m.spot]),
    };
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
    batch.changes.push({ put: KEYS.final(job.uid), value: { state, tasks: job.spec.tasks } });
    for (const dirty of this.#chunks.values()) {
      if (dirty.job === job) this.#chunks.delete(KEYS.chunk(job.uid, dirty.chunk));
    }
    batch.bytes += 200;
  }

  #succeeded(batch: Batch, revision: number, askedAt: number): void {
    for (const { job, chunk } of batch.chunks) job.chunkVersions.set(chunk, revision);
    for (const bucket of batch.buckets) bucket.version = revision;
    for (const placement of batch.placements) {
      // Only a start makes the transaction depend on the job's key.
      if (!placement.durable) placement.allowedAt = askedAt;
      placement.durable = true;
    }
    if (batch.move) this.#moveVersion = revision;
    batch.move?.then();
    if (batch.placements.length > 0) this.#events.recorded(batch.placements);
    for (const job of batch.finals) {
      for (const chunk of job.chunkVersions.keys()) this.#gone.add(KEYS.chunk(job.uid, chunk));
      this.#events.finished(job);
    }
  }

  #putBack(batch: Batch): void {
    for (const dirty of batch.chunks) {
      const key = KEYS.chunk(dirty.job.uid, dirty.chunk);
      const newer = this.#chunks.get(key);
      if (newer) newer.urgent ||= dirty.urgent;
      else if (this.#tables.jobs.has(dirty.job.ix)) this.#chunks.set(key, dirty);
    }
    for (const job of batch.finals) this.#finals.add(job);
    for (const key of batch.removed) this.#gone.add(key);
    for (const bucket of batch.buckets) bucket.dirty = true;
    if (batch.move && !this.#move) this.#move = batch.move;
  }

  #conflicted(batch: Batch, failed: readonly string[]): void {
    if (failed.includes(KEYS.leader)) {
      this.#events.deposed("a transaction failed on the leader key");
      return;
    }
    // Chunks may differ because an earlier, unanswered write of ours was executed: take the new version.
    const stale: { key: string; take: (version: number) => void }[] = [];
    for (const { job, chunk } of batch.chunks) {
      const key = KEYS.chunk(job.uid, chunk);
      if (failed.includes(key)) stale.push({ key, take: (version) => job.chunkVersions.set(chunk, version) });
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
      for (const { job: other, chunk } of batch.chunks) {
        if (other === job) this.#chunks.delete(KEYS.chunk(job.uid, chunk));
      }
      this.#events.jobChanged(job);
    }
    if (waiting === 0) {
      done();
      return;
    }
    for (const { key, take } of stale) {
      this.#ctx.state({ t: "get", key }, CALL_MS, (answer) => {
        if (this.over) return;
        if (answer.t === "item") take(answer.item.version);
        else if (answer.t === "absent") take(0);
        if (--waiting === 0) done();
      });
    }
  }
}
