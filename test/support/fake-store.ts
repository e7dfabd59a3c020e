import type {
  StoreEntry,
  StoreRequest,
  StoreResponse,
  TransactionRequest,
  WatchRequest,
} from "../../src/core/messages/store.js";

/** What a store takes: beyond it requests are refused. */
export interface FakeStoreLimits {
  readonly valueBytes: number;
  readonly txnOps: number;
  /** Changes a second; a second's worth may come at once. */
  readonly writeRps: number;
}

type ListRequest = Extract<StoreRequest, { kind: "list" }>;

interface Lease {
  expiresAt: number;
  readonly ttlMs: number;
}

/** A change of a key; the entry is null where the key was removed. */
interface LogEntry {
  readonly key: string;
  readonly entry: StoreEntry | null;
  readonly revision: number;
}

/** So many conditions may a transaction have for each change that it may have. */
const CONDITIONS_PER_CHANGE = 4;
const MAX_TRANSACTION_BYTES = 64 * 1024;
const PAGE_SIZE = 20;

/** A stand-in for the key-value store, in memory and in virtual time. */
export class FakeStore {
  readonly entries = new Map<string, StoreEntry>();
  /** All changes, in the order of their revisions. */
  readonly log: LogEntry[] = [];
  revision = 0;
  /** Leases expire only when the outage is over. The caller refuses calls until then. */
  outageUntil = 0;
  /** The most entries in one page of a list; a test may set another. */
  pageSize = PAGE_SIZE;
  /** None until a test sets some. */
  limits: FakeStoreLimits | null = null;
  /** Transactions refused for what was in them, and for the rate of changes. */
  invalidTransactions = 0;
  throttledTransactions = 0;
  /** Changes up to this revision are no longer kept. */
  compactedThrough = 0;
  /** Called with every record that is written. */
  onWrite: ((key: string, value: unknown) => void) | null = null;
  readonly #leases = new Map<number, Lease>();
  /** The lease that each key goes with, if any. */
  readonly #leaseOfKey = new Map<string, number>();
  #writeTokens = 0;
  #writeTokensAt = 0;
  #nextLease = 1;

  /** Revokes the leases whose time is over. */
  expire(now: number): void {
    if (now < this.outageUntil) return;
    for (const [leaseId, { expiresAt }] of this.#leases) if (expiresAt <= now) this.revoke(leaseId);
  }

  /** After an outage every lease begins anew. */
  endOutage(now: number): void {
    for (const lease of this.#leases.values()) lease.expiresAt = now + lease.ttlMs;
  }

  /** Ends a lease; the keys that go with it are removed. */
  revoke(leaseId: number): void {
    this.#leases.delete(leaseId);
    for (const [key, owner] of this.#leaseOfKey) if (owner === leaseId) this.#remove(key, ++this.revision);
  }

  /** Carries out a call. */
  run(request: Exclude<StoreRequest, WatchRequest>, now: number): StoreResponse {
    switch (request.kind) {
      case "get": {
        const entry = this.entries.get(request.key);
        return entry ? { kind: "found", entry: structuredClone(entry) } : { kind: "notFound" };
      }
      case "list":
        return this.#list(request);
      case "grantLease": {
        const leaseId = this.#nextLease++;
        this.#leases.set(leaseId, { expiresAt: now + request.ttlMs, ttlMs: request.ttlMs });
        return { kind: "leaseGranted", leaseId };
      }
      case "renewLease": {
        const lease = this.#leases.get(request.leaseId);
        if (!lease) return { kind: "notFound" };
        lease.expiresAt = now + lease.ttlMs;
        return { kind: "ok", revision: this.revision };
      }
      case "revokeLease":
        this.revoke(request.leaseId);
        return { kind: "ok", revision: this.revision };
      case "transaction":
        return this.#runTransaction(request, now);
    }
  }

  /** What has changed under a prefix after a revision; null if nothing has. */
  changesSince(prefix: string, after: number): StoreResponse | null {
    if (after < this.compactedThrough) return { kind: "compacted" };
    const changes = this.log.slice(this.#firstIndexAfter(after)).filter(({ key }) => key.startsWith(prefix));
    if (changes.length === 0) return null;
    return {
      kind: "events",
      revision: this.revision,
      events: changes.map(({ key, entry, revision }) =>
        entry ? { kind: "put", entry: structuredClone(entry) } : { kind: "removed", key, version: revision },
      ),
    };
  }

  #list({ prefix, after }: ListRequest): StoreResponse {
    const keys = [...this.entries.keys()].filter((key) => key.startsWith(prefix)).sort();
    const rest = after === null ? keys : keys.filter((key) => key > after);
    const entries = rest.slice(0, this.pageSize).flatMap((key) => this.entries.get(key) ?? []);
    const more = rest.length > this.pageSize;
    return { kind: "page", entries: structuredClone(entries), more, revision: this.revision };
  }

  #runTransaction(request: TransactionRequest, now: number): StoreResponse {
    const refusal = this.#checkLimits(request, now);
    if (refusal) return refusal;
    const failed = request.conditions
      .filter(({ key, version }) => (this.entries.get(key)?.version ?? 0) !== version)
      .map(({ key }) => key);
    if (failed.length > 0) return { kind: "conflict", failed };
    for (const change of request.changes) {
      if ("put" in change && change.leaseId !== undefined && !this.#leases.has(change.leaseId))
        return { kind: "invalid", reason: "no such lease" };
    }
    const revision = ++this.revision;
    for (const change of request.changes) {
      if ("put" in change) this.#put(change.put, change.value, change.leaseId, revision);
      else if (this.entries.has(change.remove)) this.#remove(change.remove, revision);
    }
    return { kind: "ok", revision };
  }

  #put(key: string, value: unknown, leaseId: number | undefined, revision: number): void {
    const entry = { key, value: structuredClone(value), version: revision };
    this.entries.set(key, entry);
    this.onWrite?.(key, entry.value);
    if (leaseId === undefined) this.#leaseOfKey.delete(key);
    else this.#leaseOfKey.set(key, leaseId);
    this.log.push({ key, entry, revision });
  }

  #remove(key: string, revision: number): void {
    this.entries.delete(key);
    this.#leaseOfKey.delete(key);
    this.log.push({ key, entry: null, revision });
  }

  /** The refusal of a transaction that is beyond the limits; null if it is within, and its changes are counted. */
  #checkLimits(request: TransactionRequest, now: number): StoreResponse | null {
    if (!this.limits) return null;
    const { valueBytes, txnOps, writeRps } = this.limits;
    const { changes, conditions } = request;
    const isValueTooLarge = changes.some((change) => "put" in change && jsonBytes(change.value) > valueBytes);
    const isTooLong = changes.length > txnOps || conditions.length > CONDITIONS_PER_CHANGE * txnOps;
    if (isValueTooLarge || isTooLong || jsonBytes(request) > MAX_TRANSACTION_BYTES) {
      this.invalidTransactions++;
      return { kind: "invalid", reason: isValueTooLarge ? "value too large" : "too many operations" };
    }
    const refilled = ((now - this.#writeTokensAt) * writeRps) / 1000;
    this.#writeTokens = Math.min(writeRps, this.#writeTokens + refilled);
    this.#writeTokensAt = now;
    if (changes.length > this.#writeTokens) {
      this.throttledTransactions++;
      return { kind: "throttled" };
    }
    this.#writeTokens -= changes.length;
    return null;
  }

  /** The place in the log of the first change after a revision. */
  #firstIndexAfter(revision: number): number {
    let [low, high] = [0, this.log.length];
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.log[middle]?.revision ?? 0) > revision) high = middle;
      else low = middle + 1;
    }
    return low;
  }
}

function jsonBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
