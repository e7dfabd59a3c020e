import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import { type FinalRecord, KEYS, readFinal } from "../store/records.js";

const STORE_TIMEOUT_MS = 2000;
const MAX_CONCURRENT_READS = 4;
/** A final record that could not be read or does not exist yet is read again after this time. */
const RETRY_MS = 1000;
/** Maximum number of ended jobs that are kept for dependents submitted later. */
const MAX_ENDED_JOBS = 5000;

/** How and when a job ended, from its final record. */
export type JobEnd = Pick<FinalRecord, "state" | "at">;

/** Events that {@link DependencyGraph} reports to the leader's term. */
export interface DependencyEvents {
  /** All dependencies of the job are recorded as done. */
  onDependenciesSatisfied(job: Job): void;
  /** A dependency of the job is recorded as cancelled, so the job must be cancelled too. */
  onDependencyCancelled(job: Job): void;
}

/**
 * The job DAG. A job may start once all its dependencies are recorded as done, and is cancelled if any of them is.
 * Priority and deadline propagate in the opposite direction: a dependency is as urgent as its most urgent dependent.
 *
 * There are no cycles: a job can depend only on jobs accepted before it, and its dependencies never change.
 */
export class DependencyGraph {
  readonly #ctx: Context;
  readonly #cluster: ClusterState;
  readonly #events: DependencyEvents;
  /** Unfinished dependents by the uid of the dependency, which may be unfinished, ended or not known yet. */
  readonly #dependents = new Map<string, Set<Job>>();
  /** The unsatisfied dependencies of each waiting job. */
  readonly #unsatisfied = new Map<Job, Set<string>>();
  /** Recently ended jobs by uid, oldest entry first. */
  readonly #endedJobs = new Map<string, JobEnd>();
  /** When to read the final record of each dependency that is known neither as unfinished nor as ended. */
  readonly #nextReadAt = new Map<string, number>();
  #readsInFlight = 0;

  constructor(ctx: Context, cluster: ClusterState, events: DependencyEvents) {
    this.#ctx = ctx;
    this.#cluster = cluster;
    this.#events = events;
  }

  /** Adds an unfinished job, even if it has no dependencies: later jobs may depend on it. */
  add(job: Job): void {
    this.#nextReadAt.delete(job.uid);
    job.dependentCount = this.#dependents.get(job.uid)?.size ?? 0;
    const dependencies = job.spec.awaits ?? [];
    if (dependencies.length > 0) this.#unsatisfied.set(job, new Set(dependencies));
    for (const uid of dependencies) this.#addDependent(uid, job);
    this.#inheritUrgency(job);
    // Only after all edges are added: each call may satisfy the job's last dependency or cancel the job.
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

  /** Applies the known state of a dependency; schedules a read of its final record if its state is unknown. */
  #resolve(uid: string): void {
    const dependency = this.#cluster.jobByUid(uid);
    const end = this.#endedJobs.get(uid);
    if (end) this.#applyEnd(uid, end);
    else if (dependency?.state === "cancelled") this.onJobCancelled(dependency);
    else if (!dependency) this.#nextReadAt.set(uid, this.#ctx.now);
  }

  /** Called if a task of the job has already started: an earlier leader must have found its dependencies satisfied. */
  onJobStarted(job: Job): void {
    job.dependenciesSatisfied = true;
  }

  /** Called once the job's final record is written. */
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

  /** True if the job is among the recently ended jobs kept here. */
  isKnownEnded(uid: string): boolean {
    return this.#endedJobs.has(uid);
  }

  /** Called if the job is recorded as cancelled, or depends on a job that is. Its dependents are cancelled too. */
  onJobCancelled(job: Job): void {
    for (const dependent of [...(this.#dependents.get(job.uid) ?? [])])
      this.#events.onDependencyCancelled(dependent);
    // Its own dependencies no longer inherit its priority and deadline.
    this.#removeDependent(job);
  }

  /** Applies the end of a dependency to all its dependents. */
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
    const unmet = this.#unsatisfied.get(job);
    unmet?.delete(uid);
    if (!unmet || unmet.size > 0) return;
    this.#unsatisfied.delete(job);
    if (job.state !== "active") return;
    const wasWaiting = !job.dependenciesSatisfied;
    job.dependenciesSatisfied = true;
    if (wasWaiting) this.#events.onDependenciesSatisfied(job);
  }

  /** Removes a job that no longer waits from the dependents of all its dependencies. */
  #removeDependent(job: Job): void {
    this.#unsatisfied.delete(job);
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

  /**
   * Computes a job's effective priority and deadline from its own and those of its dependents. A change propagates to
   * its dependencies.
   */
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

  /** Returns the uids of the job's dependencies that are not known to be done; empty for a job that may start. */
  unsatisfiedDependencies(job: Job): readonly string[] {
    return [...(this.#unsatisfied.get(job) ?? [])];
  }

  /** Reads the final records of dependencies in unknown state, a few at a time. */
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
      // Without a final record the job is unfinished, and the job watch will deliver its record.
      if (end) this.#applyEnd(uid, end);
      else this.#nextReadAt.set(uid, this.#ctx.now + RETRY_MS);
    });
  }
}
