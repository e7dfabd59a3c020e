import type { Context } from "../context.js";
import type { StoreResponse } from "../messages/store.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { ConfigWatch } from "../store/config-watch.js";
import { type EpochRecord, KEYS, readEpoch } from "../store/records.js";
import { replyBoundMs } from "./earlier-leader-bound.js";
import type { LeaseRenewalPolicy } from "./lease-renewal-policy.js";
import { ELECTION_CALL_TIMEOUT_MS } from "./timing.js";

/** A changed grace period is put on record no sooner than this after the last advance. */
const MIN_ADVANCE_INTERVAL_MS = 1000;

/** Queries and callbacks from {@link FencingTokenAdvancer} to the election. */
export interface FencingTokenAdvancerCallbacks {
  /** The lease of the current term; null while this node is not the leader. */
  currentLease(): LeaderLease | null;
  /** The fencing token of the lease was advanced to this value. */
  onTokenAdvanced(fencingToken: number): void;
  /** True while starts under the current token are unacknowledged or unsent: a new token would make them start over. */
  hasUnacknowledgedStarts(): boolean;
  /** The leader key is no longer that of this term: another node has been elected. */
  onLeaderKeyReplaced(): void;
}

/** What an advance writes to the epoch key, and the grace period on which its bound is based, in milliseconds. */
interface TokenAdvance {
  readonly epoch: EpochRecord;
  readonly graceMs: number;
}

/**
 * Advances the fencing token within a term, and with it the recorded reply bound. An agent that has seen the new token
 * executes no command sent under the previous one, which makes it safe to acknowledge ended attempts (I6).
 */
export class FencingTokenAdvancer {
  readonly #ctx: Context;
  readonly #config: ConfigWatch;
  readonly #policy: LeaseRenewalPolicy;
  readonly #callbacks: FencingTokenAdvancerCallbacks;
  #isInFlight = false;
  /** When the last advance was requested, or when the term began. */
  #advancedAt = 0;

  constructor(
    ctx: Context,
    config: ConfigWatch,
    policy: LeaseRenewalPolicy,
    callbacks: FencingTokenAdvancerCallbacks,
  ) {
    this.#ctx = ctx;
    this.#config = config;
    this.#policy = policy;
    this.#callbacks = callbacks;
  }

  /** True from the request until its outcome is known, which may be after the end of the term. */
  get isInFlight(): boolean {
    return this.#isInFlight;
  }

  /** Starts a term, which has a new fencing token. */
  beginTerm(): void {
    this.#advancedAt = this.#ctx.now;
  }

  /**
   * Advances the token once the period has passed, or earlier if the grace period on record is not the one of the
   * settings. Unacknowledged starts delay the advance up to the end of a second period, because they would have to start
   * over under a new token.
   */
  advanceIfDue(lease: LeaderLease): void {
    if (!this.#mayAdvance(lease)) return;
    const ageMs = this.#ctx.now - this.#advancedAt;
    const periodMs = this.#ctx.settings.token_raise_s * 1000;
    if (ageMs < (this.#isGraceOutdated(lease) ? MIN_ADVANCE_INTERVAL_MS : periodMs)) return;
    if (ageMs >= 2 * periodMs || !this.#callbacks.hasUnacknowledgedStarts()) this.advance(lease);
  }

  /**
   * Increments the epoch key, conditioned on the leader key, unless the leader lease has expired or an advance is in
   * flight.
   */
  advance(lease: LeaderLease): void {
    if (!this.#mayAdvance(lease)) return;
    this.#isInFlight = true;
    this.#advancedAt = this.#ctx.now;
    const graceMs = this.#policy.configuredGraceMs(lease.ttlMs);
    const earlierMs = lease.earlierLeadersUntil - this.#ctx.now;
    const epoch = {
      token: lease.fencingToken + 1,
      replyBoundMs: replyBoundMs(lease.ttlMs, graceMs, earlierMs),
    };
    // Without a response it is unknown which bound is on record, so the lower one applies.
    lease.replyBoundMs = Math.min(lease.replyBoundMs, epoch.replyBoundMs);
    this.#ctx.callStore(
      {
        kind: "transaction",
        conditions: [
          { key: KEYS.leader, version: lease.leaderKeyVersion },
          { key: KEYS.epoch, version: lease.epochKeyVersion },
        ],
        changes: [{ put: KEYS.epoch, value: epoch }],
      },
      ELECTION_CALL_TIMEOUT_MS,
      (response) => this.#onResponse(lease, { epoch, graceMs }, response),
    );
  }

  /** True if the grace period of the settings is not the one on record, or may not be, as a write was not confirmed. */
  #isGraceOutdated({ ttlMs, announcedGraceMs, replyBoundMs: recordedMs }: LeaderLease): boolean {
    const graceMs = this.#policy.configuredGraceMs(ttlMs);
    return graceMs !== announcedGraceMs || ttlMs + graceMs > recordedMs;
  }

  #mayAdvance(lease: LeaderLease): boolean {
    return !this.#isInFlight && this.#ctx.now < lease.validUntil;
  }

  #onResponse(lease: LeaderLease, advance: TokenAdvance, response: StoreResponse): void {
    if (this.#callbacks.currentLease() !== lease) {
      this.#isInFlight = false;
    } else if (response.kind === "ok") {
      this.#isInFlight = false;
      this.#apply(lease, advance.epoch, response.revision);
      lease.announcedGraceMs = advance.graceMs;
    } else if (response.kind === "unavailable" || response.kind === "throttled") {
      this.#isInFlight = false;
    } else {
      this.#resolveUnknownOutcome(lease);
    }
  }

  #apply(lease: LeaderLease, epoch: EpochRecord, version: number): void {
    lease.fencingToken = epoch.token;
    lease.epochKeyVersion = version;
    lease.replyBoundMs = epoch.replyBoundMs ?? lease.replyBoundMs;
    this.#callbacks.onTokenAdvanced(epoch.token);
    this.#config.apply({ key: KEYS.epoch, value: epoch, version });
  }

  /**
   * Reads the keys to find out whether the advance was executed. While the leader key is that of this term, no other
   * node can have incremented the epoch, so a higher value was written by this leader.
   */
  #resolveUnknownOutcome(lease: LeaderLease): void {
    const call = { kind: "list", prefix: KEYS.configPrefix, after: null } as const;
    this.#ctx.callStore(call, ELECTION_CALL_TIMEOUT_MS, (response) => {
      this.#isInFlight = false;
      if (this.#callbacks.currentLease() !== lease || response.kind !== "page") return;
      const leader = response.entries.find((entry) => entry.key === KEYS.leader);
      const entry = response.entries.find(({ key }) => key === KEYS.epoch);
      if (leader?.version !== lease.leaderKeyVersion) {
        this.#callbacks.onLeaderKeyReplaced();
        return;
      }
      const epoch = entry && readEpoch(entry.value);
      // If it was not executed yet, it may still be: the lower bound stays until a later advance is confirmed.
      if (epoch && epoch.token > lease.fencingToken) this.#apply(lease, epoch, entry.version);
    });
  }
}
