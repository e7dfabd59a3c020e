import type { Context } from "../context.js";
import type { ConfigWatch } from "../store/config-watch.js";
import { KEYS, type LeaderRecord } from "../store/records.js";
import { ELECTION_CALL_TIMEOUT_MS, leaseValidUntil } from "./timing.js";

interface GrantedLease {
  readonly leaseId: number;
  readonly ttlMs: number;
  /** When the lease was requested. Its TTL starts no earlier than this. */
  readonly leaseRequestedAt: number;
  /** Expiry of the lease by this node's clock. */
  readonly leaseValidUntil: number;
}

/** The lease and keys that a won campaign wrote to the key-value store. */
export interface AcquiredLeadership extends GrantedLease {
  readonly fencingToken: number;
  /** The value written to the leader key. */
  readonly record: LeaderRecord;
  /** The version of the leader key and of the epoch key, which are written in one transaction. */
  readonly version: number;
}

/** The outcome of a campaign. */
export type CampaignOutcome =
  | { readonly kind: "won"; readonly leadership: AcquiredLeadership }
  | { readonly kind: "lost"; readonly reason: string };

/**
 * Campaigns for leadership. Each campaign acquires a lease, then writes the leader key under that lease and increments
 * the epoch key, both in one compare-and-swap transaction. As every acquisition increments the epoch, fencing tokens
 * never repeat or decrease.
 */
export class Campaign {
  readonly #ctx: Context;
  readonly #config: ConfigWatch;
  readonly #incarnation: string;

  constructor(ctx: Context, config: ConfigWatch, incarnation: string) {
    this.#ctx = ctx;
    this.#config = config;
    this.#incarnation = incarnation;
  }

  /** Runs a campaign that fails unless the leader key has this version (0: no key). Calls `onOutcome` exactly once. */
  run(leaderKeyVersion: number, onOutcome: (outcome: CampaignOutcome) => void): void {
    const leaseRequestedAt = this.#ctx.now;
    const ttlMs = this.#ctx.settings.leader_grant_ms;
    this.#ctx.callStore({ kind: "grantLease", ttlMs }, ELECTION_CALL_TIMEOUT_MS, (response) => {
      if (response.kind !== "leaseGranted") {
        onOutcome({ kind: "lost", reason: "no lease was granted" });
        return;
      }
      const { leaseId } = response;
      const lease = {
        leaseId,
        ttlMs,
        leaseRequestedAt,
        leaseValidUntil: leaseValidUntil(leaseRequestedAt, ttlMs),
      };
      this.#claimLeadership(lease, leaderKeyVersion, onOutcome);
    });
  }

  #claimLeadership(
    lease: GrantedLease,
    leaderKeyVersion: number,
    onOutcome: (outcome: CampaignOutcome) => void,
  ): void {
    const { leaseId } = lease;
    const { epoch } = this.#config;
    const fencingToken = (epoch?.value ?? 0) + 1;
    const { node } = this.#ctx.deployment;
    const record: LeaderRecord = { node, incarnation: this.#incarnation, token: fencingToken };
    this.#ctx.callStore(
      {
        kind: "transaction",
        conditions: [
          { key: KEYS.leader, version: leaderKeyVersion },
          { key: KEYS.epoch, version: epoch?.version ?? 0 },
        ],
        changes: [
          { put: KEYS.leader, value: record, leaseId },
          { put: KEYS.epoch, value: { token: fencingToken } },
        ],
      },
      ELECTION_CALL_TIMEOUT_MS,
      (response) => {
        if (response.kind === "ok") {
          const version = response.revision;
          onOutcome({ kind: "won", leadership: { ...lease, fencingToken, record, version } });
          return;
        }
        // After a timeout the outcome is unknown: the transaction may have been executed, or may still be. Revoking the
        // lease also removes the leader key, and a late execution then fails because the lease no longer exists.
        this.#ctx.callStore({ kind: "revokeLease", leaseId }, ELECTION_CALL_TIMEOUT_MS, () => {});
        onOutcome({ kind: "lost", reason: response.kind });
      },
    );
  }
}
