import type { JobSpec } from "../../src/core/model/job-spec.js";

/** The actual state of a submitted job, against which the controllers' responses are checked. */
export interface SubmittedJob {
  readonly spec: JobSpec;
  /** True if it was submitted with a mistake: it fails on every machine. */
  readonly hasMistake: boolean;
  acceptedAt: number | null;
  /** True once its user has requested cancellation, whether or not it was confirmed. */
  cancelRequested: boolean;
  /** When the cancellation was first confirmed to its user. */
  cancelledAt: number | null;
  /** True once its completion was confirmed to its user. */
  confirmedDone: boolean;
  /** When a poll of it was last answered. */
  answeredAt: number;
  /** Indices of the tasks that are done. */
  readonly done: Set<number>;
  finishedAt: number | null;
  /** Since when some of its tasks have been waiting although they could be placed; null if there are none. */
  starvingSince: number | null;
}

/** The outcome of a job confirmed to its user before a request was sent; the response must not contradict it. */
export interface ConfirmedOutcome {
  readonly cancelled: boolean;
  readonly done: boolean;
}

/** All jobs that users have submitted, by uid, in the order of submission. */
export class SubmittedJobs extends Map<string, SubmittedJob> {
  /** Returns whether the predicate holds for any direct or transitive dependency of a job. */
  someDependency(job: SubmittedJob, predicate: (dependency: SubmittedJob) => boolean): boolean {
    return (job.spec.awaits ?? []).some((uid) => {
      const dependency = this.get(uid);
      return (
        dependency !== undefined && (predicate(dependency) || this.someDependency(dependency, predicate))
      );
    });
  }

  /** Returns whether cancellation was requested for a job or any of its direct or transitive dependencies. */
  isCancelRequested(job: SubmittedJob): boolean {
    return job.cancelRequested || this.someDependency(job, (dependency) => dependency.cancelRequested);
  }
}

/** Creates the initial state of a submitted job. */
export function newJob(spec: JobSpec, now: number, hasMistake = false): SubmittedJob {
  return {
    spec,
    hasMistake,
    acceptedAt: null,
    cancelRequested: false,
    cancelledAt: null,
    confirmedDone: false,
    answeredAt: now,
    done: new Set(),
    finishedAt: null,
    starvingSince: null,
  };
}

/** Returns the outcome of a job confirmed to its user so far. */
export function confirmedOutcomeOf(job: SubmittedJob): ConfirmedOutcome {
  return { cancelled: job.cancelledAt !== null, done: job.confirmedDone };
}
