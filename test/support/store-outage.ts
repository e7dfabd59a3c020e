/** A store that can't be reached. */

/** What the store's client reports while the store can't be reached. */
export const STORE_OUTAGE = { kind: "unavailable", reason: "outage" } as const;
