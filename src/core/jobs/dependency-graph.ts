import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import { type FinalRecord, KEYS, readFinal } from "../store/records.js";

const STORE_TIMEOUT_MS = 2000;
const MAX_CONCURRENT_READS = 4;
/** A final record that could not be read, or does not exist yet, is read again after this. */
const RETRY_MS = 1000;
/** Ended jobs that are kept for jobs submitted later that depend on them. */
const MAX_ENDED_JOBS = 5000;

/** How a job ended, by its final record. */
export type JobEnd = Pick<FinalRecord, "state" | "at">;

/** What the graph tells the leader's term. */
export interface DependencyEvents {
  /** All dependencies of the job are on record as done. */
  onDependenciesSatisfied(job: Job): void;
  /** A dependency of the job is on record as cancelled, and so the job is to be cancelled. */
  onDependencyCancelled(job: Job): void;
}

/**
 * The job DAG. A job may start once all its dependencies are on record as done, and is cancelled with any of them.
 * Priority and deadline are inherited in the other direction: a dependency is as urgent as its most urgent dependent.
 *
 * There are no cycles: a job names only jobs that were accepted before it, and its dependencies never change.
 */
export class DependencyGraph {
  readonly #ctx: Context;
  readonly #cluster: ClusterState;
  readonly #events: DependencyEvents;
  /** Unfinished dependents, by the uid of the dependency, which may be unfinished, ended, or not known yet. */
  readonly #dependents = new Map<string, Set<Job>>();
  /** The unmet dependencies of each job that waits. */
  readonly #unmet = new Map<Job, Set<string>>();
  /** By uid, the earliest learned first. */
  readonly #endedJobs = new Map<string, JobEnd>();
  /** Dependencies known neither as unfinished nor as ended, with the time when their final record is to be read. */
  readonly #nextReadAt = new Map<string, number>();
  #readsInFlight = 0;

  constructor(ctx: Context, cluster: ClusterState, events: DependencyEvents) {
    this.#ctx = ctx;
    this.#cluster = cluster;
    this.#events = events;
  }

  /** Adds an unfinished job, with or without dependencies of its own: later jobs may depend on it. */
  add(job: Job): void {
    this.#nextReadAt.delete(job.uid);
    job.dependentCount = this.#dependents.get(job.uid)?.size ?? 0;
    const dependencies = job.spec.awaits ?? [];
    if (dependencies.length > 0) this.#unmet.set(job, new Set(dependencies));
    for (const uid of dependencies) this.#addDependent(uid, job);
    this.#inheritUrgency(job);
    // Only once all edges are there: each of these may satisfy the last dependency, or cancel the job.
    for (const uid of dependencies) this.#resolve(uid);
  }

  #addDependent(uid: string, job: Job): void {
    let dependents = this.#dependents.get(uid);
    if (!dependents) {
      dependents = new Set();
      this.#dependents.set(uid, dependents);
    }
    dependents.add(job);
    this.#onDependentsChanged(uid, dependents);
  }

  #onDependentsChanged(uid: string, dependents: ReadonlySet<Job>): void {
    const dependency = this.#cluster.jobByUid(uid);
    if (!dependency) return;
    dependency.dependentCount = dependents.size;
    this.#inheritUrgency(dependency);
  }

  /** Applies what is known of a dependency, or has its final record read. */
  #resolve(uid: string): void {
    const dependency = this.#cluster.jobByUid(uid);
    const end = this.#endedJobs.get(uid);
    if (end) this.#applyEnd(uid, end);
    else if (dependency?.state === "cancelled") this.onJobCancelled(dependency);
    else if (!dependency) this.#nextReadAt.set(uid, this.#ctx.now);
  }

  /** A task of the job has started, so an earlier leader knew that its dependencies were satisfied. */
  onJobStarted(job: Job): void {
    job.dependenciesSatisfied = true;
  }

  /** The job's final record is written. */
  onJobEnded(job: Job, end: JobEnd): void {
    this.#endedJobs.delete(job.uid);
    this.#endedJobs.set(job.uid, end);
    if (this.#endedJobs.size > MAX_ENDED_JOBS) {
      const oldest = this.#endedJobs.keys().next();
      if (!oldest.done) this.#endedJobs.delete(oldest.value);
    }
    this.#removeDependent(job);
    this.#applyEnd(job.uid, end);
  }

  /** True if the job was lately learned to have ended. */
  isKnownEnded(uid: string): boolean {
    return this.#endedJobs.has(uid);
  }

  /** The job is on record as cancelled, or depends on one that is: its dependents are cancelled with it. */
  onJobCancelled(job: Job): void {
    for (const dependent of [...(this.#dependents.get(job.uid) ?? [])])
      this.#events.onDependencyCancelled(dependent);
    // Its own dependencies no longer inherit from it.
    this.#removeDependent(job);
  }

  /** A dependency has ended: applies that to all its dependents. */
  #applyEnd(uid: string, { state, at }: JobEnd): void {
    this.#nextReadAt.delete(uid);
    for (const job of [...(this.#dependents.get(uid) ?? [])]) {
      if (state === "cancelled") this.#events.onDependencyCancelled(job);
      else this.#onDependencyDone(job, uid, at ?? 0);
    }
    this.#dependents.delete(uid);
  }

  #onDependencyDone(job: Job, uid: string, doneAt: number): void {
    job.queuedSince = Math.max(job.queuedSince, doneAt);
    const unmet = this.#unmet.get(job);
    unmet?.delete(uid);
    if (!unmet || unmet.size > 0) return;
    this.#unmet.delete(job);
    if (job.state !== "active") return;
    const wasWaiting = !job.dependenciesSatisfied;
    job.dependenciesSatisfied = true;
    if (wasWaiting) this.#events.onDependenciesSatisfied(job);
  }

  /** Removes a job that waits no longer from the dependents of all its dependencies. */
  #removeDependent(job: Job): void {
    this.#unmet.delete(job);
    for (const uid of job.spec.awaits ?? []) {
      const dependents = this.#dependents.get(uid);
      if (!dependents?.delete(job)) continue;
      if (dependents.size === 0) {
        this.#dependents.delete(uid);
        this.#nextReadAt.delete(uid);
      }
      this.#onDependentsChanged(uid, dependents);
    }
  }

  /** Computes a job's effective priority and deadline from its dependents and, if they change, those of its dependencies. */
  #inheritUrgency(job: Job): void {
    const { spec, acceptedAt } = job;
    let { priority } = spec;
    let deadlineAt = spec.deadlineS === null ? null : acceptedAt + spec.deadlineS * 1000;
    for (const dependent of this.#dependents.get(job.uid) ?? []) {
      if (dependent.state !== "active") continue;
      if (dependent.effectivePriority > priority) priority = dependent.effectivePriority;
      if (dependent.effectiveDeadlineAt === null) continue;
      const latestEndAt =
        dependent.effectiveDeadlineAt - this.#ctx.estimates.estimateS(dependent.spec) * 1000;
      deadlineAt = deadlineAt === null ? latestEndAt : Math.min(deadlineAt, latestEndAt);
    }
    if (priority === job.effectivePriority && deadlineAt === job.effectiveDeadlineAt) return;
    job.effectivePriority = priority;
    job.effectiveDeadlineAt = deadlineAt;
    for (const uid of spec.awaits ?? []) {
      const dependency = this.#cluster.jobByUid(uid);
      if (dependency) this.#inheritUrgency(dependency);
    }
  }

  /** The uids of the dependencies that are not known to be done; empty for a job that may start. */
  unmetDependencies(job: Job): readonly string[] {
    return [...(this.#unmet.get(job) ?? [])];
  }

  /** Reads the final records of unknown dependencies, a few at a time. */
  tick(): void {
    const { now } = this.#ctx;
    for (const [uid, readAt] of this.#nextReadAt) {
      if (this.#readsInFlight >= MAX_CONCURRENT_READS) return;
      if (now < readAt) continue;
      if (this.#cluster.jobByUid(uid) || !this.#dependents.has(uid)) this.#nextReadAt.delete(uid);
      else this.#readFinalRecord(uid);
    }
  }

  #readFinalRecord(uid: string): void {
    this.#readsInFlight++;
    this.#nextReadAt.set(uid, Number.POSITIVE_INFINITY);
    this.#ctx.callStore({ kind: "get", key: KEYS.final(uid) }, STORE_TIMEOUT_MS, (response) => {
      this.#readsInFlight--;
      if (!this.#nextReadAt.has(uid)) return;
      const end = response.kind === "found" ? readFinal(response.entry.value) : null;
      // Without a final record the job is unfinished, and the job watch is about to bring its record.
      if (end) this.#applyEnd(uid, end);
      else this.#nextReadAt.set(uid, this.#ctx.now + RETRY_MS);
    });
  }
}
