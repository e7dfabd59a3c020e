import { interval } from "rxjs";
import type { Settings } from "../config/settings.js";
import type { TimeBudget } from "../core/context.js";
import { Controller, type ProcessIdentity } from "../core/controller.js";
import type { AdminRequest, AdminResponse } from "../core/messages/administration.js";
import type { Command } from "../core/messages/commands.js";
import type { PeerMessage } from "../core/messages/peers.js";
import type { SubmittedSpec, UserResponse } from "../core/messages/users.js";
import { decodeHeartbeat } from "../protocol/agents.js";
import { AgentClient, CloudClient, StoreClient } from "./clients.js";
import { CommandQueue } from "./command-queue.js";
import { EffectRunner, type PendingClients } from "./effect-runner.js";
import { HeartbeatForwarder } from "./heartbeat-forwarder.js";
import type { Log } from "./log.js";
import { renderMetrics } from "./metrics.js";
import { PeerConnections } from "./peer-connections.js";
import { PendingRequests, RequestIds } from "./pending-requests.js";
import type { MetricsPage, RequestHandler } from "./request-handler.js";
import { allocateSockets } from "./sockets.js";

const TICK_MS = 100;
const MAX_PENDING_USERS = 300;
const OVERLOAD_LAG_MS = 1500;

/**
 * Runs the controller: turns requests, messages and ticks into commands in one queue, passes each batch to the
 * controller and executes the resulting effects.
 */
export class ControllerLoop implements RequestHandler {
  readonly #controller: Controller;
  readonly #queue = new CommandQueue();
  readonly #pending: PendingClients;
  readonly #peers: PeerConnections;
  readonly #forwarder: HeartbeatForwarder;
  readonly #effects: EffectRunner;
  #tickedAt = performance.now();
  #lagMs = 0;
  #batches = 0;

  constructor(settings: Settings, identity: ProcessIdentity, log: Log) {
    const requestIds = new RequestIds(identity.seed);
    this.#pending = {
      users: new PendingRequests(requestIds),
      operators: new PendingRequests(requestIds),
      agents: new PendingRequests(requestIds),
    };
    this.#controller = new Controller(settings.deployment, identity);
    const { names } = this.#controller;
    this.#peers = new PeerConnections(settings, {
      onLinkChanged: (node, up) => this.#handlePeerLink(node, up),
      onMessageReceived: (from, message) => this.#handlePeerMessage(from, message),
    });
    this.#forwarder = new HeartbeatForwarder(this.#peers, (requestId, status, body) =>
      this.#pending.agents.take(requestId)?.(status, body),
    );
    this.#effects = new EffectRunner({
      names,
      store: new StoreClient(settings.store),
      cloud: new CloudClient(settings.cloud),
      agents: new AgentClient(names, allocateSockets(settings.maxConnections).agentsOutbound),
      peers: this.#peers,
      forwarder: this.#forwarder,
      pending: this.#pending,
      log,
      push: (command) => this.#queue.push(command),
    });
  }

  /** Starts ticks and peer connections, which run until the process exits. */
  start(onListenError: (error: Error) => void): void {
    this.#queue.start((batch) => this.#handleBatch(batch));
    interval(TICK_MS).subscribe(() => this.#tick());
    this.#peers.listen(onListenError);
    this.#queue.push({ kind: "tick" });
  }

  #tick(): void {
    const now = performance.now();
    this.#lagMs = Math.max(0, now - this.#tickedAt - TICK_MS);
    this.#tickedAt = now;
    this.#forwarder.expire(now);
    this.#queue.push({ kind: "tick" });
  }

  #handleBatch(batch: readonly Command[]): void {
    const now = performance.now();
    const budgetEndsAt = now + this.#controller.ctx.settings.round_budget_ms;
    const budget: TimeBudget = { isSpent: () => performance.now() >= budgetEndsAt };
    this.#batches++;
    this.#effects.runBatch(this.#controller.handle(batch, now, budget));
  }

  #handlePeerLink(node: string, up: boolean): void {
    this.#queue.push({ kind: "peerLinkChanged", node, up });
    if (!up) this.#forwarder.failAll(node);
  }

  #handlePeerMessage(from: string, message: PeerMessage): void {
    switch (message.kind) {
      case "forwardedHeartbeats":
        for (const { id, body } of message.heartbeats) {
          const heartbeat = decodeHeartbeat(body, this.#controller.names);
          if (heartbeat) this.#queue.push({ kind: "forwardedHeartbeat", from, id, heartbeat });
        }
        break;
      case "forwardedReplies":
        for (const { id, status, body } of message.replies) this.#forwarder.complete(id, status, body);
        break;
      case "heartbeat":
      case "jobRecord":
      case "progress":
        this.#queue.push({ kind: "peerMessage", from, message });
        break;
      default:
        message satisfies never;
    }
  }

  /** True if this node is ready for requests. */
  get ready(): boolean {
    return this.#controller.isReady;
  }

  /** True if this node should shed user requests: too many are pending, or the event loop lags too far behind. */
  get overloaded(): boolean {
    return this.#pending.users.size >= MAX_PENDING_USERS || this.#lagMs > OVERLOAD_LAG_MS;
  }

  /** Submits a job. */
  submit(uid: string, submitted: SubmittedSpec, respond: (response: UserResponse) => void): void {
    this.#queue.push({ kind: "submit", requestId: this.#pending.users.add(respond), uid, submitted });
  }

  /** Looks up a job's status. */
  poll(uid: string, respond: (response: UserResponse) => void): void {
    this.#queue.push({ kind: "poll", requestId: this.#pending.users.add(respond), uid });
  }

  /** Cancels a job. */
  cancel(uid: string, respond: (response: UserResponse) => void): void {
    this.#queue.push({ kind: "cancel", requestId: this.#pending.users.add(respond), uid });
  }

  /** Executes an operator's request. */
  administer(request: AdminRequest, respond: (response: AdminResponse) => void): void {
    this.#queue.push({ kind: "administer", requestId: this.#pending.operators.add(respond), request });
  }

  /** Accepts an agent's heartbeat. Returns false, without calling `respond`, if the body is not a valid heartbeat. */
  receiveHeartbeat(body: unknown, respond: (status: number, body: unknown) => void): boolean {
    const heartbeat = decodeHeartbeat(body, this.#controller.names);
    if (!heartbeat) return false;
    const requestId = this.#pending.agents.add(respond);
    this.#queue.push({ kind: "heartbeat", requestId, heartbeat, body });
    return true;
  }

  /** Renders the metrics for a scrape. */
  metrics(): Promise<MetricsPage> {
    return renderMetrics(this.#controller, {
      batches: this.#batches,
      lagMs: this.#lagMs,
      pendingUsers: this.#pending.users.size,
    });
  }
}
