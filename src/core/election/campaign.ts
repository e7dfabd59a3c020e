import type { Context } from "../context.js";
import type { ConfigWatch } from "../store/config-watch.js";
import { type EpochRecord, KEYS, type LeaderRecord } from "../store/records.js";
import { type EarlierLeaderBound, replyBoundMs } from "./earlier-leader-bound.js";
import type { LeaseKeeper } from "./lease-keeper.js";
import type { LeaseRenewalPolicy } from "./lease-renewal-policy.js";
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
  /** The value written to the epoch key, and the one that it replaced; null if there was none. */
  readonly epoch: EpochRecord & { readonly replyBoundMs: number };
  readonly previousEpoch: EpochRecord | null;
  /** The grace period on which the bound in the epoch record is based, in milliseconds. */
  readonly announcedGraceMs: number;
  /** The value written to the leader key. */
  readonly record: LeaderRecord;
  /** The version of the leader key and of the epoch key, which are written in one transaction. */
  readonly version: number;
}

/** The dependencies of {@link Campaign}, and the incarnation of this process. */
export interface CampaignDependencies {
  readonly policy: LeaseRenewalPolicy;
  readonly earlierLeaders: EarlierLeaderBound;
  readonly leaseKeeper: LeaseKeeper;
  readonly incarnation: string;
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
  readonly #policy: LeaseRenewalPolicy;
  readonly #earlierLeaders: EarlierLeaderBound;
  readonly #leaseKeeper: LeaseKeeper;
  readonly #incarnation: string;

  constructor(ctx: Context, config: ConfigWatch, dependencies: CampaignDependencies) {
    this.#ctx = ctx;
    this.#config = config;
    this.#policy = dependencies.policy;
    this.#earlierLeaders = dependencies.earlierLeaders;
    this.#leaseKeeper = dependencies.leaseKeeper;
    this.#incarnation = dependencies.incarnation;
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
    const { leaseId, ttlMs } = lease;
    const { epoch: previous } = this.#config;
    const previousEpoch = previous?.value ?? null;
    const fencingToken = (previousEpoch?.token ?? 0) + 1;
    const announcedGraceMs = this.#policy.configuredGraceMs(ttlMs);
    const { durationMs: earlierMs } = this.#earlierLeaders.boundFor(fencingToken, previousEpoch);
    const epoch = { token: fencingToken, replyBoundMs: replyBoundMs(ttlMs, announcedGraceMs, earlierMs) };
    const { node } = this.#ctx.deployment;
    const record: LeaderRecord = { node, incarnation: this.#incarnation, token: fencingToken };
    this.#ctx.callStore(
      {
        kind: "transaction",
        conditions: [
          { key: KEYS.leader, version: leaderKeyVersion },
          { key: KEYS.epoch, version: previous?.version ?? 0 },
        ],
        changes: [
          { put: KEYS.leader, value: record, leaseId },
          { put: KEYS.epoch, value: epoch },
        ],
      },
      ELECTION_CALL_TIMEOUT_MS,
      (response) => {
        if (response.kind === "ok") {
          const version = response.revision;
          const written = { epoch, previousEpoch, announcedGraceMs, record, version };
          onOutcome({ kind: "won", leadership: { ...lease, fencingToken, ...written } });
          return;
        }
        // After a timeout the outcome is unknown: the transaction may have been executed, or may still be. Revoking the
        // lease also removes the leader key, and a late execution then fails because the lease no longer exists.
        this.#leaseKeeper.revoke(leaseId);
        onOutcome({ kind: "lost", reason: response.kind });
      },
    );
  }
}
