/** The lease of one term: proof of leadership, and the fencing token that everything sent in the term carries. */
export interface LeaderLease {
  /** The lease in the key-value store that the leader key is bound to. */
  readonly leaseId: number;
  /** The current fencing token. The leader advances it within its term now and then. */
  fencingToken: number;
  /** The fencing token that the term began with. */
  readonly firstFencingToken: number;
  /** Version of the leader key: every transaction of this leader is conditioned on it (I5). */
  readonly leaderKeyVersion: number;
  /** Version of the epoch key as of the last advance of the fencing token. */
  epochKeyVersion: number;
  readonly electedAt: number;
  /** The lease is valid until this time by this node's clock; each keep-alive extends it. */
  validUntil: number;
  /** No leader of an earlier term replies to agents after this time. */
  previousLeaderUntil: number;
}
