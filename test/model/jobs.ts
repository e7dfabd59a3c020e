import type { JobSpec } from "../../src/core/model/job-spec.js";

/** A job as its user and its tasks know it: the truth that the controllers' answers are checked against. */
export interface SubmittedJob {
  readonly spec: JobSpec;
  acceptedAt: number | null;
  /** Its user has asked for its cancellation, whether or not that was confirmed. */
  cancelRequested: boolean;
  /** When its user was first answered that it is cancelled. */
  cancelledAt: number | null;
  /** Its user was answered that it is done. */
  confirmedDone: boolean;
  /** When a question about it was last answered. */
  answeredAt: number;
  /** The tasks that are done. */
  readonly done: Set<number>;
  finishedAt: number | null;
  /** Since when tasks of it wait although a machine has room for them; null while none has. */
  starvingSince: number | null;
}

/** What a user knew of a job when asking: a later answer may not take it back. */
export interface ConfirmedOutcome {
  readonly cancelled: boolean;
  readonly done: boolean;
}

/** All jobs that users have submitted, by uid, in the order of submission. */
export class SubmittedJobs extends Map<string, SubmittedJob> {
  /** Does this hold for any job that this one depends on, directly or through others? */
  someDependency(job: SubmittedJob, predicate: (dependency: SubmittedJob) => boolean): boolean {
    return (job.spec.awaits ?? []).some((uid) => {
      const dependency = this.get(uid);
      return (
        dependency !== undefined && (predicate(dependency) || this.someDependency(dependency, predicate))
      );
    });
  }

  /** True for a job that its user, or that of a job it depends on, has asked to cancel. */
  isCancelRequested(job: SubmittedJob): boolean {
    return job.cancelRequested || this.someDependency(job, (dependency) => dependency.cancelRequested);
  }
}

/** A job at the moment its user submits it. */
export function newJob(spec: JobSpec, now: number): SubmittedJob {
  return {
    spec,
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

/** What its user knows of a job's end at this moment. */
export function confirmedOutcomeOf(job: SubmittedJob): ConfirmedOutcome {
  return { cancelled: job.cancelledAt !== null, done: job.confirmedDone };
}
