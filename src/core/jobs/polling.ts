import type { Context } from "../context.js";
import type { VersionCondition } from "../messages/store.js";
import { type JobLookup, statusOfEnded } from "./job-lookup.js";
import type { JobStatusReader } from "./job-status-reader.js";
import { type Respond, storeUnavailable } from "./responses.js";

const STORE_TIMEOUT_MS = 1500;

interface Poll {
  readonly uid: string;
  readonly respond: Respond;
}

/**
 * A poll with the conditions that the transaction checks for it. Its answer depends on these, not on newer versions
 * that this node reads while the transaction is in flight.
 */
interface BatchedPoll extends Poll {
  readonly conditions: readonly VersionCondition[];
}

/** Answers polls of a job's status, on every node, never with a state older than one already reported (I8). */
export class PollHandler {
  readonly #ctx: Context;
  readonly #lookup: JobLookup;
  readonly #statuses: JobStatusReader;
  /** Polls of unfinished jobs, to be verified by the next batch. */
  #pending: Poll[] = [];

  constructor(ctx: Context, lookup: JobLookup, statuses: JobStatusReader) {
    this.#ctx = ctx;
    this.#lookup = lookup;
    this.#statuses = statuses;
  }

  /** Answers a poll immediately if its answer is final or the job must be read; otherwise with the next batch. */
  poll(uid: string, respond: Respond): void {
    if (this.#answerWithoutBatch(uid, respond)) return;
    this.#pending.push({ uid, respond });
    if (this.#pending.length >= this.#maxConditions) this.flush();
  }

  /** Answers final states from the cache, and reads jobs that this node has not read. Returns false for all others. */
  #answerWithoutBatch(uid: string, respond: Respond): boolean {
    const cached = this.#lookup.cachedAnswer(uid);
    switch (cached.kind) {
      case "ended":
        respond({ kind: "status", status: statusOfEnded(uid, cached.end) });
        return true;
      case "cancelled":
        respond({ kind: "status", status: this.#statuses.unfinishedStatus(uid, true) });
        return true;
      case "unknown":
        this.#read(uid, respond);
        return true;
      case "unverified":
        return false;
    }
  }

  get #maxConditions(): number {
    return this.#ctx.limits.txnConditions;
  }

  /**
   * Answers the pending polls with transactions that only check conditions: while a job and its dependencies still have
   * the versions that this node has read, no node can have reported a newer state. One request to the store thus serves
   * many polls, instead of one or two reads for each poll.
   */
  flush(): void {
    const polls = this.#pending;
    this.#pending = [];
    let batch: BatchedPoll[] = [];
    let versions = new Map<string, number>();
    for (const poll of polls) {
      // The job may have ended since the poll arrived; a transaction without conditions would always succeed.
      if (this.#answerWithoutBatch(poll.uid, poll.respond)) continue;
      const cached = this.#lookup.cachedAnswer(poll.uid);
      if (cached.kind !== "unverified" || cached.conditions.length > this.#maxConditions) {
        this.#read(poll.uid, poll.respond);
        continue;
      }
      const added = cached.conditions.filter(({ key }) => !versions.has(key));
      if (versions.size + added.length > this.#maxConditions) {
        this.#verifyBatch(batch, versions);
        batch = [];
        versions = new Map();
      }
      for (const { key, version } of cached.conditions) versions.set(key, version);
      batch.push({ ...poll, conditions: cached.conditions });
    }
    if (batch.length > 0) this.#verifyBatch(batch, versions);
  }

  #verifyBatch(polls: readonly BatchedPoll[], versions: ReadonlyMap<string, number>): void {
    const conditions = [...versions].map(([key, version]) => ({ key, version }));
    this.#ctx.callStore({ kind: "transaction", conditions, changes: [] }, STORE_TIMEOUT_MS, (result) => {
      const outdatedKeys = new Set(result.kind === "conflict" ? result.failed : []);
      const isAnswered = result.kind === "ok" || result.kind === "conflict";
      for (const { uid, respond, conditions: needed } of polls) {
        const isCurrent = !needed.some(({ key }) => outdatedKeys.has(key));
        if (!isAnswered) respond(storeUnavailable());
        else if (isCurrent) respond({ kind: "status", status: this.#statuses.unfinishedStatus(uid, false) });
        else this.#read(uid, respond);
      }
    });
  }

  #read(uid: string, respond: Respond): void {
    this.#lookup.find(uid, (result) => {
      if (result.kind === "unavailable") respond(storeUnavailable());
      else if (result.kind === "notFound") respond({ kind: "notFound" });
      else {
        this.#statuses.read(uid, result, (status) => {
          respond(status ? { kind: "status", status } : storeUnavailable());
        });
      }
    });
  }
}
