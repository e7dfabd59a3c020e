import type { Context } from "../core/context.js";
import type { RecordSource } from "../core/store/record-reader.js";
import { CacheFeed } from "./cache-feed.js";
import { RecordCache } from "./record-cache.js";
import type { Warmth } from "./role.js";
import { WarmStart } from "./warm-start.js";

/** A node reads the records only once it has been the standby for so long: roles change while nodes start. */
const SETTLE_MS = 3000;
/** A node whose ticks come this late has no time to follow, and then leaves it for a while. */
const LATE_TICK_MS = 600;
const LATE_PAUSE_MS = 3000;
/** A cache that has outgrown its bound is tried again after this. */
const TOO_LARGE_MS = 300_000;

export interface TakeoverEvents {
  /** Where the records of the term come from, and why not from the cache. */
  chosen(source: "warm" | "cold", why: string | null): void;
}

/** For the status and the metrics. */
export interface StandbyReport {
  readonly warm: boolean;
  /** Why the cache is cold; null while it is warm. */
  readonly why: string | null;
  readonly records: number;
  readonly bytes: number;
  readonly lagRevisions: number | null;
  readonly lagS: number | null;
}

type State =
  | { readonly kind: "idle" }
  | { readonly kind: "settling"; readonly since: number }
  | { readonly kind: "following"; readonly feed: CacheFeed }
  | { readonly kind: "tooLarge"; readonly until: number; readonly bytes: number };

/** Follows the records while another node leads, so that this one can lead without reading them from the beginning. */
export class Standby {
  readonly #ctx: Context;
  readonly #mostBytes: number;
  #cache: RecordCache;
  #state: State = { kind: "idle" };
  #tickedAt = Number.NEGATIVE_INFINITY;
  #pausedUntil = Number.NEGATIVE_INFINITY;

  constructor(ctx: Context, mostBytes: number) {
    this.#ctx = ctx;
    this.#mostBytes = mostBytes;
    this.#cache = new RecordCache(mostBytes);
  }

  /** `isStandby` tells whether this node is the one to stand by. */
  tick(isStandby: boolean): void {
    const { now } = this.#ctx;
    if (now - this.#tickedAt > LATE_TICK_MS) this.#pausedUntil = now + LATE_PAUSE_MS;
    this.#tickedAt = now;
    if (!isStandby) {
      this.drop();
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
        if (this.#cache.isTooLarge) this.#giveUp(this.#state.feed);
        else if (now >= this.#pausedUntil && this.#ctx.storeFailingSince === null) this.#state.feed.tick();
        break;
      case "tooLarge":
        if (now >= this.#state.until) this.#state = { kind: "idle" };
        break;
    }
  }

  /** Ends the following and gives the memory back. */
  drop(): void {
    if (this.#state.kind === "idle") return;
    if (this.#state.kind === "following") this.#state.feed.stop();
    this.#state = { kind: "idle" };
    this.#cache.clear();
  }

  #giveUp(feed: CacheFeed): void {
    const { bytes } = this.#cache;
    feed.stop();
    this.#cache.clear();
    this.#state = { kind: "tooLarge", until: this.#ctx.now + TOO_LARGE_MS, bytes };
    this.#ctx.log("info", "the records are too many for a warm standby", { bytes, most: this.#mostBytes });
  }

  get warmth(): Warmth {
    return this.#problem() === null ? "warm" : "cold";
  }

  /** Why the cache is cold; null while it is warm. */
  #problem(): string | null {
    const state = this.#state;
    switch (state.kind) {
      case "idle":
        return "this node does not stand by";
      case "settling":
        return "it has just become the standby";
      case "tooLarge":
        return `the records take ${state.bytes} bytes, more than ${this.#mostBytes}`;
      case "following":
        if (this.#ctx.now < this.#pausedUntil) return "this node is behind with its work";
        return state.feed.problem;
    }
  }

  /**
   * The source of the records for a term that began at this revision: the cache, if it is there as a whole, else `cold`.
   */
  source(revision: number, cold: RecordSource, events: TakeoverEvents): RecordSource {
    const state = this.#state;
    if (state.kind !== "following" || !state.feed.isComplete) {
      events.chosen("cold", this.#problem());
      return cold;
    }
    state.feed.stop();
    this.#state = { kind: "idle" };
    const cache = this.#cache;
    this.#cache = new RecordCache(this.#mostBytes);
    return new WarmStart(this.#ctx, cache, revision, cold, {
      confirmed: () => events.chosen("warm", null),
      refused: (why) => events.chosen("cold", why),
    });
  }

  /** `newest` is the latest revision that this node knows of. */
  report(newest: number): StandbyReport {
    const lagMs = this.#state.kind === "following" ? this.#state.feed.lagMs : null;
    const why = this.#problem();
    return {
      warm: why === null,
      why,
      records: this.#cache.size,
      bytes: this.#cache.bytes,
      lagRevisions: this.#cache.size === 0 ? null : Math.max(0, newest - this.#cache.completeThrough),
      lagS: lagMs === null ? null : Math.round(lagMs / 100) / 10,
    };
  }
}
