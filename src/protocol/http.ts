/** A request to an outside service, before it is put on a connection. */
export interface HttpRequest {
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  /** Encoded as JSON; absent where the request has no body. */
  readonly body?: unknown;
}

/** What is answered to a client of this node, before it is put on a connection. */
export interface HttpResponse {
  readonly status: number;
  readonly body: unknown;
  /** Whole seconds for the Retry-After header; null where there is none. */
  readonly retryAfterS: number | null;
}
