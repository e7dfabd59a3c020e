import type { Context } from "../context.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { ConfigWatch } from "./config-watch.js";
import { KEYS, PROTOCOL } from "./records.js";

const TRANSACTION_TIMEOUT_MS = 1500;
const RETRY_DELAY_MS = 1000;

/**
 * Decides when records are written in this version's layout: once every node has said that it speaks this version's
 * protocol, or once the store shows by lower limits that the upgrade is over. The decision is stored and irreversible:
 * the previous version can't read what is written from then on.
 */
export class FeatureGate {
  readonly #ctx: Context;
  readonly #config: ConfigWatch;
  readonly #currentLease: () => LeaderLease | null;
  /** The protocol in each peer's last heartbeat. */
  readonly #peerProtocols = new Map<string, number>();
  #isWriting = false;
  #retryAt = 0;

  constructor(
    ctx: Context,
    config: ConfigWatch,
    /** This node's leader lease, or null while it does not lead: only a leader opens the gate. */
    currentLease: () => LeaderLease | null,
  ) {
    this.#ctx = ctx;
    this.#config = config;
    this.#currentLease = currentLease;
  }

  /** True once records may be written in this version's layout. */
  get isOpen(): boolean {
    return this.#config.layout >= PROTOCOL;
  }

  /** Notes the protocol in a peer's heartbeat; the previous version's heartbeats have none, which is protocol 1. */
  observePeerProtocol(node: string, protocol: number | undefined): void {
    this.#peerProtocols.set(node, protocol ?? 1);
  }

  /** True if this peer's last heartbeat came from an older version. */
  isOlderPeer(node: string): boolean {
    return (this.#peerProtocols.get(node) ?? PROTOCOL) < PROTOCOL;
  }

  /** Opens the gate once every peer has been heard to speak this version's protocol. */
  tick(): void {
    const { peers } = this.#ctx.deployment;
    if (peers.every((node) => (this.#peerProtocols.get(node) ?? 0) >= PROTOCOL)) {
      this.open("every node supports it");
    }
  }

  /** Opens the gate, if this node leads; conditioned on the leader key and on the record's last version (I5). */
  open(reason: string): void {
    const lease = this.#currentLease();
    const { now } = this.#ctx;
    if (this.isOpen || this.#isWriting || !lease) return;
    if (now < this.#retryAt || now >= lease.validUntil) return;
    this.#isWriting = true;
    this.#retryAt = now + RETRY_DELAY_MS;
    const value = { layout: PROTOCOL };
    const conditions = [
      { key: KEYS.leader, version: lease.leaderKeyVersion },
      { key: KEYS.features, version: this.#config.featuresVersion },
    ];
    this.#ctx.callStore(
      { kind: "transaction", conditions, changes: [{ put: KEYS.features, value }] },
      TRANSACTION_TIMEOUT_MS,
      (response) => {
        this.#isWriting = false;
        if (response.kind === "conflict") this.#config.reread();
        if (response.kind !== "ok") return;
        this.#ctx.log("info", "record layout upgraded", {
          layout: PROTOCOL,
          reason,
        });
        this.#config.apply({ key: KEYS.features, value, version: response.revision });
      },
    );
  }
}
