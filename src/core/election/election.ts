import type { Context } from "../context.js";
import type { LeaderLease } from "../model/leader-lease.js";
import { randomInt } from "../random.js";
import type { ConfigWatch } from "../store/config-watch.js";
import { KEYS } from "../store/records.js";
import { type AcquiredLeadership, Campaign, type CampaignOutcome } from "./campaign.js";
import { EarlierLeaderBound } from "./earlier-leader-bound.js";
import type { ElectionCallbacks, ElectionState } from "./election-callbacks.js";
import { FencingTokenAdvancer } from "./fencing-token-advancer.js";
import { LeaseKeeper } from "./lease-keeper.js";
import { LeaseRenewalPolicy } from "./lease-renewal-policy.js";

/** How long a node waits after resigning before it campaigns again, so that leadership does not flap. */
const RESIGNED_BACKOFF_MS = 20_000;
const STEPPED_DOWN_BACKOFF_MS = 500;
const LOST_BACKOFF_MIN_MS = 200;
const LOST_BACKOFF_MAX_MS = 600;
/** Upper bound of the random delay between removal of the leader key and a campaign, which avoids collisions. */
const CAMPAIGN_JITTER_MS = 150;

/**
 * Leader election based on a lease in the key-value store: at most one node holds a valid lease. Manages the campaign,
 * the keep-alives and the fencing token, and decides when a leader steps down.
 *
 * The fencing token comes from the epoch key, which every acquisition increments in the same transaction, so tokens
 * never repeat or decrease.
 */
export class Election {
  readonly #ctx: Context;
  readonly #config: ConfigWatch;
  readonly #callbacks: ElectionCallbacks;
  readonly #incarnation: string;
  readonly #policy: LeaseRenewalPolicy;
  readonly #leaseKeeper: LeaseKeeper;
  readonly #campaign: Campaign;
  readonly #tokenAdvancer: FencingTokenAdvancer;
  readonly #earlierLeaders: EarlierLeaderBound;
  /** The current role of this node. */
  state: ElectionState = { kind: "follower" };
  /** The highest fencing token that this node has seen from any source. */
  highestTokenSeen = 0;
  /** No campaign begins before this time. */
  #campaignAt = 0;

  constructor(ctx: Context, config: ConfigWatch, incarnation: string, callbacks: ElectionCallbacks) {
    this.#ctx = ctx;
    this.#config = config;
    this.#incarnation = incarnation;
    this.#callbacks = callbacks;
    this.#policy = new LeaseRenewalPolicy(ctx, callbacks);
    this.#earlierLeaders = new EarlierLeaderBound(ctx, this.#policy);
    this.#leaseKeeper = new LeaseKeeper(ctx, {
      currentLease: () => this.lease,
      onLeaseLost: () => this.stepDown("the lease expired"),
    });
    this.#campaign = new Campaign(ctx, config, {
      policy: this.#policy,
      earlierLeaders: this.#earlierLeaders,
      leaseKeeper: this.#leaseKeeper,
      incarnation,
    });
    this.#tokenAdvancer = new FencingTokenAdvancer(ctx, config, this.#policy, {
      currentLease: () => this.lease,
      hasUnacknowledgedStarts: () => callbacks.hasUnacknowledgedStarts(),
      onTokenAdvanced: (token) => this.#recordTokenSeen(token),
      onLeaderKeyReplaced: () => this.stepDown("another leader was elected"),
    });
  }

  /** The lease of the current term, valid or expired; null while this node is not the leader. */
  get lease(): LeaderLease | null {
    return this.state.kind === "leader" ? this.state.lease : null;
  }

  /** True for a leader whose lease has not expired: only then may it make new decisions. */
  get hasValidLease(): boolean {
    const { lease } = this;
    return lease !== null && this.#ctx.now < lease.validUntil;
  }

  /**
   * The maximum time for which this leader continues to reply to heartbeats after its lease has expired; 0 while this
   * node is not the leader.
   */
  get gracePeriodMs(): number {
    return this.lease ? this.#policy.gracePeriodMs(this.lease) : 0;
  }

  /** The maximum wait of a watch request on the job keys. */
  get watchWaitMs(): number {
    return this.#policy.watchWaitMs;
  }

  /** All cancellations confirmed before this time have been applied on this node (I1). */
  get cancellationsKnownThrough(): number {
    return this.#policy.cancellationsKnownThrough;
  }

  /**
   * True if this node may reply to heartbeats and thereby renew agent leases: until the grace period has ended, and
   * while its view of cancellations is recent enough (I1). There is no such view before the records are loaded.
   */
  get mayReplyToAgents(): boolean {
    const { lease } = this;
    const { now } = this.#ctx;
    return (
      lease !== null &&
      now < lease.validUntil + this.#policy.currentGracePeriodMs(lease) &&
      now < this.#policy.cancellationsFreshUntil
    );
  }

  /** Processes a fencing token from any source. A token higher than this term's ends the term. */
  observeToken(token: number): void {
    this.#recordTokenSeen(token);
    const { lease } = this;
    // While an advance is in flight, the higher token may be this leader's own.
    if (lease && token > lease.fencingToken && !this.#tokenAdvancer.isInFlight)
      this.stepDown("a higher fencing token was observed");
  }

  /** Processes the fencing token reported by a peer, which may prove that no earlier leader is active. */
  observePeerToken(peer: string, token: number): void {
    const { lease } = this;
    if (lease) this.#earlierLeaders.observePeerToken(lease, peer, token);
  }

  #recordTokenSeen(token: number): void {
    if (token > this.highestTokenSeen) this.highestTokenSeen = token;
  }

  /** Ends the term if this node is the leader, without revoking the lease. */
  stepDown(reason: string): void {
    const { lease } = this;
    if (!lease) return;
    this.#logSteppedDown(lease, reason);
    this.#earlierLeaders.endTerm(lease);
    this.state = { kind: "follower" };
    this.#campaignAt = this.#ctx.now + STEPPED_DOWN_BACKOFF_MS;
    this.#callbacks.onSteppedDown();
  }

  #logSteppedDown(lease: LeaderLease, reason: string): void {
    const { now } = this.#ctx;
    this.#ctx.log("info", "stepped down", {
      reason,
      fencing_token: lease.fencingToken,
      lease_expired_ms: Math.max(0, Math.round(now - lease.validUntil)),
      grace_period_ms: Math.round(this.#policy.currentGracePeriodMs(lease)),
    });
  }

  /** Gives up leadership: revokes the lease so that peers can campaign at once, and backs off from campaigning. */
  resign(reason: string): void {
    const { lease } = this;
    if (!lease) return;
    this.#leaseKeeper.revoke(lease.leaseId);
    this.stepDown(reason);
    this.#campaignAt = this.#ctx.now + RESIGNED_BACKOFF_MS;
  }

  /** Must be called whenever a cluster configuration key has changed on this node. */
  onConfigChanged(key: string): void {
    if (key !== KEYS.leader) return;
    const { leader } = this.#config;
    const { lease } = this;
    if (lease) {
      if (leader && leader.version > lease.leaderKeyVersion) this.stepDown("another leader was elected");
      else if (leader === null) this.stepDown("the leader key was removed");
    }
    if (!this.#config.leader) this.#onLeaderKeyRemoved();
  }

  #onLeaderKeyRemoved(): void {
    this.#callbacks.onLeaderKeyRemoved();
    if (this.state.kind !== "follower") return;
    const delayMs = this.#callbacks.campaignDelayMs() + randomInt(this.#ctx.random, 0, CAMPAIGN_JITTER_MS);
    this.#campaignAt = Math.max(this.#campaignAt, this.#ctx.now + delayMs);
  }

  /** Runs time-driven work. A follower campaigns; a leader renews its lease and advances its token, or steps down. */
  tick(): void {
    const { state } = this;
    switch (state.kind) {
      case "follower":
        this.#campaignIfDue();
        break;
      case "candidate":
        break;
      case "leader":
        this.#tickLeader(state.lease);
        break;
    }
  }

  #campaignIfDue(): void {
    const { now, storeFailingSince } = this.#ctx;
    if (!this.#config.isLoaded || now < this.#campaignAt || storeFailingSince !== null) return;
    const { leader } = this.#config;
    if (leader && !this.#isEarlierProcessOfThisNode(leader.value)) return;
    this.state = { kind: "candidate" };
    this.#campaign.run(leader ? leader.version : 0, (outcome) => this.#onCampaignOver(outcome));
  }

  /** True if an earlier process of this node wrote the leader key: that lease need not expire first. */
  #isEarlierProcessOfThisNode(leader: { readonly node: string; readonly incarnation: string }): boolean {
    return leader.node === this.#ctx.deployment.node && leader.incarnation !== this.#incarnation;
  }

  #onCampaignOver(outcome: CampaignOutcome): void {
    if (outcome.kind === "lost") {
      this.#onCampaignLost(outcome.reason);
      return;
    }
    const { fencingToken, leaseId } = outcome.leadership;
    // The response took so long that another node has been elected since. This node may have reported that node's token,
    // which promises that it replies to no agent under an older one.
    if (fencingToken < this.highestTokenSeen) {
      this.#leaseKeeper.revoke(leaseId);
      this.#onCampaignLost("a higher fencing token was observed");
    } else this.#beginTerm(outcome.leadership);
  }

  #beginTerm(leadership: AcquiredLeadership): void {
    const { leaseId, ttlMs, fencingToken, record, epoch, version, announcedGraceMs } = leadership;
    const { now } = this.#ctx;
    const replyBound = this.#earlierLeaders.boundFor(fencingToken, leadership.previousEpoch);
    const lease: LeaderLease = {
      leaseId,
      ttlMs,
      fencingToken,
      firstFencingToken: fencingToken,
      leaderKeyVersion: version,
      epochKeyVersion: version,
      replyBoundMs: epoch.replyBoundMs,
      announcedGraceMs,
      electedAt: now,
      validUntil: leadership.leaseValidUntil,
      earlierLeadersUntil: this.#earlierLeaders.beginTerm(replyBound),
    };
    this.state = { kind: "leader", lease };
    this.#leaseKeeper.beginTerm(leadership.leaseRequestedAt);
    this.#tokenAdvancer.beginTerm();
    this.#recordTokenSeen(fencingToken);
    this.#config.apply({ key: KEYS.leader, value: record, version });
    this.#config.apply({ key: KEYS.epoch, value: epoch, version });
    this.#ctx.log("info", "elected leader", {
      fencing_token: fencingToken,
      earlier_leaders_reply_ms: Math.round(lease.earlierLeadersUntil - now),
      earlier_leaders_bound: replyBound.source,
    });
    this.#callbacks.onElected(lease);
  }

  #onCampaignLost(reason: string): void {
    this.state = { kind: "follower" };
    const backoffMs = randomInt(this.#ctx.random, LOST_BACKOFF_MIN_MS, LOST_BACKOFF_MAX_MS);
    this.#campaignAt = this.#ctx.now + backoffMs;
    this.#ctx.log("debug", "election lost", { reason });
    this.#config.reread();
  }

  #tickLeader(lease: LeaderLease): void {
    const { now } = this.#ctx;
    if (now >= lease.validUntil + this.#policy.currentGracePeriodMs(lease)) {
      this.stepDown("the grace period after lease expiry has ended");
      return;
    }
    if (this.#areCancellationsStale()) {
      const reason = "the view of cancellations is stale";
      if (this.hasValidLease) this.resign(reason);
      else this.stepDown(reason);
      return;
    }
    this.#leaseKeeper.renewIfDue(lease);
    this.#tokenAdvancer.advanceIfDue(lease);
  }

  /** True if the records are loaded but the view of cancellations is too old to reply to agents (I1). */
  #areCancellationsStale(): boolean {
    return (
      this.#callbacks.cancellationsKnownThrough() !== null &&
      this.#ctx.now >= this.#policy.cancellationsFreshUntil
    );
  }

  /**
   * Advances the fencing token within the term, unless the lease has expired or an advance is in flight. An agent that
   * has seen the new token no longer executes commands sent under the previous one.
   */
  advanceFencingToken(): void {
    if (this.lease) this.#tokenAdvancer.advance(this.lease);
  }
}
