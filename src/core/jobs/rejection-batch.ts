import type { Context } from "../context.js";
import type { UserResponse } from "../messages/users.js";
import { KEYS } from "../store/records.js";
import type { RejectionResponse } from "./responses.js";

const STORE_TIMEOUT_MS = 1500;
/** One condition each on the keys of the job's record and of its final record, neither of which may exist. */
const CONDITIONS_PER_JOB = 2;

/** A submission that is rejected unless its job was accepted before. */
export interface Rejection {
  readonly uid: string;
  readonly response: RejectionResponse;
  readonly respond: (response: UserResponse) => void;
}

/** Events that {@link RejectionBatch} reports for rejections that it cannot send unchanged. */
export interface RejectionEvents {
  /** The job may have been accepted before, so its records must be read. */
  onPossibleDuplicate(rejection: Rejection): void;
  /** The store could not be queried. */
  onStoreUnavailable(rejection: Rejection): void;
}

/**
 * Rejects submissions in batches, with one transaction that checks the keys of many jobs. Under overload, reading one
 * or two keys per submission would cost the store more than accepting the submissions.
 */
export class RejectionBatch {
  readonly #ctx: Context;
  readonly #events: RejectionEvents;
  #pending: Rejection[] = [];

  constructor(ctx: Context, events: RejectionEvents) {
    this.#ctx = ctx;
    this.#events = events;
  }

  /** Adds a rejection. A full batch is sent immediately. */
  add(rejection: Rejection): void {
    this.#pending.push(rejection);
    if (this.#pending.length >= this.#maxSize) this.flush();
  }

  get #maxSize(): number {
    return Math.floor(this.#ctx.limits.txnConditions / CONDITIONS_PER_JOB);
  }

  /** Sends the batch. If neither key of a job exists, it was never accepted, and its submission is rejected. */
  flush(): void {
    const rejections = this.#pending;
    this.#pending = [];
    if (rejections.length === 0) return;
    const conditions = rejections.flatMap(({ uid }) => [
      { key: KEYS.job(uid), version: 0 },
      { key: KEYS.final(uid), version: 0 },
    ]);
    this.#ctx.callStore({ kind: "transaction", conditions, changes: [] }, STORE_TIMEOUT_MS, (result) => {
      const existingKeys = new Set(result.kind === "conflict" ? result.failed : []);
      for (const rejection of rejections) {
        const { uid, response, respond } = rejection;
        if (result.kind !== "ok" && result.kind !== "conflict") this.#events.onStoreUnavailable(rejection);
        else if (existingKeys.has(KEYS.job(uid)) || existingKeys.has(KEYS.final(uid)))
          this.#events.onPossibleDuplicate(rejection);
        else respond(response);
      }
    });
  }
}
