import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import { type FinalRecord, KEYS, readFinal } from "../store/records.js";

const CALL_MS = 2000;
/** Final records that are read at a time, and how soon one that could not be read, or isn't there yet, is asked for again. */
const READS = 4;
const RETRY_MS = 1000;
/** Ends of jobs that are remembered, for those that will name them. */
const ENDS_KEPT = 5000;

/** How a job ended, by its final record. */
export type JobEnd = Pick<FinalRecord, "state" | "at">;

export interface DependencyEvents {
  /** Every job that this one needs is on record as done. */
  onDependenciesSatisfied(job: Job): void;
  /** A job that this one needs is on record as cancelled. */
  onDependencyCancelled(job: Job): void;
}

/**
 * The jobs that wait for others. A job is released once all that it needs are on record as done, and is cancelled with
 * any of them; priority and deadline of the last jobs reach those before them. The graph has no cycles: a job names
 * only jobs accepted before it, and its dependencies never change.
 */
export class DependencyGraph {
  readonly #ctx: Context;
  readonly #tables: ClusterState;
  readonly #events: DependencyEvents;
  /** The unfinished jobs that name a job, by its id, which may be unfinished, over, or not learned of yet. */
  readonly #dependents = new Map<string, Set<Job>>();
  /** What each waiting job still needs. */
  readonly #open = new Map<Job, Set<string>>();
  readonly #ends = new Map<string, JobEnd>();
  /** Jobs that are neither known as unfinished nor as over, and when their final record is to be read. */
  readonly #unknown = new Map<string, number>();
  #reading = 0;

  constructor(ctx: Context, tables: ClusterState, events: DependencyEvents) {
    this.#ctx = ctx;
    this.#tables = tables;
    this.#events = events;
  }

  /** Takes in an unfinished job, whether or not it waits for others: others may wait for it. */
  add(job: Job): void {
    this.#unknown.delete(job.uid);
    job.dependentCount = this.#dependents.get(job.uid)?.size ?? 0;
    const needs = job.spec.awaits ?? [];
    if (needs.length > 0) this.#open.set(job, new Set(needs));
    for (const uid of needs) this.#wait(job, uid);
    this.#inherit(job);
    // Each of these may end the waiting: what is known of them is looked at once the job waits for all.
    for (const uid of needs) this.#lookAt(uid);
  }

  #wait(job: Job, uid: string): void {
    let waiting = this.#dependents.get(uid);
    if (!waiting) {
      waiting = new Set();
      this.#dependents.set(uid, waiting);
    }
    waiting.add(job);
    const needed = this.#tables.jobByUid(uid);
    if (needed) {
      needed.dependentCount = waiting.size;
      this.#inherit(needed);
    }
  }

  #lookAt(uid: string): void {
    const needed = this.#tables.jobByUid(uid);
    const end = this.#ends.get(uid);
    if (end) this.#settle(uid, end);
    else if (needed?.state === "cancelled") this.onJobCancelled(needed);
    else if (!needed) this.#unknown.set(uid, this.#ctx.now);
  }

  /** A job whose tasks have begun had been released: an earlier leader knew. */
  onJobBegun(job: Job): void {
    job.dependenciesSatisfied = true;
  }

  /** The job is on record as over. */
  onJobEnded(job: Job, end: JobEnd): void {
    this.#ends.delete(job.uid);
    this.#ends.set(job.uid, end);
    if (this.#ends.size > ENDS_KEPT) {
      const oldest = this.#ends.keys().next();
      if (!oldest.done) this.#ends.delete(oldest.value);
    }
    this.#leave(job);
    this.#settle(job.uid, end);
  }

  /** True if the job has lately been learned to be over. */
  isKnownEnded(uid: string): boolean {
    return this.#ends.has(uid);
  }

  /** The job is on record as cancelled, or needs one that is: so are all that need it. */
  onJobCancelled(job: Job): void {
    for (const dependent of [...(this.#dependents.get(job.uid) ?? [])])
      this.#events.onDependencyCancelled(dependent);
    // What it passed on to those before it goes with it.
    this.#leave(job);
  }

  #settle(uid: string, { state, at }: JobEnd): void {
    this.#unknown.delete(uid);
    for (const job of [...(this.#dependents.get(uid) ?? [])]) {
      if (state === "cancelled") this.#events.onDependencyCancelled(job);
      else this.#done(job, uid, at ?? 0);
    }
    this.#dependents.delete(uid);
  }

  #done(job: Job, uid: string, at: number): void {
    job.queuedSince = Math.max(job.queuedSince, at);
    const open = this.#open.get(job);
    open?.delete(uid);
    if (!open || open.size > 0) return;
    this.#open.delete(job);
    if (job.state !== "active") return;
    const waited = !job.dependenciesSatisfied;
    job.dependenciesSatisfied = true;
    if (waited) this.#events.onDependenciesSatisfied(job);
  }

  /** The job waits no longer, for whatever reason. */
  #leave(job: Job): void {
    this.#open.delete(job);
    for (const uid of job.spec.awaits ?? []) {
      const waiting = this.#dependents.get(uid);
      if (!waiting?.delete(job)) continue;
      if (waiting.size === 0) {
        this.#dependents.delete(uid);
        this.#unknown.delete(uid);
      }
      const needed = this.#tables.jobByUid(uid);
      if (!needed) continue;
      needed.dependentCount = waiting.size;
      this.#inherit(needed);
    }
  }

  /** Works out what those that wait for a job make of it and, if that changes it, of those before it. */
  #inherit(job: Job): void {
    const { spec, acceptedAt } = job;
    let { priority } = spec;
    let dueAt = spec.deadlineS === null ? null : acceptedAt + spec.deadlineS * 1000;
    for (const dependent of this.#dependents.get(job.uid) ?? []) {
      if (dependent.state !== "active") continue;
      if (dependent.effectivePriority > priority) priority = dependent.effectivePriority;
      if (dependent.effectiveDeadlineAt === null) continue;
      const latest = dependent.effectiveDeadlineAt - this.#ctx.estimates.estimateS(dependent.spec) * 1000;
      dueAt = dueAt === null ? latest : Math.min(dueAt, latest);
    }
    if (priority === job.effectivePriority && dueAt === job.effectiveDeadlineAt) return;
    job.effectivePriority = priority;
    job.effectiveDeadlineAt = dueAt;
    for (const uid of spec.awaits ?? []) {
      const needed = this.#tables.jobByUid(uid);
      if (needed) this.#inherit(needed);
    }
  }

  /** What a waiting job still needs, for the operators. */
  unmetDependencies(job: Job): readonly string[] {
    return [...(this.#open.get(job) ?? [])];
  }

  /** Reads the final records that waiting jobs need, a few at a time. */
  tick(): void {
    const { now } = this.#ctx;
    for (const [uid, at] of this.#unknown) {
      if (this.#reading >= READS) return;
      if (now < at) continue;
      if (this.#tables.jobByUid(uid) || !this.#dependents.has(uid)) this.#unknown.delete(uid);
      else this.#read(uid);
    }
  }

  #read(uid: string): void {
    this.#reading++;
    this.#unknown.set(uid, Number.POSITIVE_INFINITY);
    this.#ctx.callStore({ kind: "get", key: KEYS.final(uid) }, CALL_MS, (answer) => {
      this.#reading--;
      if (!this.#unknown.has(uid)) return;
      const end = answer.kind === "found" ? readFinal(answer.entry.value) : null;
      // Not over: its own record is on its way here.
      if (end) this.#settle(uid, end);
      else this.#unknown.set(uid, this.#ctx.now + RETRY_MS);
    });
  }
}
