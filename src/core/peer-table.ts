import type { PeerStandby, Warmth } from "../standby/role.js";
import type { Context } from "./context.js";
import type { PeerMessage } from "./messages/peers.js";

/** A peer counts as heard for so long after a heartbeat. */
const FRESH_MS = 3500;
/** A node that was last heard speaking the older protocol counts as such for so long. */
const OLD_MS = 15_000;

interface Peer {
  heardAt: number;
  stateOk: boolean;
  workersHeard: number;
  /** True while messages can be sent to it. */
  up: boolean;
  /** Undefined for a peer that can't stand by. */
  standby: Warmth | undefined;
}

type Heartbeat = Extract<PeerMessage, { kind: "heartbeat" }>;

/** What this node knows of the others, by their heartbeats and links. */
export class PeerTable {
  readonly #ctx: Context;
  readonly #peers: ReadonlyMap<string, Peer>;

  constructor(ctx: Context) {
    this.#ctx = ctx;
    const unheard = (): Peer => ({
      heardAt: Number.NEGATIVE_INFINITY,
      stateOk: false,
      workersHeard: 0,
      up: false,
      standby: undefined,
    });
    this.#peers = new Map(ctx.deployment.peers.map((name) => [name, unheard()]));
  }

  has(node: string): boolean {
    return this.#peers.has(node);
  }

  onLinkChanged(node: string, up: boolean): void {
    const peer = this.#peers.get(node);
    if (peer) peer.up = up;
  }

  onHeartbeat(node: string, { storeHealthy: stateOk, agentsHeard: workersHeard, standby }: Heartbeat): void {
    const peer = this.#peers.get(node);
    if (!peer) return;
    peer.heardAt = this.#ctx.now;
    peer.stateOk = stateOk;
    peer.workersHeard = workersHeard;
    peer.standby = standby;
  }

  #isFresh(peer: Peer): boolean {
    return this.#ctx.now - peer.heardAt < FRESH_MS;
  }

  #anyFresh(holds: (peer: Peer) => boolean): boolean {
    return [...this.#peers.values()].some((peer) => this.#isFresh(peer) && holds(peer));
  }

  /** True if this node has peers and hears none of them. */
  get isIsolated(): boolean {
    return this.#peers.size > 0 && !this.#anyFresh(() => true);
  }

  /** Does a peer say that the state service serves it? */
  get isStoreReachableByAny(): boolean {
    return this.#anyFresh(({ stateOk }) => stateOk);
  }

  get areAgentsHeardByAny(): boolean {
    return this.#anyFresh(({ workersHeard }) => workersHeard > 0);
  }

  /** True for a peer that is heard and that messages can be sent to. */
  canReceive(node: string): boolean {
    const peer = this.#peers.get(node);
    return peer?.up === true && this.#isFresh(peer);
  }

  /** True while a node that is yet to be upgraded may lead: it would start jobs that wait for others. */
  isAnyOlderAlive(isOld: (node: string) => boolean): boolean {
    return [...this.#peers].some(([node, { heardAt }]) => isOld(node) && this.#ctx.now - heardAt < OLD_MS);
  }

  standbys(): PeerStandby[] {
    return [...this.#peers].map(([node, peer]) => {
      return { node, isHeard: this.#isFresh(peer), warmth: peer.standby };
    });
  }

  /** For the status. */
  status(): Record<string, unknown> {
    return Object.fromEntries(
      [...this.#peers].map(([name, { up, stateOk, standby }]) => [
        name,
        { link: up, state_ok: stateOk, standby: standby ?? "off" },
      ]),
    );
  }
}
