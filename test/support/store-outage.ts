/** Responses of an unreachable store. */

/** The store client's response while the store is unreachable. */
export const STORE_OUTAGE = { kind: "unavailable", reason: "outage" } as const;
