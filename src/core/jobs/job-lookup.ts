import type { Context } from "../context.js";
import type { StoreEntry, VersionCondition } from "../messages/store.js";
import type { JobStatus } from "../messages/users.js";
import { type JobRecord, KEYS, readFinal, readJob } from "../store/records.js";

const STORE_TIMEOUT_MS = 1500;
const MAX_ENDED_JOBS = 20_000;
const MAX_CACHED_JOBS = 20_000;

/** How a job ended, from its final record. It never changes, so cached entries never become stale. */
export interface EndedJob {
  readonly cancelled: boolean;
  readonly tasks: number;
  readonly service: boolean;
}

/** A job with a record or a final record in the store, which proves that it was accepted. */
export type FoundJob =
  | { readonly kind: "active"; readonly entry: StoreEntry; readonly record: JobRecord }
  | { readonly kind: "ended"; readonly end: EndedJob };

/** The result of reading a job from the store. `notFound` proves that the job was never accepted. */
export type JobLookupResult = FoundJob | { readonly kind: "notFound" } | { readonly kind: "unavailable" };

/** The result of reading one of several jobs. */
export interface JobLookupEntry {
  readonly uid: string;
  readonly result: JobLookupResult;
}

/** An unfinished job at the version that this node last read or wrote. */
interface CachedJob {
  readonly version: number;
  readonly cancelled: boolean;
  readonly service: boolean;
  readonly awaits: readonly string[];
}

/** A job's state from this node's cache, and the conditions to verify in the store before it may be reported. */
export type CachedAnswer =
  /** The job has ended. This is final and needs no verification. */
  | { readonly kind: "ended"; readonly end: EndedJob }
  /** The job is cancelled, by its own record or a dependency's. This is final and needs no verification. */
  | { readonly kind: "cancelled" }
  /** The job is unfinished and not cancelled, provided that these keys still have these versions. */
  | { readonly kind: "unverified"; readonly conditions: readonly VersionCondition[] }
  /** This node has not read the job or one of its dependencies. */
  | { readonly kind: "unknown" };

const UNAVAILABLE: JobLookupResult = { kind: "unavailable" };

/**
 * Reads jobs from the store and caches what is safe to cache: final states, and versions of unfinished jobs, which are
 * verified in the store before use. A job counts as cancelled if it or any of its transitive dependencies is cancelled.
 * Every node derives this from the records alone, so the answer does not depend on which node leads (I8).
 */
export class JobLookup {
  readonly #ctx: Context;
  /** Ended jobs by uid, in the order in which they were first read. */
  readonly #endedJobs = new Map<string, EndedJob>();
  /** Unfinished jobs by uid, least recently read or written first. */
  readonly #cachedJobs = new Map<string, CachedJob>();

  constructor(ctx: Context) {
    this.#ctx = ctx;
  }

  /** True if an accepted job is a service; undefined if this node has not read it. */
  isService(uid: string): boolean | undefined {
    return this.#endedJobs.get(uid)?.service ?? this.#cachedJobs.get(uid)?.service;
  }

  /** Returns an unfinished job's dependencies, without those that are cached as ended. */
  unfinishedDependencies(uid: string): readonly string[] {
    return (this.#cachedJobs.get(uid)?.awaits ?? []).filter((dependency) => !this.#endedJobs.has(dependency));
  }

  /** Caches the record of an unfinished job that this node has read or written at `version`. */
  cacheRecord(uid: string, version: number, { state, spec }: JobRecord): void {
    this.#cachedJobs.delete(uid);
    this.#cachedJobs.set(uid, {
      version,
      cancelled: state === "cancelled",
      service: spec.shape === "service",
      awaits: spec.awaits ?? [],
    });
    evictOldest(this.#cachedJobs, MAX_CACHED_JOBS);
  }

  /**
   * Reads a job's record and, if there is none, its final record. One transaction replaces the record with the final
   * record, so finding neither in this order proves that the job was never accepted.
   */
  find(uid: string, onResult: (result: JobLookupResult) => void): void {
    this.#ctx.callStore({ kind: "get", key: KEYS.job(uid) }, STORE_TIMEOUT_MS, (response) => {
      if (response.kind === "found") onResult(this.#cacheActive(uid, response.entry));
      else if (response.kind === "notFound") this.#findFinal(uid, onResult);
      else onResult(UNAVAILABLE);
    });
  }

  #findFinal(uid: string, onResult: (result: JobLookupResult) => void): void {
    this.#ctx.callStore({ kind: "get", key: KEYS.final(uid) }, STORE_TIMEOUT_MS, (response) => {
      if (response.kind === "notFound") onResult({ kind: "notFound" });
      else if (response.kind === "found") onResult(this.#cacheEnded(uid, response.entry));
      else onResult(UNAVAILABLE);
    });
  }

  #cacheActive(uid: string, entry: StoreEntry): JobLookupResult {
    const record = readJob(entry.value);
    if (!record) return UNAVAILABLE;
    this.cacheRecord(uid, entry.version, record);
    return { kind: "active", entry, record };
  }

  #cacheEnded(uid: string, entry: StoreEntry): JobLookupResult {
    this.#cachedJobs.delete(uid);
    const record = readFinal(entry.value);
    if (!record) return UNAVAILABLE;
    const { state, tasks, service = false } = record;
    const end = { cancelled: state === "cancelled", tasks, service };
    this.#endedJobs.set(uid, end);
    evictOldest(this.#endedJobs, MAX_ENDED_JOBS);
    return { kind: "ended", end };
  }

  /** Reads several jobs concurrently. Delivers all results in one call, in the order in which the reads completed. */
  findAll(uids: readonly string[], onResults: (results: readonly JobLookupEntry[]) => void): void {
    const results: JobLookupEntry[] = [];
    if (uids.length === 0) onResults(results);
    for (const uid of uids) {
      this.find(uid, (result) => {
        results.push({ uid, result });
        if (results.length === uids.length) onResults(results);
      });
    }
  }

  /**
   * Determines whether an unfinished job is cancelled, by its own record or through its dependencies. Dependencies that
   * are not cached as ended are read again. Yields null if one of them could not be read.
   */
  isCancelled({ state, spec }: JobRecord, onResult: (cancelled: boolean | null) => void): void {
    if (state === "cancelled") onResult(true);
    else this.#isAnyCancelled(spec.awaits ?? [], new Set([spec.uid]), onResult);
  }

  /** Traverses the dependency graph breadth-first; `visited` contains the jobs of the previous levels. */
  #isAnyCancelled(
    uids: readonly string[],
    visited: Set<string>,
    onResult: (cancelled: boolean | null) => void,
  ): void {
    const level = uids.filter((uid) => {
      const isNew = !visited.has(uid);
      visited.add(uid);
      return isNew;
    });
    if (level.some((uid) => this.#endedJobs.get(uid)?.cancelled)) {
      onResult(true);
      return;
    }
    const unfinished = level.filter((uid) => !this.#endedJobs.has(uid));
    if (unfinished.length === 0) {
      onResult(false);
      return;
    }
    this.findAll(unfinished, (entries) => {
      const results = entries.map(({ result }) => result);
      if (results.some(hasCancelledRecord)) onResult(true);
      // Dependencies are accepted before their dependents, so a missing one means that a read went wrong.
      else if (!results.every(isFoundJob)) onResult(null);
      else this.#isAnyCancelled(results.flatMap(dependenciesOf), visited, onResult);
    });
  }

  /** Returns a job's state from the cache, without a request to the store. */
  cachedAnswer(uid: string): CachedAnswer {
    const ended = this.#endedJobs.get(uid);
    if (ended) return { kind: "ended", end: ended };
    const conditions: VersionCondition[] = [];
    const visited = new Set<string>();
    const pending = [uid];
    for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
      if (visited.has(next)) continue;
      visited.add(next);
      const end = this.#endedJobs.get(next);
      const cached = this.#cachedJobs.get(next);
      if (end?.cancelled || cached?.cancelled) return { kind: "cancelled" };
      if (end) continue;
      if (!cached) return { kind: "unknown" };
      conditions.push({ key: KEYS.job(next), version: cached.version });
      pending.push(...cached.awaits);
    }
    return { kind: "unverified", conditions };
  }
}

/** Returns the status of an ended job as shown to users. */
export function statusOfEnded(uid: string, { cancelled, tasks }: EndedJob): JobStatus {
  return { uid, phase: cancelled ? "cancelled" : "done", done: cancelled ? 0 : tasks, running: 0 };
}

function isFoundJob(result: JobLookupResult): result is FoundJob {
  return result.kind === "active" || result.kind === "ended";
}

function hasCancelledRecord(result: JobLookupResult): boolean {
  if (result.kind === "active") return result.record.state === "cancelled";
  return result.kind === "ended" && result.end.cancelled;
}

function dependenciesOf(job: FoundJob): readonly string[] {
  return job.kind === "active" ? (job.record.spec.awaits ?? []) : [];
}

/** Removes the oldest entry of a map that exceeds its maximum size. */
function evictOldest(map: Map<string, unknown>, maxEntries: number): void {
  if (map.size <= maxEntries) return;
  const oldest = map.keys().next();
  if (!oldest.done) map.delete(oldest.value);
}
