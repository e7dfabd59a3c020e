import type { Context } from "../context.js";
import type { ConfigWatch } from "../store/config-watch.js";
import { KEYS, type LeaderRecord } from "../store/records.js";
import { ELECTION_CALL_TIMEOUT_MS, leaseValidUntil } from "./timing.js";

interface GrantedLease {
  readonly leaseId: number;
  /** When the lease was requested: its TTL counts from no earlier than this. */
  readonly leaseRequestedAt: number;
  /** Until when the lease is valid by this node's clock. */
  readonly leaseValidUntil: number;
}

/** What a won campaign has brought about in the key-value store. */
export interface CampaignVictory extends GrantedLease {
  readonly fencingToken: number;
  /** The leader key as written. */
  readonly record: LeaderRecord;
  /** The version of both the leader key and the epoch key: one transaction wrote them. */
  readonly version: number;
}

/** How a campaign ended. */
export type CampaignOutcome =
  | { readonly kind: "won"; readonly victory: CampaignVictory }
  | { readonly kind: "lost"; readonly reason: string };

/**
 * One run for leadership: acquires a lease, then writes the leader key under it and raises the epoch key, in one
 * compare-and-swap transaction. Every acquisition raises the epoch, so fencing tokens never repeat nor decrease.
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

  /** Campaigns for a leader key of this version, 0 if there is none; calls back exactly once. */
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
          onOutcome({ kind: "won", victory: { ...lease, fencingToken, record, version } });
          return;
        }
        // After a timeout the outcome is unknown: the transaction may have been, or may yet be, executed. Revoking the
        // lease removes the leader key with it, and a late execution then fails for want of the lease.
        this.#ctx.callStore({ kind: "revokeLease", leaseId }, ELECTION_CALL_TIMEOUT_MS, () => {});
        onOutcome({ kind: "lost", reason: response.kind });
      },
    );
  }
}
