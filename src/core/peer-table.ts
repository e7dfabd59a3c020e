import type { PeerStandby, Warmth } from "../standby/role.js";
import type { Context } from "./context.js";
import type { PeerHeartbeat } from "./messages/peers.js";

/** A peer counts as alive for this long after its last heartbeat. */
const PEER_TIMEOUT_MS = 3500;
/** A peer of the previous version counts as running for this long after its last heartbeat. */
const OLDER_PEER_TIMEOUT_MS = 15_000;

interface Peer {
  lastHeartbeatAt: number;
  /** True if the peer could use the key-value store, as of its last heartbeat. */
  storeHealthy: boolean;
  /** The number of agents whose heartbeats the peer received, as of its last heartbeat. */
  agentsHeard: number;
  /** True while messages can be sent to it. */
  isLinkUp: boolean;
  /** State of its standby cache; undefined for a peer that reports none. */
  standby: Warmth | undefined;
}

/** The state of each peer, from its heartbeats and the link to it. */
export class PeerTable {
  readonly #ctx: Context;
  readonly #peers: ReadonlyMap<string, Peer>;

  constructor(ctx: Context) {
    this.#ctx = ctx;
    const initialPeer = (): Peer => ({
      lastHeartbeatAt: Number.NEGATIVE_INFINITY,
      storeHealthy: false,
      agentsHeard: 0,
      isLinkUp: false,
      standby: undefined,
    });
    this.#peers = new Map(ctx.deployment.peers.map((name) => [name, initialPeer()]));
  }

  /** True if the deployment lists a node of this name as a peer. */
  has(node: string): boolean {
    return this.#peers.has(node);
  }

  /** Records that the link to a peer has come up or gone down. */
  onLinkChanged(node: string, up: boolean): void {
    const peer = this.#peers.get(node);
    if (peer) peer.isLinkUp = up;
  }

  /** Records the state from a peer's heartbeat. */
  onHeartbeat(node: string, { storeHealthy, agentsHeard, standby }: PeerHeartbeat): void {
    const peer = this.#peers.get(node);
    if (!peer) return;
    peer.lastHeartbeatAt = this.#ctx.now;
    peer.storeHealthy = storeHealthy;
    peer.agentsHeard = agentsHeard;
    peer.standby = standby;
  }

  #isAlive(peer: Peer): boolean {
    return this.#ctx.now - peer.lastHeartbeatAt < PEER_TIMEOUT_MS;
  }

  #isAnyAlive(condition: (peer: Peer) => boolean): boolean {
    return [...this.#peers.values()].some((peer) => this.#isAlive(peer) && condition(peer));
  }

  /** True if this node has peers but receives heartbeats from none of them. */
  get isIsolated(): boolean {
    return this.#peers.size > 0 && !this.#isAnyAlive(() => true);
  }

  /** True if a live peer reports that it can use the key-value store. */
  get isStoreReachableByAny(): boolean {
    return this.#isAnyAlive(({ storeHealthy }) => storeHealthy);
  }

  /** True if a live peer reports that it receives agent heartbeats. */
  get areAgentsReportingToAny(): boolean {
    return this.#isAnyAlive(({ agentsHeard }) => agentsHeard > 0);
  }

  /** True for a live peer to which the link is up. */
  isReachable(node: string): boolean {
    const peer = this.#peers.get(node);
    return peer?.isLinkUp === true && this.#isAlive(peer);
  }

  /** True while a node of the previous version may lead: it would start jobs with unsatisfied dependencies. */
  isAnyOlderAlive(isOlder: (node: string) => boolean): boolean {
    return [...this.#peers].some(
      ([node, { lastHeartbeatAt }]) =>
        isOlder(node) && this.#ctx.now - lastHeartbeatAt < OLDER_PEER_TIMEOUT_MS,
    );
  }

  /** Returns the state of the standby cache of each peer. */
  standbys(): PeerStandby[] {
    return [...this.#peers].map(([node, peer]) => {
      return { node, isAlive: this.#isAlive(peer), warmth: peer.standby };
    });
  }

  /** Returns the field `peers` of the status page, by peer name. */
  status(): Record<string, unknown> {
    return Object.fromEntries(
      [...this.#peers].map(([name, { isLinkUp, storeHealthy, standby }]) => [
        name,
        { link: isLinkUp, state_ok: storeHealthy, standby: standby ?? "off" },
      ]),
    );
  }
}
