import type {
  StoreEntry,
  StoreRequest,
  StoreResponse,
  TransactionRequest,
  WatchRequest,
} from "../../src/core/messages/store.js";

/** Limits of the store; requests beyond them are refused. */
export interface FakeStoreLimits {
  readonly valueBytes: number;
  readonly txnOps: number;
  /** Changes per second, with a burst of up to one second's worth. */
  readonly writeRps: number;
}

type ListRequest = Extract<StoreRequest, { kind: "list" }>;

interface Lease {
  expiresAt: number;
  readonly ttlMs: number;
}

/** A change of a key; `entry` is null if the key was removed. */
interface LogEntry {
  readonly key: string;
  readonly entry: StoreEntry | null;
  readonly revision: number;
}

/** Maximum number of conditions in a transaction, as a multiple of the limit on its changes. */
const CONDITIONS_PER_CHANGE = 4;
const MAX_TRANSACTION_BYTES = 64 * 1024;
const PAGE_SIZE = 20;

/** In-memory fake of the key-value store, on a fake clock. */
export class FakeStore {
  readonly entries = new Map<string, StoreEntry>();
  /** All changes, in the order of their revisions. */
  readonly log: LogEntry[] = [];
  revision = 0;
  /** Until this time no lease expires. Callers of the fake have to refuse requests until then. */
  outageUntil = 0;
  /** Maximum number of entries per list page. */
  pageSize = PAGE_SIZE;
  /** No limits are enforced while this is null. */
  limits: FakeStoreLimits | null = null;
  /** Number of transactions refused as invalid, and for exceeding the write rate. */
  invalidTransactions = 0;
  throttledTransactions = 0;
  /** Changes up to and including this revision have been compacted. */
  compactedThrough = 0;
  /** Called for every record written. */
  onWrite: ((key: string, value: unknown) => void) | null = null;
  readonly #leases = new Map<number, Lease>();
  /** Lease that each key is attached to, if any. */
  readonly #leaseOfKey = new Map<string, number>();
  #writeTokens = 0;
  #writeTokensAt = 0;
  #nextLease = 1;

  /** Revokes all expired leases. */
  expire(now: number): void {
    if (now < this.outageUntil) return;
    for (const [leaseId, { expiresAt }] of this.#leases) if (expiresAt <= now) this.revoke(leaseId);
  }

  /** Ends an outage: the time to live of every lease restarts. */
  endOutage(now: number): void {
    for (const lease of this.#leases.values()) lease.expiresAt = now + lease.ttlMs;
  }

  /** Revokes a lease and removes the keys attached to it. */
  revoke(leaseId: number): void {
    this.#leases.delete(leaseId);
    for (const [key, owner] of this.#leaseOfKey) if (owner === leaseId) this.#remove(key, ++this.revision);
  }

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

  /** Returns the changes under a prefix after a revision; null if there are none. */
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

  /** Returns an error if a transaction exceeds the limits; otherwise counts its changes and returns null. */
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

  /** Returns the log index of the first change after a revision. */
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
