import type { Context } from "../context.js";
import type { Heartbeat, HeartbeatReply } from "../messages/agents.js";

/** Without a known leader a heartbeat waits this long for one: agents give up after 4 s. */
const LEADER_WAIT_MS = 2000;
/** Agents whose last heartbeat came within this time count as heard. */
const HEARD_WITHIN_MS = 3500;

/** What the router needs to know of the election and the peers. */
export interface HeartbeatRouterEvents {
  /** The reply, if this node leads and may give one. */
  replyAsLeader(heartbeat: Heartbeat): HeartbeatReply | null;
  /** True if this node leads. */
  isLeader(): boolean;
  /** The node that leads according to the key-value store; null if none is known. */
  leader(): string | null;
  /** True for a peer that heartbeats can be forwarded to. */
  isReachablePeer(node: string): boolean;
}

interface RoutedHeartbeat {
  readonly requestId: number;
  readonly heartbeat: Heartbeat;
  /** The heartbeat as it came in, to be forwarded as it is. */
  readonly body: unknown;
  /** Until when it may wait for a leader. */
  readonly waitUntil: number;
}

interface HeartbeatPosition {
  readonly incarnation: number;
  readonly sequence: number;
}

/**
 * Takes the agents' heartbeats on any node: answers them as leader, forwards them to the leader, or redirects the agent
 * to the leader. Every request gets one reply.
 */
export class HeartbeatRouter {
  readonly #ctx: Context;
  readonly #events: HeartbeatRouterEvents;
  /** The newest heartbeat of each agent that came to this node, by machine: a late copy tells nothing of it. */
  readonly #newest = new Map<number, HeartbeatPosition>();
  /** When each agent last sent this node a heartbeat, by machine, whether or not it could be answered. */
  readonly #heardAt = new Map<number, number>();
  /** Heartbeats that wait for a leader to be known. */
  #waiting: RoutedHeartbeat[] = [];

  constructor(ctx: Context, events: HeartbeatRouterEvents) {
    this.#ctx = ctx;
    this.#events = events;
  }

  /**
   * Routes a heartbeat; without a known leader it waits for one.
   *
   * @param requestId The agent's request, which is replied to once.
   * @param heartbeat The decoded heartbeat.
   * @param body The same as it came in, to be forwarded.
   */
  route(requestId: number, heartbeat: Heartbeat, body: unknown): void {
    const { machine, incarnation, sequence } = heartbeat;
    if (!this.#isLate(heartbeat)) {
      this.#newest.set(machine, { incarnation, sequence });
      this.#heardAt.set(machine, this.#ctx.now);
    } else if (!this.#events.isLeader()) {
      this.#reply(requestId, { kind: "unavailable" });
      return;
    }
    const routed = { requestId, heartbeat, body, waitUntil: this.#ctx.now + LEADER_WAIT_MS };
    if (!this.#tryRoute(routed)) this.#waiting.push(routed);
  }

  /** True for a copy of a heartbeat that is not newer than the newest one known here (I4). */
  #isLate({ machine, incarnation, sequence }: Heartbeat): boolean {
    const newest = this.#newest.get(machine);
    if (newest === undefined) return false;
    return (
      incarnation < newest.incarnation || (incarnation === newest.incarnation && sequence <= newest.sequence)
    );
  }

  /** False while no leader is known that could answer the heartbeat. */
  #tryRoute({ requestId, heartbeat, body }: RoutedHeartbeat): boolean {
    const reply = this.#events.replyAsLeader(heartbeat);
    if (reply) {
      this.#reply(requestId, reply);
      return true;
    }
    const leader = this.#events.leader();
    if (leader === null || leader === this.#ctx.deployment.node) return false;
    // Every node takes heartbeats and forwards them: HTTP is most of what a heartbeat costs, and one node's share of a
    // core can't bear a large cluster's after a change of leader. Agents are redirected only if this node can't forward.
    if (this.#events.isReachablePeer(leader))
      this.#ctx.emit({ kind: "forwardHeartbeat", requestId, to: leader, body });
    else this.#reply(requestId, { kind: "redirect", node: leader });
    return true;
  }

  /** Tries the waiting heartbeats again; those that have waited long enough are redirected to no node in particular. */
  retryWaiting(): void {
    if (this.#waiting.length === 0) return;
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const routed of waiting) {
      if (this.#tryRoute(routed)) continue;
      if (this.#ctx.now < routed.waitUntil) this.#waiting.push(routed);
      else this.#reply(routed.requestId, { kind: "redirect", node: null });
    }
  }

  #reply(requestId: number, reply: HeartbeatReply): void {
    this.#ctx.emit({ kind: "replyToAgent", requestId, reply });
  }

  /** How many agents have lately sent heartbeats to this node. */
  countAgentsHeard(): number {
    for (const [machine, heardAt] of this.#heardAt)
      if (this.#ctx.now - heardAt > HEARD_WITHIN_MS) this.#heardAt.delete(machine);
    return this.#heardAt.size;
  }

  /** Adds the interner's indices that waiting heartbeats carry to those in use. */
  collectIndices(used: { jobs: Set<number>; machines: Set<number> }): void {
    for (const { heartbeat } of this.#waiting) {
      used.machines.add(heartbeat.machine);
      for (const reported of heartbeat.tasks) used.jobs.add(reported.job);
    }
  }

  /** Forgets the newest heartbeats of all but these machines, whose indices may come to stand for others. */
  retainMachines(machines: ReadonlySet<number>): void {
    for (const machine of this.#newest.keys()) if (!machines.has(machine)) this.#newest.delete(machine);
  }
}
