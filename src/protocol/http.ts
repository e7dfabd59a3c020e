/** An encoded request to an external service. */
export interface HttpRequest {
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  /** Sent as JSON; absent if the request has no body. */
  readonly body?: unknown;
}

/** An encoded response to a client of this node. */
export interface HttpResponse {
  readonly status: number;
  readonly body: unknown;
  /** Whole seconds for the Retry-After header; null to omit the header. */
  readonly retryAfterS: number | null;
}
