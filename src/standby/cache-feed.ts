import type { Context } from "../core/context.js";
import type { StoreEntry, StoreResponse } from "../core/messages/store.js";
import { RecordReader } from "../core/store/record-reader.js";
import { CACHED_PREFIXES, type CachedPrefix, type RecordCache } from "./record-cache.js";

/** How long the store holds a watch open without a change, and how much longer an answer is waited for. */
const WATCH_WAIT_MS = 5000;
const WATCH_GRACE_MS = 1500;
/** The pause between watches, so that many changes come with one response. */
const WATCH_PAUSE_MS = 400;
const RETRY_MS = 1000;

/** How far the copy of one prefix is. `reason` says why it is not up to date, for the status. */
type Progress =
  /** The records are to be read from the beginning, or are being read. */
  | { readonly kind: "reading"; readonly reason: string }
  /** The records are there; no watch since then was answered, or the last one was not. */
  | { readonly kind: "behind"; readonly reason: string }
  | { readonly kind: "following" };

/** Keeps one prefix of the cache up to date: by one range read, then one watch after another. */
class PrefixFeed {
  progress: Progress = { kind: "reading", reason: "the records are being read" };
  /** When the copy was last proved complete; null before the first time. */
  confirmedAt: number | null = null;
  readonly #ctx: Context;
  readonly #cache: RecordCache;
  readonly #prefix: CachedPrefix;
  readonly #reader: RecordReader;
  #isCallInFlight = false;
  #nextCallAt = 0;
  #isStopped = false;

  constructor(ctx: Context, cache: RecordCache, prefix: CachedPrefix) {
    this.#ctx = ctx;
    this.#cache = cache;
    this.#prefix = prefix;
    this.#reader = new RecordReader(ctx);
  }

  /** Ends all reading; a response that is under way is dropped. */
  stop(): void {
    this.#isStopped = true;
    this.#reader.stop();
  }

  /** Makes the next call to the store if it is due; there is one at a time. */
  tick(): void {
    this.#reader.tick();
    if (this.#isCallInFlight || this.#isStopped || this.#ctx.now < this.#nextCallAt) return;
    this.#isCallInFlight = true;
    if (this.progress.kind === "reading") this.#read();
    else this.#watch();
  }

  /** Adds pages as they come, so that too many records are noticed before all of them are in memory. */
  #read(): void {
    this.#cache.begin(this.#prefix);
    const addPage = (entries: readonly StoreEntry[]) => {
      this.#cache.add(this.#prefix, entries);
      return !this.#cache.isTooLarge;
    };
    this.#reader.readPages(this.#prefix, addPage, (firstRevision) => {
      // Watching goes on from the revision of the first page: what changed while the others were read comes again.
      this.#cache.complete(this.#prefix, firstRevision);
      this.progress = { kind: "behind", reason: "the changes since the first read are yet to come" };
      this.#scheduleNextCall(0);
    });
  }

  #watch(): void {
    const after = this.#cache.through(this.#prefix);
    const waitMs = this.progress.kind === "behind" ? 0 : WATCH_WAIT_MS;
    const request = { kind: "watch", prefix: this.#prefix, after, waitMs } as const;
    this.#ctx.callStore(request, waitMs + WATCH_GRACE_MS, (response) => {
      if (this.#isStopped) return;
      this.#scheduleNextCall(this.#applyResponse(response, after) ? WATCH_PAUSE_MS : RETRY_MS);
    });
  }

  /** Applies the changes after a revision; false if the copy could not be brought up to date. */
  #applyResponse(response: StoreResponse, after: number): boolean {
    if (response.kind === "events" && response.revision >= after) {
      this.#cache.apply(this.#prefix, response.events, response.revision);
      this.progress = { kind: "following" };
      this.confirmedAt = this.#ctx.now;
      return true;
    }
    if (response.kind === "events")
      this.progress = { kind: "reading", reason: "the state service went back" };
    else if (response.kind === "compacted")
      this.progress = { kind: "reading", reason: "the changes are no longer kept" };
    else this.progress = { kind: "behind", reason: "the state service does not answer" };
    return false;
  }

  #scheduleNextCall(delayMs: number): void {
    this.#isCallInFlight = false;
    this.#nextCallAt = this.#ctx.now + delayMs;
  }
}

/** Keeps the cache up to date with the store, for as long as this node is the standby. */
export class CacheFeed {
  readonly #ctx: Context;
  readonly #feeds: readonly PrefixFeed[];

  constructor(ctx: Context, cache: RecordCache) {
    this.#ctx = ctx;
    this.#feeds = CACHED_PREFIXES.map((prefix) => new PrefixFeed(ctx, cache, prefix));
  }

  /** Ends all reading; the cache is not changed any more. */
  stop(): void {
    for (const feed of this.#feeds) feed.stop();
  }

  /** Makes the calls to the store that are due. */
  tick(): void {
    for (const feed of this.#feeds) feed.tick();
  }

  /** Why the cache is not up to date; null while it is. */
  get problem(): string | null {
    for (const { progress } of this.#feeds) if (progress.kind !== "following") return progress.reason;
    return null;
  }

  /** True once all prefixes were read: one more watch of each then brings the cache up to date. */
  get isComplete(): boolean {
    return this.#feeds.every(({ progress }) => progress.kind !== "reading");
  }

  /** The milliseconds since all of the cache was last proved complete; null if it was not yet. */
  get lagMs(): number | null {
    let oldestAt = Number.POSITIVE_INFINITY;
    for (const { confirmedAt } of this.#feeds) {
      if (confirmedAt === null) return null;
      oldestAt = Math.min(oldestAt, confirmedAt);
    }
    return this.#ctx.now - oldestAt;
  }
}
