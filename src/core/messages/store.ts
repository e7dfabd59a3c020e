/** Requests to the key-value store and what comes back. */

/** A write within a transaction. */
export type StoreChange =
  | { readonly put: string; readonly value: unknown; readonly leaseId?: number }
  | { readonly remove: string };

/** A key must have exactly this version for a transaction to be carried out; 0: it must not exist. */
export interface VersionCondition {
  readonly key: string;
  readonly version: number;
}

/** A key with its value, and the revision of its last change. */
export interface StoreEntry {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

/** A compare-and-swap over several keys: all changes are made if every condition holds, else none. */
export interface TransactionRequest {
  readonly kind: "transaction";
  readonly conditions: readonly VersionCondition[];
  readonly changes: readonly StoreChange[];
}

/** Waits for changes under a prefix after a revision. */
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

/** A change that a watch reports. */
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
  | { readonly kind: "compacted" }
  /** The request was not executed and may be repeated. */
  | { readonly kind: "unavailable"; readonly reason: string }
  /** The same, for the rate of requests or changes: to be repeated more slowly. */
  | { readonly kind: "throttled" }
  /** The request was not executed and must not be repeated as it is: malformed, or beyond a limit. */
  | { readonly kind: "invalid"; readonly reason: string }
  /** Nothing came back: the outcome is unknown, and the request may yet be executed. */
  | { readonly kind: "timeout" };
