import type { AdminResponse } from "../core/messages/administration.js";
import type { UserResponse } from "../core/messages/users.js";
import type { HttpResponse } from "./http.js";
import { encodeJobStatus } from "./jobs.js";

/**
 * HTTP responses: status code, body and Retry-After. For users and operators, a 4xx status other than 429 means that
 * the request must not be retried unchanged, and 429 and 503 carry a Retry-After header with the time to wait.
 */

const ADMIN_RETRY_AFTER_S = 1;

function respond(status: number, body: unknown): HttpResponse {
  return { status, body, retryAfterS: null };
}

function respondRetry(status: 429 | 503, error: string, retryAfterS: number): HttpResponse {
  return { status, body: { error }, retryAfterS: Math.ceil(retryAfterS) };
}

/** Encodes the response to a user's request. */
export function encodeUserResponse(response: UserResponse): HttpResponse {
  switch (response.kind) {
    case "accepted":
      // 200 if the same job was submitted before: submissions are idempotent.
      return respond(response.known ? 200 : 201, encodeJobStatus(response.status));
    case "status":
      return respond(200, encodeJobStatus(response.status));
    case "notFound":
      return respond(404, { error: "no such job" });
    case "unsatisfiable":
      return respond(422, { error: response.error });
    case "invalid":
      return respond(400, { error: response.error });
    case "unavailable":
      return respondRetry(503, response.error, response.retryAfterS);
    case "throttled":
      return respondRetry(429, response.error, response.retryAfterS);
  }
}

/** Encodes the response to an operator's request. */
export function encodeAdminResponse(response: AdminResponse): HttpResponse {
  switch (response.kind) {
    case "ok":
      return respond(200, response.body);
    case "invalid":
      return respond(400, { error: response.error });
    case "unavailable":
      return respondRetry(503, response.error, ADMIN_RETRY_AFTER_S);
  }
}

/** Encodes the response to a readiness probe. */
export function encodeReadiness(ready: boolean): HttpResponse {
  return respond(ready ? 200 : 503, { ready });
}

/** Response to a request for an unknown path. */
export const noSuchPath: HttpResponse = respond(404, { error: "no such path" });

/** Response to a malformed heartbeat. */
export const notAHeartbeat: HttpResponse = respond(400, { error: "not a report" });

/** Response to a heartbeat refused because too many agents are connected; the agent tries the next node. */
export const tryNextNode: HttpResponse = respond(421, {});

/** Response to a forwarded heartbeat if the leader did not reply in time. */
export const leaderTimedOut: HttpResponse = respond(503, { error: "the leader does not answer" });

/** Response to a forwarded heartbeat if the connection to the leader was lost. */
export const leaderDisconnected: HttpResponse = respond(503, { error: "the leader is gone" });

/**
 * Encodes the response to a request whose handling threw an error. Every client error becomes a 400, since clients
 * retry on any other status for a minute.
 */
export function encodeFailure(error: unknown): HttpResponse {
  const status = typeof error === "object" && error !== null && "status" in error ? error.status : undefined;
  const isClientError = typeof status === "number" && status >= 400 && status < 500;
  return isClientError
    ? respond(400, { error: "malformed request" })
    : respond(500, { error: "internal error" });
}
