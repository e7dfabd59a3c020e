import type { Context } from "../context.js";
import type { LeaderLease } from "../election/leader-lease.js";
import type { ConfigWatch } from "./config-watch.js";
import { KEYS, PROTOCOL } from "./records.js";

const CALL_MS = 1500;
const RETRY_MS = 1000;

/**
 * Decides when records are written in the layouts of this version: once every node has said that it knows them, or the
 * state service shows by its lower limits that the upgrade is over. The decision is on record, and never goes back.
 */
export class FeatureGate {
  readonly #ctx: Context;
  readonly #view: ConfigWatch;
  readonly #leader: () => LeaderLease | null;
  /** The protocol that each peer last said it speaks. */
  readonly #peers = new Map<string, number>();
  #writing = false;
  #retryAt = 0;

  constructor(ctx: Context, view: ConfigWatch, leader: () => LeaderLease | null) {
    this.#ctx = ctx;
    this.#view = view;
    this.#leader = leader;
  }

  get isOpen(): boolean {
    return this.#view.layout >= PROTOCOL;
  }

  /** What a peer's heartbeat says; nodes of the version before this one say nothing. */
  observePeerProtocol(node: string, protocol: number | undefined): void {
    this.#peers.set(node, protocol ?? 1);
  }

  /** True if this peer, by its last word, is yet to be upgraded. */
  isOlderPeer(node: string): boolean {
    return (this.#peers.get(node) ?? PROTOCOL) < PROTOCOL;
  }

  tick(): void {
    const { peers } = this.#ctx.deployment;
    if (peers.every((node) => (this.#peers.get(node) ?? 0) >= PROTOCOL)) this.open("all nodes know them");
  }

  open(why: string): void {
    const term = this.#leader();
    const { now } = this.#ctx;
    if (this.isOpen || this.#writing || !term || now < this.#retryAt || now >= term.validUntil) return;
    this.#writing = true;
    this.#retryAt = now + RETRY_MS;
    const value = { layout: PROTOCOL };
    const conditions = [
      { key: KEYS.leader, version: term.leaderKeyVersion },
      { key: KEYS.features, version: this.#view.featuresVersion },
    ];
    this.#ctx.callStore(
      { kind: "transaction", conditions, changes: [{ put: KEYS.features, value }] },
      CALL_MS,
      (answer) => {
        this.#writing = false;
        if (answer.kind === "conflict") this.#view.reread();
        if (answer.kind !== "ok") return;
        this.#ctx.log("info", "records are written in the layouts of this version", { why });
        this.#view.apply({ key: KEYS.features, value, version: answer.revision });
      },
    );
  }
}
