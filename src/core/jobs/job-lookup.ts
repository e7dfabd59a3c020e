import type { Context } from "../context.js";
import type { StoreEntry, VersionCondition } from "../messages/store.js";
import type { JobStatus } from "../messages/users.js";
import { type JobRecord, KEYS, readFinal, readJob } from "../store/records.js";

const CALL_MS = 1500;
const FINALS_KEPT = 20_000;
const VERSIONS_KEPT = 20_000;

/** What the state service says of a job; null when it could not be asked. */
export type Found =
  | {
      readonly kind: "active";
      readonly item: StoreEntry;
      readonly record: JobRecord;
    }
  | { readonly kind: "over"; readonly end: KnownEnd }
  | { readonly kind: "notFound" }
  | null;

/** A job's final state, which never changes. */
export interface KnownEnd {
  readonly cancelled: boolean;
  readonly tasks: number;
  readonly service: boolean;
}

/** An unfinished job as this node last read it. */
interface Seen {
  readonly version: number;
  readonly cancelled: boolean;
  readonly service: boolean;
  readonly awaits: readonly string[];
}

/** What the answer about a job rests on. */
export type Basis =
  /** Its final state: this never changes. */
  | { readonly kind: "over"; readonly end: KnownEnd }
  /** Cancelled, by its own record or that of a job it needs: this never changes. */
  | { readonly kind: "cancelled" }
  /** Neither, as long as these versions are still the present ones. */
  | { readonly kind: "versions"; readonly conditions: readonly VersionCondition[] }
  /** Something of it has not been read by this node. */
  | { readonly kind: "unread" };

/**
 * Reads jobs from the state service, and remembers what may be: final states, and the versions of unfinished jobs. A job
 * counts as cancelled with any job that it needs, directly or through others: that is derived from the records on every
 * node, and so depends on no leader.
 */
export class JobLookup {
  readonly #ctx: Context;
  /** Oldest first. */
  readonly #finals = new Map<string, KnownEnd>();
  readonly #seen = new Map<string, Seen>();

  constructor(ctx: Context) {
    this.#ctx = ctx;
  }

  /** Whether a job that was accepted is a service; undefined if this node has not read it. */
  isService(uid: string): boolean | undefined {
    return this.#finals.get(uid)?.service ?? this.#seen.get(uid)?.service;
  }

  /** Of the jobs that an unfinished one names, those that this node doesn't know as over. */
  unfinishedNeeds(uid: string): readonly string[] {
    return (this.#seen.get(uid)?.awaits ?? []).filter((need) => !this.#finals.has(need));
  }

  /** Takes note of a record that this node has read or written. */
  note(uid: string, version: number, { state, spec }: JobRecord): void {
    this.#seen.delete(uid);
    this.#seen.set(uid, {
      version,
      cancelled: state === "cancelled",
      service: spec.shape === "service",
      awaits: spec.awaits ?? [],
    });
    trim(this.#seen, VERSIONS_KEPT);
  }

  /**
   * Reads a job's key, then its final one: a job moves from the first to the second in one transaction,
   * so whoever finds neither, in this order, has proof that it was never accepted.
   */
  find(uid: string, then: (found: Found) => void): void {
    this.#ctx.callStore({ kind: "get", key: KEYS.job(uid) }, CALL_MS, (answer) => {
      if (answer.kind === "found") {
        const record = readJob(answer.entry.value);
        if (record) this.note(uid, answer.entry.version, record);
        then(record ? { kind: "active", item: answer.entry, record } : null);
      } else if (answer.kind === "notFound") {
        this.#findFinal(uid, then);
      } else {
        then(null);
      }
    });
  }

  #findFinal(uid: string, then: (found: Found) => void): void {
    this.#ctx.callStore({ kind: "get", key: KEYS.final(uid) }, CALL_MS, (final) => {
      if (final.kind === "notFound") then({ kind: "notFound" });
      else if (final.kind !== "found") then(null);
      else then(this.#remember(uid, final.entry));
    });
  }

  #remember(uid: string, item: StoreEntry): Found {
    this.#seen.delete(uid);
    const record = readFinal(item.value);
    if (!record) return null;
    const { state, tasks, service = false } = record;
    const end = { cancelled: state === "cancelled", tasks, service };
    this.#finals.set(uid, end);
    trim(this.#finals, FINALS_KEPT);
    return { kind: "over", end };
  }

  /**
   * Is this unfinished job cancelled, with what it needs taken into account? Everything that isn't final is read anew;
   * null if that could not be done.
   */
  isCancelled({ state, spec }: JobRecord, then: (cancelled: boolean | null) => void): void {
    if (state === "cancelled") then(true);
    else this.#anyCancelled(spec.awaits ?? [], new Set([spec.uid]), then);
  }

  #anyCancelled(
    uids: readonly string[],
    visited: Set<string>,
    then: (cancelled: boolean | null) => void,
  ): void {
    const unfinished: string[] = [];
    for (const uid of uids) {
      if (visited.has(uid)) continue;
      visited.add(uid);
      const end = this.#finals.get(uid);
      if (end?.cancelled) {
        then(true);
        return;
      }
      if (!end) unfinished.push(uid);
    }
    if (unfinished.length === 0) {
      then(false);
      return;
    }
    const needed: string[] = [];
    let waiting = unfinished.length;
    let [cancelled, unread] = [false, false];
    for (const uid of unfinished) {
      this.find(uid, (found) => {
        if (found?.kind === "active") {
          cancelled ||= found.record.state === "cancelled";
          needed.push(...(found.record.spec.awaits ?? []));
        } else if (found?.kind === "over") cancelled ||= found.end.cancelled;
        else unread = true;
        if (--waiting > 0) return;
        if (cancelled) then(true);
        else if (unread) then(null);
        else this.#anyCancelled(needed, visited, then);
      });
    }
  }

  /** What an answer about a job that this node has read rests on, without asking the state service. */
  basis(uid: string): Basis {
    const known = this.#finals.get(uid);
    if (known) return { kind: "over", end: known };
    const conditions: VersionCondition[] = [];
    const visited = new Set<string>();
    const open = [uid];
    for (let next = open.pop(); next !== undefined; next = open.pop()) {
      if (visited.has(next)) continue;
      visited.add(next);
      const end = this.#finals.get(next);
      const seen = this.#seen.get(next);
      if (end?.cancelled || seen?.cancelled) return { kind: "cancelled" };
      if (end) continue;
      if (!seen) return { kind: "unread" };
      conditions.push({ key: KEYS.job(next), version: seen.version });
      open.push(...seen.awaits);
    }
    return { kind: "versions", conditions };
  }
}

export function viewOfEnd(uid: string, { cancelled, tasks }: KnownEnd): JobStatus {
  return { uid, phase: cancelled ? "cancelled" : "done", done: cancelled ? 0 : tasks, running: 0 };
}

/** Drops the oldest entry of a map that has grown too large. */
function trim(map: Map<string, unknown>, most: number): void {
  if (map.size <= most) return;
  const oldest = map.keys().next();
  if (!oldest.done) map.delete(oldest.value);
}
