/** The lease of one term: proves leadership and holds the fencing token attached to everything sent in the term. */
export interface LeaderLease {
  /** The lease in the key-value store that the leader key is bound to. */
  readonly leaseId: number;
  /** TTL with which the store granted the lease. Each keep-alive extends the lease by it, whatever the settings say. */
  readonly ttlMs: number;
  /** The current fencing token, which the leader advances periodically within its term. */
  fencingToken: number;
  /** The fencing token at the start of the term. */
  readonly firstFencingToken: number;
  /** Version of the leader key: every transaction of this leader is conditioned on it (I5). */
  readonly leaderKeyVersion: number;
  /** Version of the epoch key as of the last advance of the fencing token. */
  epochKeyVersion: number;
  /**
   * For how long after the next election this leader or an earlier one may reply to agents, in milliseconds. Never more
   * than what the epoch record says, which is what the next leader waits for.
   */
  replyBoundMs: number;
  /** The grace period, in milliseconds, that this leader last put on record. */
  announcedGraceMs: number;
  readonly electedAt: number;
  /** Expiry of the lease by this node's clock; each keep-alive extends it. */
  validUntil: number;
  /** No leader of an earlier term replies to agents after this time. */
  earlierLeadersUntil: number;
}
