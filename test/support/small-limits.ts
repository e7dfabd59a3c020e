/** Store limits after the planned reduction. */

/** Reduced store limits; every node must be able to work within them. */
export const SMALL_LIMITS = { valueBytes: 2048, txnOps: 10, writeRps: 28 };
