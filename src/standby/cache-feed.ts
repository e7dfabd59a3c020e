import type { Context } from "../core/context.js";
import type { StoreEntry, StoreResponse } from "../core/messages/store.js";
import { RecordReader } from "../core/store/record-reader.js";
import { CACHED_PREFIXES, type CachedPrefix, type RecordCache } from "./record-cache.js";

/** The longest that a follow waits for a change, and what it is given beyond that to answer. */
const FOLLOW_MS = 5000;
const FOLLOW_GRACE_MS = 1500;
/** Changes are taken over so often at most: many come with one answer. */
const PAUSE_MS = 400;
const RETRY_MS = 1000;

/** How far the copy of one prefix is. */
type Progress =
  /** The list is yet to be read, or is being read. */
  | { readonly kind: "reading"; readonly why: string }
  /** The list is there; no follow since has been answered, or the last one was not. */
  | { readonly kind: "behind"; readonly why: string }
  | { readonly kind: "following" };

/** Keeps one prefix of the cache up to date: one list, then one follow after another. */
class PrefixFeed {
  progress: Progress = { kind: "reading", why: "the records are being read" };
  /** When the last answer came that proved the copy complete; null before the first. */
  confirmedAt: number | null = null;
  readonly #ctx: Context;
  readonly #cache: RecordCache;
  readonly #prefix: CachedPrefix;
  readonly #reader: RecordReader;
  #busy = false;
  #nextAt = 0;
  #stopped = false;

  constructor(ctx: Context, cache: RecordCache, prefix: CachedPrefix) {
    this.#ctx = ctx;
    this.#cache = cache;
    this.#prefix = prefix;
    this.#reader = new RecordReader(ctx);
  }

  stop(): void {
    this.#stopped = true;
    this.#reader.stop();
  }

  tick(): void {
    this.#reader.tick();
    if (this.#busy || this.#stopped || this.#ctx.now < this.#nextAt) return;
    this.#busy = true;
    if (this.progress.kind === "reading") this.#read();
    else this.#follow();
  }

  /** Takes over the pages as they come: a store too large for the cache is noticed before all of it is in memory. */
  #read(): void {
    this.#cache.begin(this.#prefix);
    const takePage = (items: readonly StoreEntry[]) => {
      this.#cache.add(this.#prefix, items);
      return !this.#cache.isTooLarge;
    };
    this.#reader.readPages(this.#prefix, takePage, (firstRevision) => {
      // Following goes on from the first page's revision: what changed while the others were read comes again.
      this.#cache.complete(this.#prefix, firstRevision);
      this.progress = { kind: "behind", why: "the changes since the first read are yet to come" };
      this.#pause(0);
    });
  }

  #follow(): void {
    const after = this.#cache.through(this.#prefix);
    const waitMs = this.progress.kind === "behind" ? 0 : FOLLOW_MS;
    const call = { kind: "watch", prefix: this.#prefix, after, waitMs } as const;
    this.#ctx.callStore(call, waitMs + FOLLOW_GRACE_MS, (answer) => {
      if (this.#stopped) return;
      this.#pause(this.#takeChanges(answer, after) ? PAUSE_MS : RETRY_MS);
    });
  }

  /** False if the copy could not be brought up to date. */
  #takeChanges(answer: StoreResponse, after: number): boolean {
    if (answer.kind === "events" && answer.revision >= after) {
      this.#cache.apply(this.#prefix, answer.events, answer.revision);
      this.progress = { kind: "following" };
      this.confirmedAt = this.#ctx.now;
      return true;
    }
    if (answer.kind === "events") this.progress = { kind: "reading", why: "the state service went back" };
    else if (answer.kind === "compacted")
      this.progress = { kind: "reading", why: "the changes are no longer kept" };
    else this.progress = { kind: "behind", why: "the state service does not answer" };
    return false;
  }

  #pause(ms: number): void {
    this.#busy = false;
    this.#nextAt = this.#ctx.now + ms;
  }
}

/** Brings the cache every change of the records, for as long as this node stands by. */
export class CacheFeed {
  readonly #ctx: Context;
  readonly #feeds: readonly PrefixFeed[];

  constructor(ctx: Context, cache: RecordCache) {
    this.#ctx = ctx;
    this.#feeds = CACHED_PREFIXES.map((prefix) => new PrefixFeed(ctx, cache, prefix));
  }

  stop(): void {
    for (const feed of this.#feeds) feed.stop();
  }

  tick(): void {
    for (const feed of this.#feeds) feed.tick();
  }

  /** Why the cache is not to be relied on; null while it is followed. */
  get problem(): string | null {
    for (const { progress } of this.#feeds) if (progress.kind !== "following") return progress.why;
    return null;
  }

  /** True once every list was read: what the cache then lacks one read can bring. */
  get isComplete(): boolean {
    return this.#feeds.every(({ progress }) => progress.kind !== "reading");
  }

  /** How long ago the oldest part was last proved complete, in milliseconds; null before it was. */
  get lagMs(): number | null {
    let oldest = Number.POSITIVE_INFINITY;
    for (const { confirmedAt } of this.#feeds) {
      if (confirmedAt === null) return null;
      oldest = Math.min(oldest, confirmedAt);
    }
    return this.#ctx.now - oldest;
  }
}
