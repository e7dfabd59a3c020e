import type { Context } from "../context.js";
import type { StoreEntry } from "../messages/store.js";
import { KEYS } from "./records.js";

/**
 * How long a page is waited for, at the first try and at the next ones. Until all is read no report is answered: a lost
 * answer must not cost the leases what a slow one may take.
 */
const PAGE_MS = [1000, 2000, 3000];
const RETRY_MS = 300;

/** What earlier leaders left on record. */
export interface StoredRecords {
  readonly machines: readonly StoreEntry[];
  readonly chunks: readonly StoreEntry[];
  readonly jobs: readonly StoreEntry[];
}

/** The records, with the revision and the time from which on the changes of jobs are to be followed. */
export interface LoadedRecords {
  readonly records: StoredRecords;
  readonly revision: number;
  readonly askedAt: number;
}

/** Where a new leader takes its records from. */
export interface RecordSource {
  load(then: (loaded: LoadedRecords) => void): void;
}

type Read = (items: StoreEntry[], revision: number, askedAt: number) => void;

/** Told of each page of a prefix as it comes; false ends the reading. */
type TakePage = (items: readonly StoreEntry[]) => boolean;

/** Reads whole prefixes from the state service, page by page, until it has them. */
export class RecordReader implements RecordSource {
  readonly #ctx: Context;
  readonly #timers: { at: number; run: () => void }[] = [];
  #stopped = false;

  constructor(ctx: Context) {
    this.#ctx = ctx;
  }

  stop(): void {
    this.#stopped = true;
  }

  /** Reads all records; the jobs last, so that no placement names a job accepted after them. */
  load(then: (loaded: LoadedRecords) => void): void {
    this.readAll(KEYS.machines, (machines) => {
      this.readAll(KEYS.chunks, (chunks) => {
        this.readAll(KEYS.jobs, (jobs, revision, askedAt) => {
          then({ records: { machines, chunks, jobs }, revision, askedAt });
        });
      });
    });
  }

  /** Reads all keys under a prefix; revision and time are the first page's, so that following misses nothing. */
  readAll(prefix: string, then: Read): void {
    const items: StoreEntry[] = [];
    const keep = (page: readonly StoreEntry[]) => {
      items.push(...page);
      return true;
    };
    this.readPages(prefix, keep, (revision, askedAt) => then(items, revision, askedAt));
  }

  /** The same, page by page, for a reader that need not hold all of them. */
  readPages(
    prefix: string,
    takePage: TakePage,
    then: (firstRevision: number, firstAskedAt: number) => void,
  ): void {
    let revision: number | null = null;
    let firstAskedAt = this.#ctx.now;
    const next = (after: string | null, tries = 0) => {
      if (revision === null) firstAskedAt = this.#ctx.now;
      const waitMs = PAGE_MS[Math.min(tries, PAGE_MS.length - 1)] ?? 0;
      this.#ctx.callStore({ kind: "list", prefix, after }, waitMs, (answer) => {
        if (this.#stopped) return;
        if (answer.kind === "timeout") {
          next(after, tries + 1);
          return;
        }
        if (answer.kind !== "page") {
          this.runAfter(RETRY_MS, () => next(after));
          return;
        }
        revision ??= answer.revision;
        if (!takePage(answer.entries)) return;
        const last = answer.entries.at(-1);
        if (answer.more && last) next(last.key);
        else then(revision, firstAskedAt);
      });
    };
    next(null);
  }

  /** Calls this at a later tick. */
  runAfter(ms: number, run: () => void): void {
    this.#timers.push({ at: this.#ctx.now + ms, run });
  }

  tick(): void {
    const { now } = this.#ctx;
    for (const timer of this.#timers.splice(0)) {
      if (timer.at <= now) timer.run();
      else this.#timers.push(timer);
    }
  }
}
