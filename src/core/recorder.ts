import type { Context } from "./context.js";
import type { Reigning } from "./leadership.js";
import { CHUNK_TASKS, type ChunkRecord, KEYS, type MoveRecord, toRanges } from "./records.js";
import type { Job, Machine, Placement, Tables } from "./tables.js";
import type { StateChange, StateCondition } from "./types.js";

const CALL_MS = 1500;
const RETRY_MS = 200;
/** Done marks wait this long for other writes to ride along with. */
const LAZY_MS = 1500;
const TXN_BYTES = 48 * 1024;
/** The leader's part of the write limit; the rest is left to submissions and cancellations. */
const SHARE = 0.7;

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

interface Batch {
  readonly conditions: StateCondition[];
  readonly changes: StateChange[];
  readonly chunks: DirtyChunk[];
  readonly placements: Placement[];
  readonly machines: Machine[];
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
  readonly #finals = new Set<Job>();
  readonly #gone = new Set<string>();
  #move: { value: MoveRecord | null; then: () => void } | null = null;
  #busy = false;
  #retryAt = 0;
  #allowance: number;
  #allowanceAt: number;
  over = false;

  constructor(ctx: Context, reign: Reigning, tables: Tables, events: RecorderEvents) {
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
    return this.#chunks.has(KEYS.chunk(job.uid, Math.floor(task / CHUNK_TASKS)));
  }

  finish(job: Job): void {
    this.#finals.add(job);
  }

  machineGone(name: string): void {
    this.#gone.add(KEYS.machine(name));
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
    const { conditions, changes } = batch;
    ctx.state({ t: "txn", conditions, changes }, CALL_MS, (answer) => {
      if (this.over) return;
      switch (answer.t) {
        case "ok":
          this.#busy = false;
          this.#succeeded(batch, answer.revision);
          this.flush();
          break;
        case "conflict":
          this.#conflicted(batch, answer.failed);
          break;
        default:
          this.#busy = false;
          this.#putBack(batch);
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
      machines: [],
      finals: [],
      removed: [],
      move: null,
      bytes: 0,
    };
    if (this.#move) {
      batch.move = this.#move;
      this.#move = null;
      const { value } = batch.move;
      batch.changes.push(value ? { put: KEYS.move, value } : { remove: KEYS.move });
    }
    const urgent = [...this.#chunks.values()].sort(
      (a, b) => b.job.spec.priority - a.job.spec.priority || a.since - b.since,
    );
    const anyUrgent = urgent.some((dirty) => dirty.urgent);
    const jobs = new Set<Job>();
    for (const dirty of urgent) {
      if (!dirty.urgent && !anyUrgent && this.#ctx.now - dirty.since < LAZY_MS) continue;
      if (batch.bytes > TXN_BYTES || !this.#addChunk(batch, dirty, room, jobs)) break;
    }
    for (const job of this.#finals) {
      if (batch.changes.length + 2 > room || batch.bytes > TXN_BYTES) break;
      if (jobs.has(job)) continue;
      this.#addFinal(batch, job);
    }
    for (const key of this.#gone) {
      if (batch.changes.length >= room) break;
      batch.changes.push({ remove: key });
      batch.removed.push(key);
      this.#gone.delete(key);
    }
    return batch;
  }

  #addChunk(batch: Batch, dirty: DirtyChunk, room: number, jobs: Set<Job>): boolean {
    const { job, chunk } = dirty;
    const first = chunk * CHUNK_TASKS;
    const last = Math.min(job.spec.tasks, first + CHUNK_TASKS) - 1;
    const held: [number, string, number, number][] = [];
    const placements: Placement[] = [];
    const machines = new Set<Machine>();
    for (let task = first; task <= last; task++) {
      const placement = job.held.get(task);
      if (!placement) continue;
      placements.push(placement);
      held.push([task, placement.machine.name, placement.session, placement.attempt]);
      if (!placement.machine.recorded && !batch.machines.includes(placement.machine)) {
        machines.add(placement.machine);
      }
    }
    if (batch.changes.length + 1 + machines.size > room) return false;
    const key = KEYS.chunk(job.uid, chunk);
    this.#chunks.delete(key);
    const done: number[] = [];
    for (let task = first; task <= last; task++) if (job.isDone(task)) done.push(task);
    const value: ChunkRecord = { held, done: toRanges(done) };
    for (const machine of machines) {
      const { address, typeName, zone, spot } = machine;
      batch.changes.push({
        put: KEYS.machine(machine.name),
        value: { address, type: typeName, zone, spot },
      });
      batch.machines.push(machine);
    }
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

  #succeeded(batch: Batch, revision: number): void {
    for (const { job, chunk } of batch.chunks) job.chunkVersions.set(chunk, revision);
    for (const machine of batch.machines) machine.recorded = true;
    for (const placement of batch.placements) placement.durable = true;
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
    if (batch.move && !this.#move) this.#move = batch.move;
  }

  #conflicted(batch: Batch, failed: readonly string[]): void {
    if (failed.includes(KEYS.leader)) {
      this.#events.deposed("a transaction failed on the leader key");
      return;
    }
    this.#putBack(batch);
    // Chunks may differ because an earlier, unanswered write of ours was executed: take the new version.
    const chunks = batch.chunks.filter(({ job, chunk }) => failed.includes(KEYS.chunk(job.uid, chunk)));
    const jobs = new Set<Job>();
    for (const { job } of batch.chunks) if (failed.includes(KEYS.job(job.uid))) jobs.add(job);
    for (const job of batch.finals) if (failed.includes(KEYS.job(job.uid))) jobs.add(job);
    let waiting = chunks.length;
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
    for (const { job, chunk } of chunks) {
      this.#ctx.state({ t: "get", key: KEYS.chunk(job.uid, chunk) }, CALL_MS, (answer) => {
        if (this.over) return;
        if (answer.t === "item") job.chunkVersions.set(chunk, answer.item.version);
        else if (answer.t === "absent") job.chunkVersions.delete(chunk);
        if (--waiting === 0) done();
      });
    }
  }
}
