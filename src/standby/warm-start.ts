import type { Context } from "../core/context.js";
import type { StoreResponse } from "../core/messages/store.js";
import type { LoadedRecords, RecordSource } from "../core/store/record-reader.js";
import { KEYS } from "../core/store/records.js";
import { CACHED_PREFIXES, type CachedPrefix, type RecordCache } from "./record-cache.js";

/** Timeouts of the attempts to bring the cache up to date. After the last one, the records are read from the store. */
const ATTEMPT_TIMEOUTS_MS = [300, 700, 1500];

/** Why the cache could not be used for a failover. */
export type WarmStartRefusal = "changes no longer kept" | "no answer" | "the state service went back";

/** Events that {@link WarmStart} reports. */
export interface WarmStartEvents {
  /** The cache has been confirmed to be up to date. */
  onConfirmed(): void;
  /** The cache could not be confirmed to be up to date, so the records are read from the store. */
  onRefused(reason: WarmStartRefusal): void;
}

/**
 * Loads the records of a term from the standby cache, once the cache is confirmed to be complete
 * (docs/design/warm-standby.md). Every write of an earlier leader is conditioned on its leader key. The election
 * replaced that key, so no such write succeeds after the election's revision. One watch per prefix that returns at once
 * yields all changes since the cached revision; a response at the election's revision or later includes every write of
 * earlier leaders.
 */
export class WarmStart implements RecordSource {
  readonly #ctx: Context;
  readonly #cache: RecordCache;
  readonly #electionRevision: number;
  readonly #fullRead: RecordSource;
  readonly #events: WarmStartEvents;

  /** `fullRead` reads the records from the store if the cache cannot be used. */
  constructor(
    ctx: Context,
    cache: RecordCache,
    electionRevision: number,
    fullRead: RecordSource,
    events: WarmStartEvents,
  ) {
    this.#ctx = ctx;
    this.#cache = cache;
    this.#electionRevision = electionRevision;
    this.#fullRead = fullRead;
    this.#events = events;
  }

  /** Loads the records and clears the cache. */
  load(onLoaded: (loaded: LoadedRecords) => void): void {
    const requestedAt = this.#ctx.now;
    let prefixesLeft: number = CACHED_PREFIXES.length;
    let refusal: WarmStartRefusal | null = null;
    const onPrefixDone = (problem: WarmStartRefusal | null) => {
      refusal ??= problem;
      if (--prefixesLeft > 0) return;
      if (refusal === null) {
        this.#events.onConfirmed();
        onLoaded({
          records: this.#cache.records(),
          revision: this.#cache.prefixCompleteThrough(KEYS.jobsPrefix),
          requestedAt,
        });
      } else {
        this.#ctx.log("info", "standby cache not used", { reason: refusal });
        this.#events.onRefused(refusal);
        this.#fullRead.load(onLoaded);
      }
      this.#cache.clear();
    };
    for (const prefix of CACHED_PREFIXES) this.#bringUpToDate(prefix, 0, onPrefixDone);
  }

  #bringUpToDate(
    prefix: CachedPrefix,
    attempt: number,
    onDone: (refusal: WarmStartRefusal | null) => void,
  ): void {
    const timeoutMs = ATTEMPT_TIMEOUTS_MS[attempt];
    if (timeoutMs === undefined) {
      onDone("no answer");
      return;
    }
    const after = this.#cache.prefixCompleteThrough(prefix);
    this.#ctx.callStore({ kind: "watch", prefix, after, waitMs: 0 }, timeoutMs, (response) => {
      const refusal = this.#applyResponse(response, prefix, after);
      if (refusal === "no answer") this.#bringUpToDate(prefix, attempt + 1, onDone);
      else onDone(refusal);
    });
  }

  #applyResponse(response: StoreResponse, prefix: CachedPrefix, after: number): WarmStartRefusal | null {
    if (response.kind === "compacted") return "changes no longer kept";
    if (response.kind !== "events") return "no answer";
    // A response from before the election may lack later writes of the previous leader.
    if (response.revision < Math.max(this.#electionRevision, after)) return "the state service went back";
    this.#cache.apply(prefix, response.events, response.revision);
    return null;
  }
}
