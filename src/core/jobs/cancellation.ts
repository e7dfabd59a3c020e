import type { Context } from "../context.js";
import type { StoreEntry, StoreResponse } from "../messages/store.js";
import { cancelledRecord, type JobRecord } from "../store/records.js";
import { type JobLookup, statusOfEnded } from "./job-lookup.js";
import type { JobStatusReader } from "./job-status-reader.js";
import { type Respond, storeUnavailable } from "./responses.js";

const STORE_TIMEOUT_MS = 1500;
const MAX_ATTEMPTS = 4;

/** The dependencies and the callback of {@link CancellationHandler}. */
export interface CancellationHandlerDependencies {
  readonly ctx: Context;
  readonly lookup: JobLookup;
  readonly statuses: JobStatusReader;
  /** Called when this node has written a job's record as cancelled. */
  readonly onJobCancelled: (entry: StoreEntry) => void;
}

/** A cancellation whose write is in flight. */
interface PendingWrite {
  readonly uid: string;
  /** The job's record as read; the write is conditioned on its version. */
  readonly entry: StoreEntry;
  readonly record: JobRecord;
  readonly respond: Respond;
  readonly attemptsLeft: number;
  /** The maximum size of the new record; 0 makes it as small as possible. */
  readonly maxValueBytes: number;
}

/**
 * Cancels jobs, on every node. A cancellation is one write conditioned on the version of the job's record, and is
 * confirmed to the user only after that write (I8).
 */
export class CancellationHandler {
  readonly #ctx: Context;
  readonly #lookup: JobLookup;
  readonly #statuses: JobStatusReader;
  readonly #onJobCancelled: (entry: StoreEntry) => void;

  constructor({ ctx, lookup, statuses, onJobCancelled }: CancellationHandlerDependencies) {
    this.#ctx = ctx;
    this.#lookup = lookup;
    this.#statuses = statuses;
    this.#onJobCancelled = onJobCancelled;
  }

  /** Cancels a job and responds with its status. A job that has ended is not changed. */
  cancel(uid: string, respond: Respond): void {
    this.#attempt(uid, respond, MAX_ATTEMPTS);
  }

  #attempt(uid: string, respond: Respond, attemptsLeft: number): void {
    this.#lookup.find(uid, (result) => {
      if (result.kind === "unavailable") respond(storeUnavailable());
      else if (result.kind === "notFound") respond({ kind: "notFound" });
      else if (result.kind === "ended") respond({ kind: "status", status: statusOfEnded(uid, result.end) });
      else if (result.record.state === "cancelled") this.#respondCancelled(uid, respond);
      else {
        const { entry, record } = result;
        const maxValueBytes = this.#ctx.limits.valueBytes;
        this.#write({ uid, entry, record, respond, attemptsLeft, maxValueBytes });
      }
    });
  }

  #write(pending: PendingWrite): void {
    const { entry, record, maxValueBytes } = pending;
    const cancelled = cancelledRecord(record, maxValueBytes);
    const conditions = [{ key: entry.key, version: entry.version }];
    const changes = [{ put: entry.key, value: cancelled }];
    this.#ctx.callStore({ kind: "transaction", conditions, changes }, STORE_TIMEOUT_MS, (result) => {
      this.#onWriteResult(pending, cancelled, result);
    });
  }

  #onWriteResult(pending: PendingWrite, cancelled: JobRecord, result: StoreResponse): void {
    const { uid, entry, respond, attemptsLeft, maxValueBytes } = pending;
    if (result.kind === "ok") {
      this.#lookup.cacheRecord(uid, result.revision, cancelled);
      this.#onJobCancelled({ key: entry.key, value: cancelled, version: result.revision });
      this.#respondCancelled(uid, respond);
    } else if (result.kind === "conflict" && attemptsLeft > 1) {
      // The record changed after it was read: the job was completed or cancelled. Read it again to find out which.
      this.#attempt(uid, respond, attemptsLeft - 1);
    } else if (result.kind === "invalid" && maxValueBytes > 0) {
      // The store's limit may be lower than the announced one, so retry with the smallest possible record.
      this.#write({ ...pending, maxValueBytes: 0 });
    } else {
      respond(storeUnavailable());
    }
  }

  #respondCancelled(uid: string, respond: Respond): void {
    respond({ kind: "status", status: this.#statuses.unfinishedStatus(uid, true) });
  }
}
