import { buffer, interval, Subject } from "rxjs";
import type { Settings } from "../config/settings.js";
import type { TimeBudget } from "../core/context.js";
import { Controller, type Identity } from "../core/controller.js";
import type { AdminRequest, AdminResponse } from "../core/messages/administration.js";
import type { Command } from "../core/messages/commands.js";
import type { Effect } from "../core/messages/effects.js";
import type { ForwardedHeartbeat, ForwardedReply, PeerMessage } from "../core/messages/peers.js";
import type { UserResponse } from "../core/messages/users.js";
import type { JobSpec } from "../core/model/job-spec.js";
import { decodeHeartbeat, encodeHeartbeatReply } from "../protocol/agents.js";
import type { RequestHandler } from "./api.js";
import { AgentClient, CloudClient, StoreClient } from "./clients.js";
import type { Log } from "./log.js";
import { renderMetrics } from "./metrics.js";
import { Peers } from "./peers.js";
import { shareSockets } from "./sockets.js";

const TICK_MS = 100;
const MAX_WAITING = 300;
const LAG_OVERLOAD_MS = 1500;
const RELAY_TIMEOUT_MS = 3000;
/**
 * Reports that are passed on go together, as many as come within so long: each by itself took a packet, a batch of the
 * core and a packet back, at both ends (figures in docs/RESULTS.md). Workers report every few seconds.
 */
const GATHER_MS = 25;

/** Owns the controller: everything that happens becomes a command in one queue, worked off in batches. */
export class ControllerLoop implements RequestHandler {
  readonly #controller: Controller;
  readonly #log: Log;
  readonly #state: StoreClient;
  readonly #cloud: CloudClient;
  readonly #workers: AgentClient;
  readonly #peers: Peers;
  readonly #commands = new Subject<Command>();
  readonly #flush = new Subject<void>();
  readonly #users = new Map<number, (answer: UserResponse) => void>();
  readonly #admins = new Map<number, (answer: AdminResponse) => void>();
  readonly #reports = new Map<number, (status: number, body: unknown) => void>();
  readonly #relays = new Map<number, { readonly until: number; readonly to: string }>();
  /** Reports about to be passed on, and answers to those that were, by the node they go to. */
  readonly #passing = new Map<string, ForwardedHeartbeat[]>();
  readonly #answering = new Map<string, ForwardedReply[]>();
  #scheduled = false;
  /** Not from 1: a peer's answer to a report that this node's former process passed on must meet no request of ours. */
  #nextRequest: number;
  #tickedAt = performance.now();
  #lagMs = 0;
  batches = 0;

  constructor(settings: Settings, identity: Identity, log: Log) {
    this.#log = log;
    this.#nextRequest = (identity.seed >>> 0) * 2 ** 20 + 1;
    this.#controller = new Controller(settings.deployment, identity);
    this.#state = new StoreClient(settings.state);
    this.#cloud = new CloudClient(settings.cloud);
    const { workersOut } = shareSockets(settings.maxConnections);
    this.#workers = new AgentClient(this.#controller.names, workersOut);
    this.#peers = new Peers(settings, {
      link: (node, up) => {
        this.#push({ kind: "peerLinkChanged", node, up });
        if (!up) this.#unrelayed(node);
      },
      message: (from, message) => this.#peerMessage(from, message),
    });
  }

  start(failed: (error: Error) => void): void {
    this.#commands.pipe(buffer(this.#flush)).subscribe((batch) => this.#work(batch));
    interval(TICK_MS).subscribe(() => {
      const now = performance.now();
      this.#lagMs = Math.max(0, now - this.#tickedAt - TICK_MS);
      this.#tickedAt = now;
      this.#giveUpRelays(now);
      this.#push({ kind: "tick" });
    });
    this.#peers.listen(failed);
    this.#push({ kind: "tick" });
  }

  #push(command: Command): void {
    this.#commands.next(command);
    if (this.#scheduled) return;
    this.#scheduled = true;
    setImmediate(() => {
      this.#scheduled = false;
      this.#flush.next();
    });
  }

  #work(batch: readonly Command[]): void {
    const now = performance.now();
    const end = now + this.#controller.ctx.settings.round_budget_ms;
    const budget: TimeBudget = { isSpent: () => performance.now() >= end };
    this.batches++;
    for (const effect of this.#controller.handle(batch, now, budget)) this.#runGuarded(effect);
    for (const [to, list] of this.#answering)
      this.#peers.send(to, { kind: "forwardedReplies", replies: list });
    this.#answering.clear();
  }

  /** A fault in carrying out one effect costs that effect, not the process: what it owes an answer times out. */
  #runGuarded(effect: Effect): void {
    try {
      this.#run(effect);
    } catch (error) {
      this.#log.error({ effect: effect.kind, error: (error as Error).stack }, "fault in an effect");
    }
  }

  #run(effect: Effect): void {
    switch (effect.kind) {
      case "respondToUser":
        take(this.#users, effect.requestId)?.(effect.response);
        break;
      case "respondToOperator":
        take(this.#admins, effect.requestId)?.(effect.response);
        break;
      case "replyToAgent": {
        const { status, body } = encodeHeartbeatReply(effect.reply, this.#controller.names);
        take(this.#reports, effect.requestId)?.(status, body);
        break;
      }
      case "replyToForwardedHeartbeat": {
        const { status, body } = encodeHeartbeatReply(effect.reply, this.#controller.names);
        append(this.#answering, effect.to, { id: effect.id, status, body });
        break;
      }
      case "forwardHeartbeat":
        this.#relay(effect.requestId, effect.to, effect.body);
        break;
      case "sendAgentCommands":
        this.#workers.send(effect, (report, executed) => {
          this.#push({ kind: "agentReplied", id: effect.id, heartbeat: report, executed });
        });
        break;
      case "callStore":
        this.#state.call(effect.request, effect.timeoutMs, (answer) => {
          this.#push({ kind: "storeResponded", id: effect.id, response: answer });
        });
        break;
      case "callCloud":
        this.#cloud.call(effect.request, (answer) =>
          this.#push({ kind: "cloudResponded", id: effect.id, response: answer }),
        );
        break;
      case "sendToPeer":
        this.#peers.send(effect.to, effect.message);
        break;
      case "log":
        this.#log[effect.level](effect.data, effect.text);
        break;
      default:
        effect satisfies never;
    }
  }

  #relay(req: number, to: string, raw: unknown): void {
    if (append(this.#passing, to, { id: req, body: raw }) === 1) setTimeout(() => this.#pass(to), GATHER_MS);
    this.#relays.set(req, { until: performance.now() + RELAY_TIMEOUT_MS, to });
  }

  #pass(to: string): void {
    const list = this.#passing.get(to) ?? [];
    this.#passing.delete(to);
    // After a standstill some have been given up: their workers are at another node.
    const open = list.filter(({ id }) => this.#relays.has(id));
    if (open.length === 0) return;
    // A worker has one report under way, so what waits here is the newest of each, and none older than its time out.
    if (this.#peers.isCongested(to)) {
      this.#passing.set(to, open);
      setTimeout(() => this.#pass(to), GATHER_MS);
    } else this.#peers.send(to, { kind: "forwardedHeartbeats", heartbeats: open });
  }

  #giveUpRelays(now: number): void {
    for (const [req, { until }] of this.#relays) {
      // In the order in which they were passed on: the rest has time left.
      if (now < until) return;
      this.#relayed(req, 503, { error: "the leader does not answer" });
    }
  }

  /** The leader is gone: its workers must not wait for answers that won't come. */
  #unrelayed(node: string): void {
    for (const [req, relay] of this.#relays) {
      if (relay.to === node) this.#relayed(req, 503, { error: "the leader is gone" });
    }
  }

  #relayed(req: number, status: number, body: unknown): void {
    const relay = take(this.#relays, req);
    if (relay === undefined) return;
    take(this.#reports, req)?.(status, body);
  }

  #peerMessage(from: string, message: PeerMessage): void {
    switch (message.kind) {
      case "forwardedHeartbeats":
        for (const { id, body } of message.heartbeats) {
          const report = decodeHeartbeat(body, this.#controller.names);
          if (report) this.#push({ kind: "forwardedHeartbeat", from, id, heartbeat: report });
        }
        break;
      case "forwardedReplies":
        for (const { id, status, body } of message.replies) this.#relayed(id, status, body);
        break;
      case "heartbeat":
      case "jobRecord":
      case "progress":
        this.#push({ kind: "peerMessage", from, message });
        break;
      default:
        message satisfies never;
    }
  }

  /* ---- the HTTP side ---- */

  get ready(): boolean {
    return this.#controller.ready;
  }

  get overloaded(): boolean {
    return this.#users.size >= MAX_WAITING || this.#lagMs > LAG_OVERLOAD_MS;
  }

  submit(uid: string, spec: JobSpec | string, then: (answer: UserResponse) => void): void {
    this.#push({ kind: "submit", requestId: this.#expect(this.#users, then), uid, spec });
  }

  poll(uid: string, then: (answer: UserResponse) => void): void {
    this.#push({ kind: "poll", requestId: this.#expect(this.#users, then), uid });
  }

  cancel(uid: string, then: (answer: UserResponse) => void): void {
    this.#push({ kind: "cancel", requestId: this.#expect(this.#users, then), uid });
  }

  admin(ask: AdminRequest, then: (answer: AdminResponse) => void): void {
    this.#push({ kind: "administer", requestId: this.#expect(this.#admins, then), request: ask });
  }

  report(body: unknown, then: (status: number, body: unknown) => void): boolean {
    const report = decodeHeartbeat(body, this.#controller.names);
    if (!report) return false;
    this.#push({
      kind: "heartbeat",
      requestId: this.#expect(this.#reports, then),
      heartbeat: report,
      body: body,
    });
    return true;
  }

  metrics(): Promise<{ type: string; text: string }> {
    return renderMetrics(this.#controller, {
      batches: this.batches,
      lagMs: this.#lagMs,
      waiting: this.#users.size,
    });
  }

  #expect<T>(waiting: Map<number, T>, then: T): number {
    const req = this.#nextRequest++;
    waiting.set(req, then);
    return req;
  }
}

function take<T>(map: Map<number, T>, key: number): T | undefined {
  const value = map.get(key);
  map.delete(key);
  return value;
}

/** Returns how many there are with it. */
function append<T>(lists: Map<string, T[]>, key: string, entry: T): number {
  const list = lists.get(key);
  if (list) return list.push(entry);
  lists.set(key, [entry]);
  return 1;
}
