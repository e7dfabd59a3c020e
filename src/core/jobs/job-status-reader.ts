import type { JobStatus } from "../messages/users.js";
import { type FoundJob, type JobLookup, statusOfEnded } from "./job-lookup.js";
import type { TaskCounts } from "./progress-counts.js";

/** Returns a job's progress counts for display; null if this node has none. */
export type ProgressOf = (uid: string) => TaskCounts | null;

/** Builds the job status shown to users from the job's records and its progress counts. */
export class JobStatusReader {
  readonly #lookup: JobLookup;
  readonly #progressOf: ProgressOf;

  constructor(lookup: JobLookup, progressOf: ProgressOf) {
    this.#lookup = lookup;
    this.#progressOf = progressOf;
  }

  /** Yields the status of a job that was just read; null if one of its dependencies could not be read. */
  read(uid: string, job: FoundJob, onStatus: (status: JobStatus | null) => void): void {
    if (job.kind === "ended") {
      onStatus(statusOfEnded(uid, job.end));
      return;
    }
    this.#lookup.isCancelled(job.record, (cancelled) => {
      onStatus(cancelled === null ? null : this.unfinishedStatus(uid, cancelled));
    });
  }

  /** Returns the status of a job without a final record. `cancelled` includes cancellation through a dependency. */
  unfinishedStatus(uid: string, cancelled: boolean): JobStatus {
    const { done, running } = this.#progressOf(uid) ?? { done: 0, running: 0 };
    if (cancelled) return { uid, phase: "cancelled", done, running };
    const status = { uid, phase: running > 0 ? "running" : "queued", done, running } as const;
    const awaits = this.#lookup.unfinishedDependencies(uid);
    return awaits.length > 0 ? { ...status, awaits } : status;
  }
}
