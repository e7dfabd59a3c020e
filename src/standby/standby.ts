import type { Context } from "../core/context.js";
import type { RecordSource } from "../core/store/record-reader.js";
import { CacheFeed } from "./cache-feed.js";
import { RecordCache } from "./record-cache.js";
import type { Warmth } from "./role.js";
import { WarmStart } from "./warm-start.js";

/** A node reads the records only after it has been the standby for this long, because roles change during startup. */
const SETTLE_MS = 3000;
/** A node whose ticks are further apart than this is overloaded and stops updating its cache for a while. */
const MAX_TICK_GAP_MS = 600;
const OVERLOAD_PAUSE_MS = 3000;
/** Delay before a cache that exceeded its memory limit is filled again. */
const TOO_LARGE_RETRY_MS = 300_000;

/** Events that {@link Standby} reports to its node. */
export interface StandbyEvents {
  /** Called when the record source of the term is known. `reason` is why the cache was not used; null if it was. */
  onSourceChosen(source: "warm" | "cold", reason: string | null): void;
}

/** The state of the standby for status and metrics. */
export interface StandbyReport {
  /** True if this node could start a term from its cache. */
  readonly warm: boolean;
  /** Why the cache is cold; null if it is warm. */
  readonly why: string | null;
  readonly records: number;
  /** Estimated memory use of the cache. */
  readonly bytes: number;
  /** Number of revisions by which the cache is behind the store; null while it is empty. */
  readonly lagRevisions: number | null;
  /** Seconds since the cache was last confirmed to be complete; null before the first time. */
  readonly lagS: number | null;
}

type State =
  | { readonly kind: "idle" }
  | { readonly kind: "settling"; readonly since: number }
  | { readonly kind: "following"; readonly feed: CacheFeed }
  | { readonly kind: "tooLarge"; readonly until: number; readonly bytes: number };

/** Caches the records while another node leads, so that this node can start a term without reading all of them. */
export class Standby {
  readonly #ctx: Context;
  readonly #maxBytes: number;
  #cache: RecordCache;
  #state: State = { kind: "idle" };
  #tickedAt = Number.NEGATIVE_INFINITY;
  #overloadedUntil = Number.NEGATIVE_INFINITY;

  constructor(ctx: Context, maxBytes: number) {
    this.#ctx = ctx;
    this.#maxBytes = maxBytes;
    this.#cache = new RecordCache(maxBytes);
  }

  /** Advances the state. `isStandby` is true if this node has the standby role. */
  tick(isStandby: boolean): void {
    const { now } = this.#ctx;
    if (now - this.#tickedAt > MAX_TICK_GAP_MS) this.#overloadedUntil = now + OVERLOAD_PAUSE_MS;
    this.#tickedAt = now;
    if (!isStandby) {
      this.deactivate();
      return;
    }
    switch (this.#state.kind) {
      case "idle":
        this.#state = { kind: "settling", since: now };
        break;
      case "settling":
        if (now - this.#state.since >= SETTLE_MS)
          this.#state = { kind: "following", feed: new CacheFeed(this.#ctx, this.#cache) };
        break;
      case "following":
        if (this.#cache.isTooLarge) this.#dropOversizedCache(this.#state.feed);
        else if (now >= this.#overloadedUntil && this.#ctx.storeFailingSince === null)
          this.#state.feed.tick();
        break;
      case "tooLarge":
        if (now >= this.#state.until) this.#state = { kind: "idle" };
        break;
    }
  }

  /** Stops the feed and clears the cache. */
  deactivate(): void {
    if (this.#state.kind === "idle") return;
    if (this.#state.kind === "following") this.#state.feed.stop();
    this.#state = { kind: "idle" };
    this.#cache.clear();
  }

  #dropOversizedCache(feed: CacheFeed): void {
    const { bytes } = this.#cache;
    feed.stop();
    this.#cache.clear();
    this.#state = { kind: "tooLarge", until: this.#ctx.now + TOO_LARGE_RETRY_MS, bytes };
    this.#ctx.log("info", "standby cache dropped", {
      cache_bytes: bytes,
      max_bytes: this.#maxBytes,
    });
  }

  /** Whether this node could start a term from its cache. */
  get warmth(): Warmth {
    return this.#coldReason() === null ? "warm" : "cold";
  }

  /** Returns why the cache is cold; null if it is warm. */
  #coldReason(): string | null {
    const state = this.#state;
    switch (state.kind) {
      case "idle":
        return "this node does not stand by";
      case "settling":
        return "it has just become the standby";
      case "tooLarge":
        return `the records take ${state.bytes} bytes, more than ${this.#maxBytes}`;
      case "following":
        if (this.#ctx.now < this.#overloadedUntil) return "this node is behind with its work";
        return state.feed.problem;
    }
  }

  /**
   * Returns the record source of the term whose election has this store revision: the cache if all records have been
   * read into it, otherwise `fullRead`. The source owns the cache from then on; the standby continues with a new one.
   */
  recordSource(revision: number, fullRead: RecordSource, events: StandbyEvents): RecordSource {
    const state = this.#state;
    if (state.kind !== "following" || !state.feed.isComplete) {
      events.onSourceChosen("cold", this.#coldReason());
      return fullRead;
    }
    state.feed.stop();
    this.#state = { kind: "idle" };
    const cache = this.#cache;
    this.#cache = new RecordCache(this.#maxBytes);
    return new WarmStart(this.#ctx, cache, revision, fullRead, {
      onConfirmed: () => events.onSourceChosen("warm", null),
      onRefused: (reason) => events.onSourceChosen("cold", reason),
    });
  }

  /** Returns the state of the standby. `latestRevision` is the latest store revision known to this node. */
  report(latestRevision: number): StandbyReport {
    const lagMs = this.#state.kind === "following" ? this.#state.feed.lagMs : null;
    const reason = this.#coldReason();
    const { size, bytes, completeThrough } = this.#cache;
    return {
      warm: reason === null,
      why: reason,
      records: size,
      bytes,
      lagRevisions: size === 0 ? null : Math.max(0, latestRevision - completeThrough),
      lagS: lagMs === null ? null : Math.round(lagMs / 100) / 10,
    };
  }
}
