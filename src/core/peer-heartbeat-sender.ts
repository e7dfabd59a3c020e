import type { Admission } from "../admission/admission.js";
import type { Failover } from "../standby/failover.js";
import type { HeartbeatRouter } from "./agents/heartbeat-router.js";
import type { Context } from "./context.js";
import type { Election } from "./election/election.js";
import type { PeerHeartbeat } from "./messages/peers.js";
import type { ConfigWatch } from "./store/config-watch.js";
import { PROTOCOL_VERSION } from "./store/records.js";

const HEARTBEAT_INTERVAL_MS = 1000;

/** The components whose state is sent in heartbeats. */
export interface PeerHeartbeatSources {
  readonly config: ConfigWatch;
  readonly election: Election;
  readonly heartbeatRouter: HeartbeatRouter;
  readonly failover: Failover;
  /** Null if fair admission is disabled. */
  readonly admission: Admission | null;
}

/** Sends this node's state to every peer once per second, and sooner after a change of leadership. */
export class PeerHeartbeatSender {
  readonly #ctx: Context;
  readonly #sources: PeerHeartbeatSources;
  #sentAt = Number.NEGATIVE_INFINITY;

  constructor(ctx: Context, sources: PeerHeartbeatSources) {
    this.#ctx = ctx;
    this.#sources = sources;
  }

  /** True if the next heartbeats are due. */
  get isDue(): boolean {
    return this.#ctx.now - this.#sentAt >= HEARTBEAT_INTERVAL_MS;
  }

  /** Makes the next heartbeats due immediately. */
  expedite(): void {
    this.#sentAt = Number.NEGATIVE_INFINITY;
  }

  /** Sends a heartbeat to every peer. */
  send(isLeader: boolean): void {
    this.#sentAt = this.#ctx.now;
    const heartbeat = this.#heartbeat(isLeader);
    for (const to of this.#ctx.deployment.peers) {
      const admission = this.#sources.admission?.messageFor(to);
      this.#ctx.emit({ kind: "sendToPeer", to, message: { ...heartbeat, admission } });
    }
  }

  #heartbeat(isLeader: boolean): PeerHeartbeat {
    const { config, election, heartbeatRouter, failover } = this.#sources;
    return {
      kind: "heartbeat",
      fencingToken: election.lease?.fencingToken ?? election.highestTokenSeen,
      leader: isLeader ? this.#ctx.deployment.node : null,
      storeHealthy: this.#ctx.storeFailingSince === null && config.isLoaded,
      agentsHeard: heartbeatRouter.countActiveAgents(),
      protocol: PROTOCOL_VERSION,
      standby: failover.warmth,
    };
  }
}
