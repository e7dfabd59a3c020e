import type { JobSpec } from "../model/job-spec.js";

/** What users submit and are answered. */

/** A submitted job as it was decoded: the job, or what is wrong with it, by the field's name. */
export type SubmittedSpec =
  | { readonly ok: true; readonly spec: JobSpec }
  | { readonly ok: false; readonly error: string };

/** The phase of a job as its user sees it. */
export type JobPhase = "queued" | "running" | "done" | "cancelled";

/** A job as its user sees it. */
export interface JobStatus {
  readonly uid: string;
  readonly phase: JobPhase;
  readonly done: number;
  readonly running: number;
  /** The unfinished jobs among its dependencies; absent where there are none. */
  readonly awaits?: readonly string[];
}

/** The job can never run: the request must not be repeated. */
export interface Unsatisfiable {
  readonly kind: "unsatisfiable";
  readonly error: string;
}

/** The request is malformed and must not be repeated as it is. */
export interface Invalid {
  readonly kind: "invalid";
  readonly error: string;
}

/** The node can't decide now. */
export interface Unavailable {
  readonly kind: "unavailable";
  readonly error: string;
  readonly retryAfterS: number;
}

/** The job's team has used up its share of submissions for now. */
export interface Throttled {
  readonly kind: "throttled";
  readonly error: string;
  readonly retryAfterS: number;
}

/** The answer to a user's request. */
export type UserResponse =
  | { readonly kind: "accepted"; readonly known: boolean; readonly status: JobStatus }
  | { readonly kind: "status"; readonly status: JobStatus }
  | { readonly kind: "notFound" }
  | Unsatisfiable
  | Invalid
  | Unavailable
  | Throttled;
