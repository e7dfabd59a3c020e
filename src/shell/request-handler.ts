import type { AdminRequest, AdminResponse } from "../core/messages/administration.js";
import type { SubmittedSpec, UserResponse } from "../core/messages/users.js";

/** A page of metrics with its content type. */
export interface MetricsPage {
  readonly type: string;
  readonly text: string;
}

/** What the HTTP side asks of the controller. Each request is answered exactly once, through its callback. */
export interface RequestHandler {
  /** Whether this node takes requests. */
  readonly ready: boolean;
  /** Whether this node is so far behind that it must shed requests. */
  readonly overloaded: boolean;
  /** Submits a job. Of a malformed one, too, the controller says whether its uid is known. */
  submit(uid: string, submitted: SubmittedSpec, respond: (response: UserResponse) => void): void;
  /** Looks up a job. */
  poll(uid: string, respond: (response: UserResponse) => void): void;
  /** Cancels a job. */
  cancel(uid: string, respond: (response: UserResponse) => void): void;
  /** Carries out an operator's request. */
  administer(request: AdminRequest, respond: (response: AdminResponse) => void): void;
  /** Takes an agent's heartbeat; false, and no answer, if the body is none. */
  takeHeartbeat(body: unknown, respond: (status: number, body: unknown) => void): boolean;
  /** Renders the metrics for a scrape. */
  metrics(): Promise<MetricsPage>;
}
