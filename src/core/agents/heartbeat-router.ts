import type { Context } from "../context.js";
import type { Heartbeat, HeartbeatReply } from "../messages/agents.js";

/** How long a heartbeat waits for a leader to become known. Agents time out after 4 s. */
const LEADER_WAIT_MS = 2000;
/** Agents whose last heartbeat arrived within this time count as active. */
const ACTIVE_AGENT_WINDOW_MS = 3500;

/** Queries from {@link HeartbeatRouter} about the election and the peers. */
export interface HeartbeatRouterCallbacks {
  /** Returns the reply if this node leads and may reply, else null. */
  replyAsLeader(heartbeat: Heartbeat): HeartbeatReply | null;
  /** True if this node leads. */
  isLeader(): boolean;
  /** Returns the current leader according to the key-value store; null if none is known. */
  leader(): string | null;
  /** True for a peer that heartbeats can be forwarded to. */
  isReachablePeer(node: string): boolean;
}

interface RoutedHeartbeat {
  readonly requestId: number;
  readonly heartbeat: Heartbeat;
  /** The heartbeat as received, to be forwarded unchanged. */
  readonly body: unknown;
  /** The time until which it may wait for a leader. */
  readonly waitUntil: number;
}

interface HeartbeatPosition {
  readonly incarnation: number;
  readonly sequence: number;
}

/**
 * Handles agents' heartbeats on every node: answers them if this node leads, otherwise forwards them to the leader or
 * redirects the agent to it. Every request gets exactly one reply.
 */
export class HeartbeatRouter {
  readonly #ctx: Context;
  readonly #callbacks: HeartbeatRouterCallbacks;
  /** The newest heartbeat that this node received from each agent, by machine; older copies are stale. */
  readonly #newest = new Map<number, HeartbeatPosition>();
  /** When this node last received a new heartbeat from each agent, by machine, whether or not it could be answered. */
  readonly #lastHeartbeatAt = new Map<number, number>();
  /** Heartbeats that wait for a leader to become known. */
  #waiting: RoutedHeartbeat[] = [];

  constructor(ctx: Context, callbacks: HeartbeatRouterCallbacks) {
    this.#ctx = ctx;
    this.#callbacks = callbacks;
  }

  /**
   * Routes a heartbeat. If no leader is known, the heartbeat waits for one.
   *
   * @param requestId The agent's request, which gets one reply.
   * @param heartbeat The decoded heartbeat.
   * @param body The heartbeat as received, to be forwarded.
   */
  route(requestId: number, heartbeat: Heartbeat, body: unknown): void {
    const { machine, incarnation, sequence } = heartbeat;
    if (!this.#isStale(heartbeat)) {
      this.#newest.set(machine, { incarnation, sequence });
      this.#lastHeartbeatAt.set(machine, this.#ctx.now);
    } else if (!this.#callbacks.isLeader()) {
      this.#reply(requestId, { kind: "unavailable" });
      return;
    }
    const routed = { requestId, heartbeat, body, waitUntil: this.#ctx.now + LEADER_WAIT_MS };
    if (!this.#tryRoute(routed)) this.#waiting.push(routed);
  }

  /** True if the heartbeat is not newer than the newest one that this node has received from the agent (I4). */
  #isStale({ machine, incarnation, sequence }: Heartbeat): boolean {
    const newest = this.#newest.get(machine);
    if (newest === undefined) return false;
    return (
      incarnation < newest.incarnation || (incarnation === newest.incarnation && sequence <= newest.sequence)
    );
  }

  /** Answers, forwards or redirects the heartbeat. Returns false if no leader is known that could answer it. */
  #tryRoute({ requestId, heartbeat, body }: RoutedHeartbeat): boolean {
    const reply = this.#callbacks.replyAsLeader(heartbeat);
    if (reply) {
      this.#reply(requestId, reply);
      return true;
    }
    const leader = this.#callbacks.leader();
    if (leader === null || leader === this.#ctx.deployment.node) return false;
    // Every node accepts heartbeats and forwards them to the leader. Most of a heartbeat's cost is HTTP handling, and
    // one node's share of a CPU core cannot carry that for a large cluster after a failover. Agents are redirected only
    // if this node cannot forward.
    if (this.#callbacks.isReachablePeer(leader))
      this.#ctx.emit({ kind: "forwardHeartbeat", requestId, to: leader, body });
    else this.#reply(requestId, { kind: "redirect", node: leader });
    return true;
  }

  /** Retries the waiting heartbeats. Those whose wait has expired are redirected without naming a node. */
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

  /** Returns the number of agents that recently sent a heartbeat to this node. */
  countActiveAgents(): number {
    for (const [machine, lastHeartbeatAt] of this.#lastHeartbeatAt)
      if (this.#ctx.now - lastHeartbeatAt > ACTIVE_AGENT_WINDOW_MS) this.#lastHeartbeatAt.delete(machine);
    return this.#lastHeartbeatAt.size;
  }

  /** Adds the interner indices in waiting heartbeats to `used`, so that they are not reused. */
  collectIndices(used: { jobs: Set<number>; machines: Set<number> }): void {
    for (const { heartbeat } of this.#waiting) {
      used.machines.add(heartbeat.machine);
      for (const reported of heartbeat.tasks) used.jobs.add(reported.job);
    }
  }

  /** Removes the newest heartbeat of each machine that is not in `machines`, as its index may be reused. */
  retainMachines(machines: ReadonlySet<number>): void {
    for (const machine of this.#newest.keys()) if (!machines.has(machine)) this.#newest.delete(machine);
  }
}
