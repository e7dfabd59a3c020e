import type { PeerStandby, Warmth } from "../standby/role.js";
import type { Context } from "./context.js";
import type { PeerHeartbeat } from "./messages/peers.js";

/** A peer counts as heard for so long after its last heartbeat. */
const HEARD_MS = 3500;
/** A peer last heard speaking an older protocol counts as running for so long. */
const OLDER_PEER_MS = 15_000;

interface Peer {
  heardAt: number;
  /** As of its last heartbeat: the key-value store serves it. */
  storeHealthy: boolean;
  /** As of its last heartbeat: how many agents it hears. */
  agentsHeard: number;
  /** True while messages can be sent to it. */
  isLinkUp: boolean;
  /** Undefined for a peer that can't stand by. */
  standby: Warmth | undefined;
}

/** What this node knows of its peers, by their heartbeats and the links to them. */
export class PeerTable {
  readonly #ctx: Context;
  readonly #peers: ReadonlyMap<string, Peer>;

  constructor(ctx: Context) {
    this.#ctx = ctx;
    const neverHeard = (): Peer => ({
      heardAt: Number.NEGATIVE_INFINITY,
      storeHealthy: false,
      agentsHeard: 0,
      isLinkUp: false,
      standby: undefined,
    });
    this.#peers = new Map(ctx.deployment.peers.map((name) => [name, neverHeard()]));
  }

  /** Is this node a peer by the deployment? */
  has(node: string): boolean {
    return this.#peers.has(node);
  }

  /** The link to a peer has come up or gone down. */
  onLinkChanged(node: string, up: boolean): void {
    const peer = this.#peers.get(node);
    if (peer) peer.isLinkUp = up;
  }

  /** Takes note of a peer's heartbeat. */
  onHeartbeat(node: string, { storeHealthy, agentsHeard, standby }: PeerHeartbeat): void {
    const peer = this.#peers.get(node);
    if (!peer) return;
    peer.heardAt = this.#ctx.now;
    peer.storeHealthy = storeHealthy;
    peer.agentsHeard = agentsHeard;
    peer.standby = standby;
  }

  #isHeard(peer: Peer): boolean {
    return this.#ctx.now - peer.heardAt < HEARD_MS;
  }

  #isAnyHeard(condition: (peer: Peer) => boolean): boolean {
    return [...this.#peers.values()].some((peer) => this.#isHeard(peer) && condition(peer));
  }

  /** True if this node has peers and hears none of them. */
  get isIsolated(): boolean {
    return this.#peers.size > 0 && !this.#isAnyHeard(() => true);
  }

  /** Does a peer that is heard say that the key-value store serves it? */
  get isStoreReachableByAny(): boolean {
    return this.#isAnyHeard(({ storeHealthy }) => storeHealthy);
  }

  /** Does a peer that is heard say that it hears agents? */
  get areAgentsHeardByAny(): boolean {
    return this.#isAnyHeard(({ agentsHeard }) => agentsHeard > 0);
  }

  /** True for a peer that is heard and that messages can be sent to. */
  canReceive(node: string): boolean {
    const peer = this.#peers.get(node);
    return peer?.isLinkUp === true && this.#isHeard(peer);
  }

  /** True while a node that is yet to be upgraded may lead: it would start jobs whose dependencies are not satisfied. */
  isAnyOlderAlive(isOlder: (node: string) => boolean): boolean {
    return [...this.#peers].some(
      ([node, { heardAt }]) => isOlder(node) && this.#ctx.now - heardAt < OLDER_PEER_MS,
    );
  }

  /** How ready each peer is to lead from its cache of the records. */
  standbys(): PeerStandby[] {
    return [...this.#peers].map(([node, peer]) => {
      return { node, isAlive: this.#isHeard(peer), warmth: peer.standby };
    });
  }

  /** For the status, by peer. */
  status(): Record<string, unknown> {
    return Object.fromEntries(
      [...this.#peers].map(([name, { isLinkUp, storeHealthy, standby }]) => [
        name,
        { link: isLinkUp, state_ok: storeHealthy, standby: standby ?? "off" },
      ]),
    );
  }
}
