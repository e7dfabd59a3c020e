import type { Context } from "../context.js";
import type { StoreEntry, StoreResponse } from "../messages/store.js";
import { KEYS } from "./records.js";

/**
 * Timeouts for reading a page, by attempt. A new leader answers no heartbeats until it has read all records (I1), while
 * the agents' leases run down. The first timeout is therefore short, so that a lost response is retried early; later
 * ones leave time for a slow response.
 */
const PAGE_TIMEOUTS_MS = [1000, 2000, 3000];
const RETRY_DELAY_MS = 300;

/** Records written by earlier leaders. */
export interface StoredRecords {
  readonly machines: readonly StoreEntry[];
  readonly chunks: readonly StoreEntry[];
  readonly jobs: readonly StoreEntry[];
}

/** The loaded records, and the revision from which to watch the job keys. */
export interface LoadedRecords {
  readonly records: StoredRecords;
  /** Changes to job keys after this revision must be watched. */
  readonly revision: number;
  /** All changes to job keys before this time are included in the records. */
  readonly requestedAt: number;
}

/** A source from which a new leader loads its records. */
export interface RecordSource {
  /** Loads all records, retrying until it succeeds; calls back once, unless stopped first. */
  load(onLoaded: (loaded: LoadedRecords) => void): void;
}

/** Called with each page of a prefix as it arrives; returns false to stop reading. */
type PageConsumer = (entries: readonly StoreEntry[]) => boolean;

/** A read of a prefix in progress. Revision and time are those of the first page, so a watch from there is complete. */
interface PagedRead {
  readonly prefix: string;
  readonly onPage: PageConsumer;
  readonly onComplete: (firstRevision: number, firstRequestedAt: number) => void;
  firstRevision: number | null;
  firstRequestedAt: number;
}

type PageResponse = Extract<StoreResponse, { kind: "page" }>;

/** Reads all entries under a prefix page by page, retrying each page until it succeeds. */
export class RecordReader implements RecordSource {
  readonly #ctx: Context;
  readonly #timers: { at: number; callback: () => void }[] = [];
  #isStopped = false;

  constructor(ctx: Context) {
    this.#ctx = ctx;
  }

  /** Cancels all reads; none of them calls back afterwards. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Reads all records. Jobs come last, so that no placement belongs to a job accepted after the jobs were read. */
  load(onLoaded: (loaded: LoadedRecords) => void): void {
    this.readAll(KEYS.machinesPrefix, (machines) => {
      this.readAll(KEYS.chunksPrefix, (chunks) => {
        this.readAll(KEYS.jobsPrefix, (jobs, revision, firstRequestedAt) => {
          onLoaded({ records: { machines, chunks, jobs }, revision, requestedAt: firstRequestedAt });
        });
      });
    });
  }

  /** Reads all entries under a prefix; calls back with them and the revision and request time of the first page. */
  readAll(
    prefix: string,
    onComplete: (entries: StoreEntry[], firstRevision: number, firstRequestedAt: number) => void,
  ): void {
    const entries: StoreEntry[] = [];
    const collect = (page: readonly StoreEntry[]) => {
      entries.push(...page);
      return true;
    };
    this.readPages(prefix, collect, (revision, requestedAt) => onComplete(entries, revision, requestedAt));
  }

  /** Like `readAll`, but delivers pages separately, for callers that discard entries or may stop early. */
  readPages(
    prefix: string,
    onPage: PageConsumer,
    onComplete: (firstRevision: number, firstRequestedAt: number) => void,
  ): void {
    const read: PagedRead = {
      prefix,
      onPage,
      onComplete,
      firstRevision: null,
      firstRequestedAt: this.#ctx.now,
    };
    this.#requestPage(read, null, 0);
  }

  /** Runs the callback at the first tick after the delay has passed. */
  runAfter(delayMs: number, callback: () => void): void {
    this.#timers.push({ at: this.#ctx.now + delayMs, callback });
  }

  /** Runs due timers. */
  tick(): void {
    const { now } = this.#ctx;
    for (const timer of this.#timers.splice(0)) {
      if (timer.at <= now) timer.callback();
      else this.#timers.push(timer);
    }
  }

  #requestPage(read: PagedRead, after: string | null, attempt: number): void {
    if (read.firstRevision === null) read.firstRequestedAt = this.#ctx.now;
    const timeoutMs = PAGE_TIMEOUTS_MS[Math.min(attempt, PAGE_TIMEOUTS_MS.length - 1)] ?? 0;
    this.#ctx.callStore({ kind: "list", prefix: read.prefix, after }, timeoutMs, (response) => {
      if (this.#isStopped) return;
      if (response.kind === "page") this.#onPage(read, response);
      else if (response.kind === "timeout") this.#requestPage(read, after, attempt + 1);
      else this.runAfter(RETRY_DELAY_MS, () => this.#requestPage(read, after, 0));
    });
  }

  #onPage(read: PagedRead, { entries, more, revision }: PageResponse): void {
    read.firstRevision ??= revision;
    if (!read.onPage(entries)) return;
    const last = entries.at(-1);
    if (more && last) this.#requestPage(read, last.key, 0);
    else read.onComplete(read.firstRevision, read.firstRequestedAt);
  }
}
