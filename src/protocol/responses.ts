import type { AdminResponse } from "../core/messages/administration.js";
import type { UserResponse } from "../core/messages/users.js";
import type { HttpResponse } from "./http.js";
import { encodeJobStatus } from "./jobs.js";

/**
 * The answers to users and operators: status code, body and Retry-After, in one place. A status of 4xx, 429 excepted,
 * tells the client not to repeat the request as it is; 429 and 503 name the time after which to repeat it.
 */

const ADMIN_RETRY_AFTER_S = 1;

function respond(status: number, body: unknown): HttpResponse {
  return { status, body, retryAfterS: null };
}

function respondRetry(status: 429 | 503, error: string, retryAfterS: number): HttpResponse {
  return { status, body: { error }, retryAfterS: Math.ceil(retryAfterS) };
}

/** The answer to a user's request. */
export function encodeUserResponse(response: UserResponse): HttpResponse {
  switch (response.kind) {
    case "accepted":
      // 200: the same job was submitted before, and the request is idempotent.
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

/** The answer to an operator's request. */
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

/** The answer to a readiness probe. */
export function encodeReadiness(ready: boolean): HttpResponse {
  return respond(ready ? 200 : 503, { ready });
}

/** The answer to a request for a path that does not exist. */
export const noSuchPath: HttpResponse = respond(404, { error: "no such path" });

/** The answer to an agent's request that is no heartbeat. */
export const notAHeartbeat: HttpResponse = respond(400, { error: "not a report" });

/** The answer to a heartbeat that this node has no connection for: the agent tries the next node. */
export const tryNextNode: HttpResponse = respond(421, {});

/** The answer to a heartbeat that was forwarded to a leader which did not reply in time. */
export const leaderTimedOut: HttpResponse = respond(503, { error: "the leader does not answer" });

/** The answer to a heartbeat that was forwarded to a leader whose connection was then lost. */
export const leaderDisconnected: HttpResponse = respond(503, { error: "the leader is gone" });

/**
 * The answer where handling a request threw. Whatever is wrong with a request is a 400, as any other status would have
 * its sender repeat it for a minute.
 */
export function encodeFailure(error: unknown): HttpResponse {
  const status = typeof error === "object" && error !== null && "status" in error ? error.status : undefined;
  const isClientError = typeof status === "number" && status >= 400 && status < 500;
  return isClientError
    ? respond(400, { error: "malformed request" })
    : respond(500, { error: "internal error" });
}
