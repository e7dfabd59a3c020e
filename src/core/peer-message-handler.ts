import type { Admission } from "../admission/admission.js";
import type { Context } from "./context.js";
import type { Election } from "./election/election.js";
import type { ProgressCounts } from "./jobs/progress-counts.js";
import type { PeerHeartbeat, PeerMessage } from "./messages/peers.js";
import type { StoreEntry } from "./messages/store.js";
import type { PeerTable } from "./peer-table.js";
import type { FeatureGate } from "./store/feature-gate.js";

/** The components that {@link PeerMessageHandler} passes messages to. */
export interface PeerMessageReceivers {
  readonly peers: PeerTable;
  readonly election: Election;
  readonly featureGate: FeatureGate;
  readonly progress: ProgressCounts;
  /** Null if fair admission is disabled. */
  readonly admission: Admission | null;
  /** Applies a job record if this node is the leader; otherwise has no effect. */
  readonly applyJobRecord: (entry: StoreEntry) => void;
}

/** Dispatches job records, heartbeats and progress from peers. No safety rule depends on these messages. */
export class PeerMessageHandler {
  readonly #ctx: Context;
  readonly #receivers: PeerMessageReceivers;

  constructor(ctx: Context, receivers: PeerMessageReceivers) {
    this.#ctx = ctx;
    this.#receivers = receivers;
  }

  /** Processes a message, or ignores it if the sender is not a peer in the deployment. */
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
        // Handled by the shell, which passes forwarded heartbeats to the core as commands.
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
   * Sends the leader a job record that this node has written. A cancellation is sent to every peer: without this node's
   * knowledge, any of them may have become leader or may still reply to agents.
   */
  sendJobRecord(entry: StoreEntry, isCancellation: boolean, leader: string | null): void {
    for (const to of this.#ctx.deployment.peers) {
      if (to === leader || isCancellation)
        this.#ctx.emit({ kind: "sendToPeer", to, message: { kind: "jobRecord", entry } });
    }
  }
}
