/** Requests to the key-value store and their responses. */

/** A write within a transaction. */
export type StoreChange =
  | { readonly put: string; readonly value: unknown; readonly leaseId?: number }
  | { readonly remove: string };

/** A condition for a transaction: the key must have exactly this version, or must not exist if the version is 0. */
export interface VersionCondition {
  readonly key: string;
  readonly version: number;
}

/** A key and its value; `version` is the revision of the last change to the key. */
export interface StoreEntry {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

/** A compare-and-swap over several keys: all changes are applied if every condition holds, otherwise none. */
export interface TransactionRequest {
  readonly kind: "transaction";
  readonly conditions: readonly VersionCondition[];
  readonly changes: readonly StoreChange[];
}

/** Waits for changes under a prefix made after a given revision. */
export interface WatchRequest {
  readonly kind: "watch";
  readonly prefix: string;
  readonly after: number;
  readonly waitMs: number;
}

/** A request to the key-value store. */
export type StoreRequest =
  | TransactionRequest
  | { readonly kind: "get"; readonly key: string }
  | { readonly kind: "list"; readonly prefix: string; readonly after: string | null }
  | { readonly kind: "grantLease"; readonly ttlMs: number }
  | { readonly kind: "renewLease"; readonly leaseId: number }
  | { readonly kind: "revokeLease"; readonly leaseId: number }
  | WatchRequest;

/** A change reported by a watch. */
export type WatchEvent =
  | { readonly kind: "put"; readonly entry: StoreEntry }
  | { readonly kind: "removed"; readonly key: string; readonly version: number };

/** The outcome of a request to the key-value store. */
export type StoreResponse =
  | { readonly kind: "ok"; readonly revision: number }
  | { readonly kind: "conflict"; readonly failed: readonly string[] }
  | { readonly kind: "found"; readonly entry: StoreEntry }
  | { readonly kind: "notFound" }
  | {
      readonly kind: "page";
      readonly entries: readonly StoreEntry[];
      readonly more: boolean;
      readonly revision: number;
    }
  | { readonly kind: "leaseGranted"; readonly leaseId: number }
  | { readonly kind: "events"; readonly events: readonly WatchEvent[]; readonly revision: number }
  /** The store no longer keeps all changes made after the revision given in the watch request. */
  | { readonly kind: "compacted" }
  /** The request was not executed and may be retried. */
  | { readonly kind: "unavailable"; readonly reason: string }
  /** The request was not executed because the rate of requests or changes was too high; retry at a lower rate. */
  | { readonly kind: "throttled" }
  /** The request was malformed or exceeded a limit. It was not executed and must not be retried unchanged. */
  | { readonly kind: "invalid"; readonly reason: string }
  /** No response arrived: the outcome is unknown, and the request may still be executed. */
  | { readonly kind: "timeout" };
