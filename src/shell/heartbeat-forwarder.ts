import type { ForwardedHeartbeat, PeerMessage } from "../core/messages/peers.js";
import { leaderDisconnected, leaderTimedOut } from "../protocol/responses.js";
import { NodeBatches } from "./node-batches.js";

const REPLY_TIMEOUT_MS = 3000;
/**
 * Heartbeats received within this time are forwarded together. Forwarded one by one, each took a packet, a command
 * batch and a reply packet at both ends (figures in docs/RESULTS.md). The delay is negligible, as an agent sends one
 * heartbeat every few seconds.
 */
const BATCHING_MS = 25;

/** The methods of `PeerConnections` that forwarding uses. */
export interface PeerSender {
  /** Sends a message, or drops it if the peer is not connected. */
  send(node: string, message: PeerMessage): void;
  /** True if the send backlog to a peer is so large that messages should wait. */
  isCongested(node: string): boolean;
}

interface AwaitedReply {
  readonly node: string;
  readonly timeoutAt: number;
}

/**
 * Forwards agents' heartbeats from a follower to the leader in batches, and passes the leader's replies to the agents.
 * Every forwarded heartbeat is answered exactly once: with the leader's reply, or with an error if the reply times out
 * or the connection to the leader is lost.
 */
export class HeartbeatForwarder {
  readonly #peers: PeerSender;
  readonly #reply: (requestId: number, status: number, body: unknown) => void;
  readonly #batches = new NodeBatches<ForwardedHeartbeat>();
  /** By request id, in forwarding order, which is also the order of their timeouts. */
  readonly #awaited = new Map<number, AwaitedReply>();

  constructor(peers: PeerSender, reply: (requestId: number, status: number, body: unknown) => void) {
    this.#peers = peers;
    this.#reply = reply;
  }

  /** Queues a heartbeat, with its body as the agent sent it, for the leader. */
  forward(requestId: number, node: string, body: unknown): void {
    const isFirst = this.#batches.append(node, { id: requestId, body });
    if (isFirst) this.#scheduleBatch(node);
    this.#awaited.set(requestId, { node, timeoutAt: performance.now() + REPLY_TIMEOUT_MS });
  }

  /** Passes the leader's reply to the agent. Does nothing if the heartbeat was already answered. */
  complete(requestId: number, status: number, body: unknown): void {
    if (this.#awaited.delete(requestId)) this.#reply(requestId, status, body);
  }

  /** Answers the heartbeats whose reply has timed out. */
  expire(now: number): void {
    for (const [requestId, { timeoutAt }] of this.#awaited) {
      // Ordered by timeout: none of the rest has expired.
      if (now < timeoutAt) return;
      this.complete(requestId, leaderTimedOut.status, leaderTimedOut.body);
    }
  }

  /** Answers the heartbeats forwarded to a node after its connection was lost, as no replies will arrive. */
  failAll(node: string): void {
    for (const [requestId, awaited] of this.#awaited) {
      if (awaited.node === node) this.complete(requestId, leaderDisconnected.status, leaderDisconnected.body);
    }
  }

  #scheduleBatch(node: string): void {
    setTimeout(() => this.#sendBatch(node), BATCHING_MS);
  }

  #sendBatch(node: string): void {
    // After a stall some may have timed out, and their agents have tried another node.
    const batch = this.#batches.take(node).filter(({ id }) => this.#awaited.has(id));
    if (batch.length === 0) return;
    // Waiting is safe: an agent has one heartbeat in flight, so the batch holds the newest of each agent, and none
    // is older than the timeout.
    if (this.#peers.isCongested(node)) {
      this.#batches.restore(node, batch);
      this.#scheduleBatch(node);
    } else this.#peers.send(node, { kind: "forwardedHeartbeats", heartbeats: batch });
  }
}
