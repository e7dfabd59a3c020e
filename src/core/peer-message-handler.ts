import type { Admission } from "../admission/admission.js";
import type { Context } from "./context.js";
import type { Election } from "./election/election.js";
import type { ProgressCounts } from "./jobs/progress-counts.js";
import type { PeerHeartbeat, PeerMessage } from "./messages/peers.js";
import type { StoreEntry } from "./messages/store.js";
import type { PeerTable } from "./peer-table.js";
import type { FeatureGate } from "./store/feature-gate.js";

/** Who takes note of what peers send. */
export interface PeerMessageReceivers {
  readonly peers: PeerTable;
  readonly election: Election;
  readonly featureGate: FeatureGate;
  readonly progress: ProgressCounts;
  /** Null where fair admission is not switched on. */
  readonly admission: Admission | null;
  /** Applies a job's key on the leader; without effect on other nodes. */
  readonly applyJobRecord: (entry: StoreEntry) => void;
}

/** Job records, heartbeats and progress between peers. No safety rule depends on any of them. */
export class PeerMessageHandler {
  readonly #ctx: Context;
  readonly #receivers: PeerMessageReceivers;

  constructor(ctx: Context, receivers: PeerMessageReceivers) {
    this.#ctx = ctx;
    this.#receivers = receivers;
  }

  /** Takes note of a message, unless it comes from a node that is no peer by the deployment. */
  onMessage(from: string, message: PeerMessage): void {
    const { peers, progress, applyJobRecord } = this.#receivers;
    if (!peers.has(from)) return;
    switch (message.kind) {
      case "heartbeat":
        this.#onHeartbeat(from, message);
        break;
      case "jobRecord":
        applyJobRecord(message.entry);
        break;
      case "progress":
        progress.update(message.rows);
        break;
      case "forwardedHeartbeats":
      case "forwardedReplies":
        // Not for the core: the shell takes them itself, and brings forwarded heartbeats as commands.
        break;
      default:
        message satisfies never;
    }
  }

  #onHeartbeat(from: string, heartbeat: PeerHeartbeat): void {
    const { peers, admission, featureGate, election } = this.#receivers;
    peers.onHeartbeat(from, heartbeat);
    admission?.onPeerHeartbeat(from, heartbeat.admission);
    featureGate.observePeerProtocol(from, heartbeat.protocol);
    election.observeToken(heartbeat.fencingToken);
    election.observePeerToken(from, heartbeat.fencingToken);
  }

  /**
   * Sends a job's key that this node has written to the leader. A cancellation goes to every peer: any of them may lead,
   * or still reply to agents, without this node's knowing.
   */
  sendJobRecord(entry: StoreEntry, isCancellation: boolean, leader: string | null): void {
    for (const to of this.#ctx.deployment.peers) {
      if (to === leader || isCancellation)
        this.#ctx.emit({ kind: "sendToPeer", to, message: { kind: "jobRecord", entry } });
    }
  }
}
