import type { Invalid, Throttled, Unavailable, Unsatisfiable, UserResponse } from "../messages/users.js";

/** Sends the response to a user's request. Must be called exactly once. */
export type Respond = (response: UserResponse) => void;

/** A response that rejects a submission. */
export type RejectionResponse = Unsatisfiable | Invalid | Unavailable | Throttled;

/** The node cannot decide at the moment. The user may repeat the request after `retryAfterS` seconds. */
export function unavailable(error: string, retryAfterS = 1): Unavailable {
  return { kind: "unavailable", error, retryAfterS };
}

/** The store did not answer, so the state of a job cannot be reported (I8). */
export function storeUnavailable(): Unavailable {
  return unavailable("the state service does not answer");
}

/** The job's record would exceed the store's limit on the size of a value. */
export function recordTooLarge(): Invalid {
  return { kind: "invalid", error: "body: the job's description is too large to be kept" };
}
