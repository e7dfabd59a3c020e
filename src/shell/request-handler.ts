import type { AdminRequest, AdminResponse } from "../core/messages/administration.js";
import type { SubmittedSpec, UserResponse } from "../core/messages/users.js";

/** Rendered metrics with their content type. */
export interface MetricsPage {
  readonly type: string;
  readonly text: string;
}

/** The controller as seen by the HTTP routes. Each request is answered exactly once, through its callback. */
export interface RequestHandler {
  /** True if this node is ready for requests. */
  readonly ready: boolean;
  /** True if this node is overloaded and must shed user requests. */
  readonly overloaded: boolean;
  /** Submits a job. Malformed ones are passed on too, since the controller may already know the uid. */
  submit(uid: string, submitted: SubmittedSpec, respond: (response: UserResponse) => void): void;
  /** Looks up a job's status. */
  poll(uid: string, respond: (response: UserResponse) => void): void;
  /** Cancels a job. */
  cancel(uid: string, respond: (response: UserResponse) => void): void;
  /** Executes an operator's request. */
  administer(request: AdminRequest, respond: (response: AdminResponse) => void): void;
  /** Accepts an agent's heartbeat. Returns false, without calling `respond`, if the body is not a valid heartbeat. */
  receiveHeartbeat(body: unknown, respond: (status: number, body: unknown) => void): boolean;
  /** Renders the metrics for a scrape. */
  metrics(): Promise<MetricsPage>;
}
