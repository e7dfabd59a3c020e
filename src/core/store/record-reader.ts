import type { Context } from "../context.js";
import type { StoreEntry, StoreResponse } from "../messages/store.js";
import { KEYS } from "./records.js";

/**
 * How long a page is waited for, at the first attempt and the next ones. A new leader answers no heartbeat until all is
 * read (I1): a lost response must not cost agents as much of their leases as a slow one may take.
 */
const PAGE_TIMEOUTS_MS = [1000, 2000, 3000];
const RETRY_DELAY_MS = 300;

/** The records that previous leaders have written. */
export interface StoredRecords {
  readonly machines: readonly StoreEntry[];
  readonly chunks: readonly StoreEntry[];
  readonly jobs: readonly StoreEntry[];
}

/** The records, and where to watch the job keys from. */
export interface LoadedRecords {
  readonly records: StoredRecords;
  /** The revision from which on changes of the job keys have to be watched. */
  readonly revision: number;
  /** Changes of job keys from before this time are in the records. */
  readonly requestedAt: number;
}

/** Where a new leader loads its records from. */
export interface RecordSource {
  /** Loads all records, retrying for as long as it takes; calls back once, unless stopped before. */
  load(onLoaded: (loaded: LoadedRecords) => void): void;
}

/** Receives each page of a prefix as it comes; false ends the reading. */
type PageConsumer = (entries: readonly StoreEntry[]) => boolean;

/** A prefix being read. Revision and time are those of the first page: a watch from there on misses nothing. */
interface PagedRead {
  readonly prefix: string;
  readonly onPage: PageConsumer;
  readonly onComplete: (firstRevision: number, firstRequestedAt: number) => void;
  firstRevision: number | null;
  firstRequestedAt: number;
}

type PageResponse = Extract<StoreResponse, { kind: "page" }>;

/** Reads whole prefixes from the store, page by page, repeating each page until it is answered. */
export class RecordReader implements RecordSource {
  readonly #ctx: Context;
  readonly #timers: { at: number; callback: () => void }[] = [];
  #isStopped = false;

  constructor(ctx: Context) {
    this.#ctx = ctx;
  }

  /** Ends all reads: none calls back any more. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Reads all records; the jobs last, so that no placement belongs to a job that was accepted after they were read. */
  load(onLoaded: (loaded: LoadedRecords) => void): void {
    this.readAll(KEYS.machinesPrefix, (machines) => {
      this.readAll(KEYS.chunksPrefix, (chunks) => {
        this.readAll(KEYS.jobsPrefix, (jobs, revision, firstRequestedAt) => {
          onLoaded({ records: { machines, chunks, jobs }, revision, requestedAt: firstRequestedAt });
        });
      });
    });
  }

  /** Reads all entries under a prefix; calls back with the revision of the first page and when it was requested. */
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

  /** Like `readAll`, page by page, for a caller that need not keep all entries or may end the reading. */
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

  /** Calls back at the first tick after this delay. */
  runAfter(delayMs: number, callback: () => void): void {
    this.#timers.push({ at: this.#ctx.now + delayMs, callback });
  }

  /** Runs the timers that are due. */
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
