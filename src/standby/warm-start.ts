import type { Context } from "../core/context.js";
import type { StoreResponse } from "../core/messages/store.js";
import type { LoadedRecords, RecordSource } from "../core/store/record-reader.js";
import { KEYS } from "../core/store/records.js";
import { CACHED_PREFIXES, type CachedPrefix, type RecordCache } from "./record-cache.js";

/** How long the confirmation is waited for, at each try; then the records are read as without a cache. */
const CONFIRM_MS = [300, 700, 1500];

/** Why a cache could not be used for a takeover. */
export type Refusal = "changes no longer kept" | "no answer" | "the state service went back";

export interface WarmStartEvents {
  /** The cache is proved to be the latest. */
  confirmed(): void;
  /** It can't be proved: the records are read as without a cache. */
  refused(why: Refusal): void;
}

/**
 * The records of a term from the standby's cache, once that is proved to be the whole truth. Every write of an earlier
 * leader depends on its own leader key, so none is carried out after the revision of this election. What changed from the
 * cached revision on is asked for in one read of each prefix; an answer at the election's revision or a later one has all of it.
 */
export class WarmStart implements RecordSource {
  readonly #ctx: Context;
  readonly #cache: RecordCache;
  /** The revision of the election. */
  readonly #revision: number;
  readonly #cold: RecordSource;
  readonly #events: WarmStartEvents;

  constructor(
    ctx: Context,
    cache: RecordCache,
    revision: number,
    cold: RecordSource,
    events: WarmStartEvents,
  ) {
    this.#ctx = ctx;
    this.#cache = cache;
    this.#revision = revision;
    this.#cold = cold;
    this.#events = events;
  }

  load(then: (loaded: LoadedRecords) => void): void {
    const askedAt = this.#ctx.now;
    let waiting: number = CACHED_PREFIXES.length;
    let refusal: Refusal | null = null;
    const answered = (problem: Refusal | null) => {
      refusal ??= problem;
      if (--waiting > 0) return;
      if (refusal === null) {
        this.#events.confirmed();
        then({ records: this.#cache.records(), revision: this.#cache.through(KEYS.jobs), askedAt });
      } else {
        this.#ctx.log("info", "the standby's records are not used", { why: refusal });
        this.#events.refused(refusal);
        this.#cold.load(then);
      }
      this.#cache.clear();
    };
    for (const prefix of CACHED_PREFIXES) this.#confirm(prefix, 0, answered);
  }

  #confirm(prefix: CachedPrefix, tries: number, then: (refusal: Refusal | null) => void): void {
    const timeoutMs = CONFIRM_MS[tries];
    if (timeoutMs === undefined) {
      then("no answer");
      return;
    }
    const after = this.#cache.through(prefix);
    this.#ctx.callStore({ kind: "watch", prefix, after, waitMs: 0 }, timeoutMs, (answer) => {
      const refusal = this.#takeProof(answer, prefix, after);
      if (refusal === "no answer") this.#confirm(prefix, tries + 1, then);
      else then(refusal);
    });
  }

  #takeProof(answer: StoreResponse, prefix: CachedPrefix, after: number): Refusal | null {
    if (answer.kind === "compacted") return "changes no longer kept";
    if (answer.kind !== "events") return "no answer";
    // An answer from before the election proves nothing.
    if (answer.revision < Math.max(this.#revision, after)) return "the state service went back";
    this.#cache.apply(prefix, answer.events, answer.revision);
    return null;
  }
}
