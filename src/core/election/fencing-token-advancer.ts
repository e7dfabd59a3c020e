import type { Context } from "../context.js";
import type { StoreEntry, StoreResponse } from "../messages/store.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { ConfigWatch } from "../store/config-watch.js";
import { KEYS } from "../store/records.js";
import { ELECTION_CALL_TIMEOUT_MS } from "./timing.js";

/** Queries and callbacks from {@link FencingTokenAdvancer} to the election. */
export interface FencingTokenAdvancerCallbacks {
  /** The lease of the current term; null while this node is not the leader. */
  currentLease(): LeaderLease | null;
  /** The fencing token of the lease was advanced to this value. */
  onTokenAdvanced(fencingToken: number): void;
  /** The leader key is no longer that of this term: another node has been elected. */
  onLeaderKeyReplaced(): void;
}

/**
 * Advances the fencing token within a term. An agent that has seen the new token executes no command sent under the
 * previous one, which makes it safe to acknowledge ended attempts (I6).
 */
export class FencingTokenAdvancer {
  readonly #ctx: Context;
  readonly #config: ConfigWatch;
  readonly #callbacks: FencingTokenAdvancerCallbacks;
  #isInFlight = false;

  constructor(ctx: Context, config: ConfigWatch, callbacks: FencingTokenAdvancerCallbacks) {
    this.#ctx = ctx;
    this.#config = config;
    this.#callbacks = callbacks;
  }

  /** True from the request until its outcome is known, which may be after the end of the term. */
  get isInFlight(): boolean {
    return this.#isInFlight;
  }

  /** Increments the epoch key, conditioned on the leader key. Must not be called while an advance is in flight. */
  advance(lease: LeaderLease): void {
    this.#isInFlight = true;
    const token = lease.fencingToken + 1;
    this.#ctx.callStore(
      {
        kind: "transaction",
        conditions: [
          { key: KEYS.leader, version: lease.leaderKeyVersion },
          { key: KEYS.epoch, version: lease.epochKeyVersion },
        ],
        changes: [{ put: KEYS.epoch, value: { token } }],
      },
      ELECTION_CALL_TIMEOUT_MS,
      (response) => this.#onResponse(lease, token, response),
    );
  }

  #onResponse(lease: LeaderLease, token: number, response: StoreResponse): void {
    if (this.#callbacks.currentLease() !== lease) {
      this.#isInFlight = false;
    } else if (response.kind === "ok") {
      this.#isInFlight = false;
      this.#apply(lease, token, response.revision);
    } else if (response.kind === "unavailable" || response.kind === "throttled") {
      this.#isInFlight = false;
    } else {
      this.#resolveUnknownOutcome(lease);
    }
  }

  #apply(lease: LeaderLease, token: number, version: number): void {
    lease.fencingToken = token;
    lease.epochKeyVersion = version;
    this.#callbacks.onTokenAdvanced(token);
    this.#config.apply({ key: KEYS.epoch, value: { token }, version });
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
      const epoch = response.entries.find((entry) => entry.key === KEYS.epoch);
      if (leader?.version !== lease.leaderKeyVersion) {
        this.#callbacks.onLeaderKeyReplaced();
        return;
      }
      const token = epoch && storedToken(epoch);
      if (epoch && token !== undefined && token >= lease.fencingToken)
        this.#apply(lease, token, epoch.version);
    });
  }
}

function storedToken(epoch: StoreEntry): number | undefined {
  const token = (epoch.value as { token?: unknown } | undefined)?.token;
  return typeof token === "number" ? token : undefined;
}
