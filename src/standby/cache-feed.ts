import type { Context } from "../core/context.js";
import type { StoreEntry, StoreResponse } from "../core/messages/store.js";
import { RecordReader } from "../core/store/record-reader.js";
import { CACHED_PREFIXES, type CachedPrefix, type RecordCache } from "./record-cache.js";

/** How long the store holds a watch open if nothing changes, and how much longer to wait for its response. */
const WATCH_WAIT_MS = 5000;
const WATCH_GRACE_MS = 1500;
/** Delay between watches, so that one response carries many changes. */
const WATCH_PAUSE_MS = 400;
const RETRY_MS = 1000;

/** Whether one prefix of the cache is up to date. `reason` is shown in the status and says why it is not. */
type Progress =
  /** All records have yet to be read, or are being read. */
  | { readonly kind: "reading"; readonly reason: string }
  /** All records have been read, but no watch has been answered since, or the last one failed. */
  | { readonly kind: "behind"; readonly reason: string }
  | { readonly kind: "following" };

/** Keeps one prefix of the cache up to date: one range read, followed by successive watches. */
class PrefixFeed {
  progress: Progress = { kind: "reading", reason: "the records are being read" };
  /** When the cached records were last confirmed to be complete; null before the first time. */
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

  /** Stops reading and watching; a response to the call in flight is ignored. */
  stop(): void {
    this.#isStopped = true;
    this.#reader.stop();
  }

  /** Makes the next call to the store if it is due. At most one call is in flight at a time. */
  tick(): void {
    this.#reader.tick();
    if (this.#isCallInFlight || this.#isStopped || this.#ctx.now < this.#nextCallAt) return;
    this.#isCallInFlight = true;
    if (this.progress.kind === "reading") this.#read();
    else this.#watch();
  }

  /** Adds each page as it arrives, so that the memory limit is detected before all records are in memory. */
  #read(): void {
    this.#cache.beginLoad(this.#prefix);
    const addPage = (entries: readonly StoreEntry[]) => {
      this.#cache.addPage(this.#prefix, entries);
      return !this.#cache.isTooLarge;
    };
    this.#reader.readPages(this.#prefix, addPage, (firstRevision) => {
      // Watches from the revision of the first page, to receive changes that were made while the others were read.
      this.#cache.completeLoad(this.#prefix, firstRevision);
      this.progress = { kind: "behind", reason: "the changes since the first read are yet to come" };
      this.#scheduleNextCall(0);
    });
  }

  #watch(): void {
    const after = this.#cache.prefixCompleteThrough(this.#prefix);
    const waitMs = this.progress.kind === "behind" ? 0 : WATCH_WAIT_MS;
    const request = { kind: "watch", prefix: this.#prefix, after, waitMs } as const;
    this.#ctx.callStore(request, waitMs + WATCH_GRACE_MS, (response) => {
      if (this.#isStopped) return;
      this.#scheduleNextCall(this.#applyResponse(response, after) ? WATCH_PAUSE_MS : RETRY_MS);
    });
  }

  /** Applies the changes after a revision. Returns false if the prefix could not be brought up to date. */
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

/** Keeps the cache up to date with the store while this node is the standby. */
export class CacheFeed {
  readonly #ctx: Context;
  readonly #feeds: readonly PrefixFeed[];

  constructor(ctx: Context, cache: RecordCache) {
    this.#ctx = ctx;
    this.#feeds = CACHED_PREFIXES.map((prefix) => new PrefixFeed(ctx, cache, prefix));
  }

  /** Stops all reading and watching; the cache no longer changes. */
  stop(): void {
    for (const feed of this.#feeds) feed.stop();
  }

  /** Makes all calls to the store that are due. */
  tick(): void {
    for (const feed of this.#feeds) feed.tick();
  }

  /** Why the cache is not up to date; null if it is. */
  get problem(): string | null {
    for (const { progress } of this.#feeds) if (progress.kind !== "following") return progress.reason;
    return null;
  }

  /** True once all prefixes have been read, so that one more watch of each brings the cache up to date. */
  get isComplete(): boolean {
    return this.#feeds.every(({ progress }) => progress.kind !== "reading");
  }

  /** Milliseconds since the whole cache was last confirmed to be complete; null before the first time. */
  get lagMs(): number | null {
    let oldestAt = Number.POSITIVE_INFINITY;
    for (const { confirmedAt } of this.#feeds) {
      if (confirmedAt === null) return null;
      oldestAt = Math.min(oldestAt, confirmedAt);
    }
    return this.#ctx.now - oldestAt;
  }
}
