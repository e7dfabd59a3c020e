import type { JobSpec } from "../model/job-spec.js";

/** Job submissions by users and the responses to users' requests. */

/** The result of decoding a submitted job: its spec, or an error that names the invalid field. */
export type SubmittedSpec =
  | { readonly ok: true; readonly spec: JobSpec }
  | { readonly ok: false; readonly error: string };

/** The phase of a job as shown to its user. */
export type JobPhase = "queued" | "running" | "done" | "cancelled";

/** The status of a job as shown to its user. */
export interface JobStatus {
  readonly uid: string;
  readonly phase: JobPhase;
  readonly done: number;
  readonly running: number;
  /** Unfinished dependencies; absent if there are none. */
  readonly awaits?: readonly string[];
}

/** The job can never run; the request must not be retried. */
export interface Unsatisfiable {
  readonly kind: "unsatisfiable";
  readonly error: string;
}

/** The request is malformed and must not be retried unchanged. */
export interface Invalid {
  readonly kind: "invalid";
  readonly error: string;
}

/** The node cannot process the request now; it may be retried later. */
export interface Unavailable {
  readonly kind: "unavailable";
  readonly error: string;
  readonly retryAfterS: number;
}

/** The job's team has exhausted its share of submissions for now. */
export interface Throttled {
  readonly kind: "throttled";
  readonly error: string;
  readonly retryAfterS: number;
}

/** The response to a user's request. */
export type UserResponse =
  | { readonly kind: "accepted"; readonly known: boolean; readonly status: JobStatus }
  | { readonly kind: "status"; readonly status: JobStatus }
  | { readonly kind: "notFound" }
  | Unsatisfiable
  | Invalid
  | Unavailable
  | Throttled;
