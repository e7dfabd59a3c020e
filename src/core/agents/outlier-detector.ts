import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import type { Ejection, Machine } from "../model/machine.js";
import { EjectionLimit } from "./ejection-limit.js";
import { FailureAttribution, MACHINE_EVIDENCE_MS } from "./failure-attribution.js";
import { backOffIfSuspect, endBackoff } from "./job-backoff.js";

/** A machine on which this many jobs have failed that are not at fault themselves is an outlier. */
const OUTLIER_MIN_JOBS = 2;
/** An ejection that is not confirmed ends after this time: a job may wait for the machine. */
const EJECTION_MS = 60_000;

/** The evidence that a machine is faulty. */
interface Evidence {
  /** Jobs that have failed on it and are not at fault themselves. */
  readonly jobs: readonly Job[];
  /** How many of them are known to succeed on other machines. */
  readonly soundCount: number;
}

/**
 * Outlier detection: ejects machines from scheduling on which different jobs fail that do not fail elsewhere.
 *
 * An ejection takes nothing but new tasks from the machine, until it is confirmed by jobs that are known to succeed on
 * other machines. It ends when a task is done on the machine, when the failures turn out to be the jobs' fault, when they
 * are long ago or, unconfirmed, after {@link EJECTION_MS}. The number of ejected machines is limited
 * ({@link EjectionLimit}); beyond it the machines with the most evidence are ejected.
 *
 * The state is the leader's own: a new leader starts without ejections and finds a faulty machine by its next failures.
 */
export class OutlierDetector {
  readonly #ctx: Context;
  readonly #cluster: ClusterState;
  readonly #limit: EjectionLimit;
  readonly #attribution: FailureAttribution;
  readonly #onReadmitted: () => void;
  /** Jobs that have failed since the last tick. */
  readonly #failedSinceTick = new Set<Job>();
  /** Outliers that the limit keeps in use, each logged once. */
  readonly #deferred = new Set<Machine>();

  /**
   * @param ctx The context shared by all parts of the core.
   * @param cluster The cluster state.
   * @param onReadmitted Called when tasks may be placed on an ejected machine again.
   */
  constructor(ctx: Context, cluster: ClusterState, onReadmitted: () => void) {
    this.#ctx = ctx;
    this.#cluster = cluster;
    this.#limit = new EjectionLimit(cluster);
    this.#attribution = new FailureAttribution(ctx, cluster);
    this.#onReadmitted = onReadmitted;
  }

  /** Records that a task of the job has failed on the machine: the machine may be an outlier now, or the job suspect. */
  onTaskFailed(job: Job, machine: Machine): void {
    machine.failures++;
    machine.failedJobs.set(job, this.#ctx.now);
    this.#failedSinceTick.add(job);
    // A single job is no evidence against the machine; a machine kept in use by the limit is tried at the next tick.
    if (machine.failedJobs.size >= OUTLIER_MIN_JOBS && !this.#deferred.has(machine)) this.#evaluate(machine);
    backOffIfSuspect(this.#ctx, job, this.#attribution);
  }

  /** Records that a task was done on the machine: it is not, or no longer, faulty. */
  onTaskDone(machine: Machine): void {
    machine.failures = 0;
    machine.failedJobs.clear();
    if (machine.ejection) this.#readmit(machine, "a task was done on it");
  }

  /** Evaluates the evidence again: jobs have failed or succeeded elsewhere, and time has passed. */
  tick(): void {
    for (const machine of this.#cluster.machines.values())
      if (machine.failedJobs.size > 0 || machine.ejection) this.#evaluate(machine);
    for (const job of this.#failedSinceTick) backOffIfSuspect(this.#ctx, job, this.#attribution);
    this.#failedSinceTick.clear();
  }

  #evaluate(machine: Machine): void {
    const evidence = this.#evidenceOn(machine);
    const { ejection } = machine;
    if (!ejection) {
      if (evidence.jobs.length >= OUTLIER_MIN_JOBS) this.#eject(machine, evidence);
      else this.#deferred.delete(machine);
    } else if (evidence.jobs.length < OUTLIER_MIN_JOBS) {
      this.#readmit(machine, "its failures are no longer evidence against it");
    } else if (ejection.isConfirmed) {
      this.#allowTermination(machine, ejection);
    } else if (evidence.soundCount >= OUTLIER_MIN_JOBS) {
      this.#confirm(machine, ejection.since, evidence);
    } else if (this.#ctx.now >= ejection.until) {
      this.#endUnconfirmed(machine);
    }
  }

  /** Lets an empty faulty machine be terminated, unless too many terminated ones have not been replaced yet. */
  #allowTermination(machine: Machine, ejection: Ejection): void {
    const isInUse = machine.mode !== "open" || machine.phase !== "up" || machine.placements.size > 0;
    if (isInUse || ejection.mayTerminate || !this.#limit.tryTerminate(machine, this.#ctx.now)) return;
    machine.ejection = { ...ejection, mayTerminate: true };
  }

  /** Returns the evidence on a machine, without failures that are long ago. */
  #evidenceOn(machine: Machine): Evidence {
    const jobs: Job[] = [];
    for (const [job, failedAt] of machine.failedJobs) {
      if (this.#ctx.now - failedAt > MACHINE_EVIDENCE_MS) machine.failedJobs.delete(job);
      else if (!this.#attribution.isAtFault(job)) jobs.push(job);
    }
    return { jobs, soundCount: jobs.filter((job) => this.#attribution.isSound(job)).length };
  }

  #eject(machine: Machine, evidence: Evidence): void {
    const { now } = this.#ctx;
    if (!this.#limit.mayEject(machine) && !this.#makeRoomFor(machine, evidence)) {
      this.#logDeferred(machine, evidence);
      return;
    }
    this.#deferred.delete(machine);
    machine.ejection = { since: now, until: now + EJECTION_MS, isConfirmed: false, mayTerminate: false };
    for (const job of evidence.jobs) this.#reassessBackoff(job);
    this.#ctx.log("info", "machine ejected", logFields(machine, evidence));
    if (evidence.soundCount >= OUTLIER_MIN_JOBS) this.#confirm(machine, now, evidence);
  }

  /** Ends the backoff of a job if the ejection of a machine explains its failures. */
  #reassessBackoff(job: Job): void {
    this.#attribution.forget(job);
    if (!this.#attribution.isSuspect(job)) endBackoff(job);
  }

  /** Readmits an unconfirmed outlier with less evidence, if that makes room for this one. */
  #makeRoomFor(machine: Machine, evidence: Evidence): boolean {
    for (const other of this.#cluster.machines.values()) {
      const { ejection } = other;
      if (!ejection || ejection.isConfirmed) continue;
      if (!isStronger(evidence, this.#evidenceOn(other))) continue;
      other.ejection = null;
      const isAllowed = this.#limit.mayEject(machine);
      other.ejection = ejection;
      if (!isAllowed) continue;
      this.#readmit(other, "the evidence against another machine is stronger");
      return true;
    }
    return false;
  }

  #confirm(machine: Machine, since: number, evidence: Evidence): void {
    const until = Number.POSITIVE_INFINITY;
    machine.ejection = { since, until, isConfirmed: true, mayTerminate: false };
    this.#ctx.log("info", "faulty machine drained", logFields(machine, evidence));
  }

  /** Ends an ejection that nothing has confirmed. Only new failures may eject the machine again. */
  #endUnconfirmed(machine: Machine): void {
    machine.failedJobs.clear();
    this.#readmit(machine, "the ejection time is over");
  }

  #readmit(machine: Machine, reason: string): void {
    this.#ctx.log("info", "machine readmitted", {
      machine: machine.name,
      reason,
      ejected_ms: Math.round(this.#ctx.now - (machine.ejection?.since ?? this.#ctx.now)),
    });
    machine.ejection = null;
    this.#onReadmitted();
  }

  #logDeferred(machine: Machine, evidence: Evidence): void {
    if (this.#deferred.has(machine)) return;
    this.#deferred.add(machine);
    this.#ctx.log("info", "machine not ejected", {
      ...logFields(machine, evidence),
      reason: "the maximum ejection share is reached",
    });
  }
}

function isStronger(a: Evidence, b: Evidence): boolean {
  return a.soundCount > b.soundCount || (a.soundCount === b.soundCount && a.jobs.length > b.jobs.length);
}

function logFields(machine: Machine, { jobs, soundCount }: Evidence): Record<string, unknown> {
  return {
    machine: machine.name,
    failures: machine.failures,
    failed_jobs: jobs.map(({ uid }) => uid),
    sound_jobs: soundCount,
  };
}
