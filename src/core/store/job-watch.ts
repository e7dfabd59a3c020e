import type { Context } from "../context.js";
import type { StoreEntry, StoreResponse } from "../messages/store.js";
import { RecordReader, type RecordSource, type StoredRecords } from "./record-reader.js";
import { KEYS } from "./records.js";

const RETRY_DELAY_MS = 300;
/** Pause between two watch requests, so that one response carries many changes. */
const WATCH_PAUSE_MS = 200;
/** Added to the wait time of a watch to obtain the timeout of its request. */
const WATCH_GRACE_MS = 2000;

/**
 * Loads all records at the start of a leader's term, then watches the job keys. The leader learns of cancellations from
 * this watch (I1).
 */
export class JobWatch {
  /**
   * All changes to job keys before this time have been applied (I1). It is the time at which the most recently answered
   * request was sent; null until the records are loaded.
   */
  cancellationsKnownThrough: number | null = null;
  readonly #ctx: Context;
  readonly #watchWaitMs: () => number;
  readonly #onJobEntry: (entry: StoreEntry) => void;
  readonly #reader: RecordReader;
  #revision = 0;
  #isLoaded = false;
  /** True while a watch, or a full read in place of one, is in progress. */
  #isWatching = false;
  #nextWatchAt = 0;
  #isStopped = false;

  constructor(
    ctx: Context,
    /** How long a watch may wait for a change. */
    watchWaitMs: () => number,
    /** Called for each job key written, and for all job keys after a compaction; a version may be passed repeatedly. */
    onJobEntry: (entry: StoreEntry) => void,
  ) {
    this.#ctx = ctx;
    this.#watchWaitMs = watchWaitMs;
    this.#onJobEntry = onJobEntry;
    this.#reader = new RecordReader(ctx);
  }

  /** Stops reading and watching; later responses are ignored. */
  stop(): void {
    this.#isStopped = true;
    this.#reader.stop();
  }

  /**
   * Loads all records, then starts watching.
   *
   * @param chooseSource Selects the source to load from; its argument is the one that reads everything from the store.
   * @param onLoaded Applies the records; called once, unless stopped first.
   */
  load(
    chooseSource: (fullRead: RecordSource) => RecordSource,
    onLoaded: (records: StoredRecords) => void,
  ): void {
    chooseSource(this.#reader).load((loaded) => {
      if (this.#isStopped) return;
      this.#revision = loaded.revision;
      onLoaded(loaded.records);
      this.cancellationsKnownThrough = loaded.requestedAt;
      this.#isLoaded = true;
    });
  }

  /** Runs the callback at the first tick after the delay has passed. */
  runAfter(delayMs: number, callback: () => void): void {
    this.#reader.runAfter(delayMs, callback);
  }

  /** Runs due timers and starts the next watch. */
  tick(): void {
    this.#reader.tick();
    if (this.#isLoaded && !this.#isWatching && this.#ctx.now >= this.#nextWatchAt) this.#watch();
  }

  #watch(): void {
    this.#isWatching = true;
    const waitMs = Math.floor(this.#watchWaitMs());
    const request = { kind: "watch", prefix: KEYS.jobsPrefix, after: this.#revision, waitMs } as const;
    const requestedAt = this.#ctx.now;
    this.#ctx.callStore(request, waitMs + WATCH_GRACE_MS, (response) => {
      if (!this.#isStopped) this.#onWatchResponse(response, requestedAt);
    });
  }

  #onWatchResponse(response: StoreResponse, requestedAt: number): void {
    this.#isWatching = false;
    this.#nextWatchAt = this.#ctx.now + WATCH_PAUSE_MS;
    if (response.kind === "events") {
      for (const event of response.events) if (event.kind === "put") this.#onJobEntry(event.entry);
      this.#revision = Math.max(this.#revision, response.revision);
      this.cancellationsKnownThrough = requestedAt;
    } else if (response.kind === "compacted") this.#rereadAll();
    else this.#nextWatchAt = this.#ctx.now + RETRY_DELAY_MS;
  }

  /** Reads all job keys, because the store has compacted the changes since the last response. */
  #rereadAll(): void {
    this.#isWatching = true;
    this.#reader.readAll(KEYS.jobsPrefix, (entries, revision, requestedAt) => {
      this.#isWatching = false;
      this.#revision = revision;
      for (const entry of entries) this.#onJobEntry(entry);
      this.cancellationsKnownThrough = requestedAt;
    });
  }
}
