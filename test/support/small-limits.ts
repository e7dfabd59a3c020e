/** Limits of the store as they will be. */

/** The smaller limits that are to come; every node has to work within them. */
export const SMALL_LIMITS = { valueBytes: 2048, txnOps: 10, writeRps: 28 };
