import type { ForwardedHeartbeat, PeerMessage } from "../core/messages/peers.js";
import { leaderDisconnected, leaderTimedOut } from "../protocol/responses.js";
import { NodeBatches } from "./node-batches.js";

const REPLY_TIMEOUT_MS = 3000;
/**
 * Heartbeats that come within this time are forwarded together: each by itself took a packet, a batch of the core and a
 * packet back, at both ends (figures in docs/RESULTS.md). Agents send one every few seconds.
 */
const BATCHING_MS = 25;

/** The connections to the peers, as far as forwarding needs them. */
export interface PeerSender {
  /** Sends a message, or drops it if the peer can't be reached. */
  send(node: string, message: PeerMessage): void;
  /** Whether a peer takes messages more slowly than they come. */
  isCongested(node: string): boolean;
}

interface AwaitedReply {
  readonly node: string;
  readonly timeoutAt: number;
}

/**
 * A follower's side of forwarding: agents' heartbeats go to the leader in batches, and its replies back to the agents.
 * Every forwarded heartbeat is answered exactly once: by the leader's reply, when that is overdue, or when the connection
 * to the leader is lost.
 */
export class HeartbeatForwarder {
  readonly #peers: PeerSender;
  readonly #reply: (requestId: number, status: number, body: unknown) => void;
  readonly #batches = new NodeBatches<ForwardedHeartbeat>();
  /** By request, in the order of forwarding, which is that of their timeouts. */
  readonly #awaited = new Map<number, AwaitedReply>();

  constructor(peers: PeerSender, reply: (requestId: number, status: number, body: unknown) => void) {
    this.#peers = peers;
    this.#reply = reply;
  }

  /** Forwards a heartbeat, in the form in which the agent sent it, to the leader. */
  forward(requestId: number, node: string, body: unknown): void {
    const isFirst = this.#batches.append(node, { id: requestId, body });
    if (isFirst) this.#scheduleBatch(node);
    this.#awaited.set(requestId, { node, timeoutAt: performance.now() + REPLY_TIMEOUT_MS });
  }

  /** Passes the leader's reply to the agent; without effect if the heartbeat was answered before. */
  complete(requestId: number, status: number, body: unknown): void {
    if (this.#awaited.delete(requestId)) this.#reply(requestId, status, body);
  }

  /** Answers the heartbeats whose reply is overdue. */
  expire(now: number): void {
    for (const [requestId, { timeoutAt }] of this.#awaited) {
      // In the order of their timeouts: the rest has time left.
      if (now < timeoutAt) return;
      this.complete(requestId, leaderTimedOut.status, leaderTimedOut.body);
    }
  }

  /** Answers the heartbeats forwarded to a node whose connection was lost: no replies to them will come. */
  failAll(node: string): void {
    for (const [requestId, awaited] of this.#awaited) {
      if (awaited.node === node) this.complete(requestId, leaderDisconnected.status, leaderDisconnected.body);
    }
  }

  #scheduleBatch(node: string): void {
    setTimeout(() => this.#sendBatch(node), BATCHING_MS);
  }

  #sendBatch(node: string): void {
    // After a stall some have timed out: their agents have turned to another node.
    const batch = this.#batches.take(node).filter(({ id }) => this.#awaited.has(id));
    if (batch.length === 0) return;
    // An agent has one heartbeat under way, so what waits here is the newest of each, and none is older than its timeout.
    if (this.#peers.isCongested(node)) {
      this.#batches.restore(node, batch);
      this.#scheduleBatch(node);
    } else this.#peers.send(node, { kind: "forwardedHeartbeats", heartbeats: batch });
  }
}
