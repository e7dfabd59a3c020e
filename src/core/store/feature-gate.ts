import type { Context } from "../context.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { ConfigWatch } from "./config-watch.js";
import { KEYS, PROTOCOL_VERSION } from "./records.js";

const TRANSACTION_TIMEOUT_MS = 1500;
const RETRY_DELAY_MS = 1000;
/** An announcement older than this does not count: the node may have gone back to the previous version unheard. */
const ANNOUNCEMENT_MAX_AGE_MS = 3500;

/** The protocol version in a peer's last heartbeat, and when it was received. */
interface Announcement {
  readonly protocol: number;
  readonly receivedAt: number;
}

/**
 * Decides when to start writing records in this version's layout: once all nodes announce this version's protocol at the
 * same time, or once lower store limits show that the upgrade is complete. The decision is stored and irreversible,
 * because the previous version cannot read records written after it.
 */
export class FeatureGate {
  readonly #ctx: Context;
  readonly #config: ConfigWatch;
  readonly #currentLease: () => LeaderLease | null;
  /** The announcement of each peer from which a heartbeat was received. */
  readonly #announcements = new Map<string, Announcement>();
  #isWriting = false;
  #retryAt = 0;

  constructor(
    ctx: Context,
    config: ConfigWatch,
    /** Returns this node's leader lease, or null if it is not the leader; only the leader opens the gate. */
    currentLease: () => LeaderLease | null,
  ) {
    this.#ctx = ctx;
    this.#config = config;
    this.#currentLease = currentLease;
  }

  /** True if records may be written in this version's layout. */
  get isOpen(): boolean {
    return this.#config.layout >= PROTOCOL_VERSION;
  }

  /** Records the protocol version from a peer's heartbeat; heartbeats of the previous version omit it, meaning 1. */
  observePeerProtocol(node: string, protocol: number | undefined): void {
    this.#announcements.set(node, { protocol: protocol ?? 1, receivedAt: this.#ctx.now });
  }

  /** True if the peer's last heartbeat was sent by the previous version. */
  isOlderPeer(node: string): boolean {
    return (this.#announcements.get(node)?.protocol ?? PROTOCOL_VERSION) < PROTOCOL_VERSION;
  }

  /** Opens the gate once every peer announces this version's protocol. */
  tick(): void {
    const { peers } = this.#ctx.deployment;
    if (peers.every((node) => this.#announcesThisVersion(node))) this.open("every node supports it");
  }

  #announcesThisVersion(node: string): boolean {
    const announcement = this.#announcements.get(node);
    if (!announcement || announcement.protocol < PROTOCOL_VERSION) return false;
    return this.#ctx.now - announcement.receivedAt < ANNOUNCEMENT_MAX_AGE_MS;
  }

  /** Opens the gate if this node is the leader; conditioned on the leader key and the record's last version (I5). */
  open(reason: string): void {
    const lease = this.#currentLease();
    const { now } = this.#ctx;
    if (this.isOpen || this.#isWriting || !lease) return;
    if (now < this.#retryAt || now >= lease.validUntil) return;
    this.#isWriting = true;
    this.#retryAt = now + RETRY_DELAY_MS;
    const value = { layout: PROTOCOL_VERSION };
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
          layout: PROTOCOL_VERSION,
          reason,
        });
        this.#config.apply({ key: KEYS.features, value, version: response.revision });
      },
    );
  }
}
