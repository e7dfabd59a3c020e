import type { Context } from "../context.js";
import type { Heartbeat, HeartbeatReply } from "../messages/agents.js";

/** Without a leader a report waits this long for one: workers give up after 4 s. */
const HOLD_REPORT_MS = 2000;
/** Workers that have reported within so long count as heard. */
const HEARD_MS = 3500;

export interface HeartbeatRouterEvents {
  /** The answer, if this node leads and may give one. */
  replyAsLeader(report: Heartbeat): HeartbeatReply | null;
  isLeader(): boolean;
  /** The node that leads, by the state service. */
  leader(): string | null;
  /** True for a peer that reports can be passed on to. */
  isReachablePeer(node: string): boolean;
}

interface Waiting {
  readonly req: number;
  readonly report: Heartbeat;
  readonly raw: unknown;
  readonly until: number;
}

/** Workers' reports on any node: answered by the leader, passed on to it, or sent on to another node. */
export class HeartbeatRouter {
  readonly #ctx: Context;
  readonly #events: HeartbeatRouterEvents;
  /** The newest report of each worker that came to this node: a copy that comes late says nothing of where it is. */
  readonly #newest = new Map<number, { session: number; sequence: number }>();
  /** Workers that have lately reported to this node, whether or not it could answer them. */
  readonly #reporters = new Map<number, number>();
  #waiting: Waiting[] = [];

  constructor(ctx: Context, events: HeartbeatRouterEvents) {
    this.#ctx = ctx;
    this.#events = events;
  }

  route(req: number, report: Heartbeat, raw: unknown): void {
    const { machine, incarnation: session, sequence } = report;
    if (!this.#isLate(report)) {
      this.#newest.set(machine, { session, sequence });
      this.#reporters.set(machine, this.#ctx.now);
    } else if (!this.#events.isLeader()) {
      this.#ctx.emit({ kind: "replyToAgent", requestId: req, reply: { kind: "unavailable" } });
      return;
    }
    const waiting = { req, report, raw, until: this.#ctx.now + HOLD_REPORT_MS };
    if (!this.#try(waiting)) this.#waiting.push(waiting);
  }

  #isLate({ machine, incarnation: session, sequence }: Heartbeat): boolean {
    const newest = this.#newest.get(machine);
    if (newest === undefined) return false;
    return session < newest.session || (session === newest.session && sequence <= newest.sequence);
  }

  /** False while no leader is known that the report could be answered by, sent to or passed on to. */
  #try({ req, report, raw }: Waiting): boolean {
    const answer = this.#events.replyAsLeader(report);
    if (answer) {
      this.#ctx.emit({ kind: "replyToAgent", requestId: req, reply: answer });
      return true;
    }
    const leader = this.#events.leader();
    if (leader === null || leader === this.#ctx.deployment.node) return false;
    // Every node takes reports and passes them on: HTTP is most of what a report costs, and one node's share of a
    // core can't bear a large fleet's after a change of leader. A worker goes to the leader if this node can't.
    if (this.#events.isReachablePeer(leader))
      this.#ctx.emit({ kind: "forwardHeartbeat", requestId: req, to: leader, body: raw });
    else this.#ctx.emit({ kind: "replyToAgent", requestId: req, reply: { kind: "redirect", node: leader } });
    return true;
  }

  retryWaiting(): void {
    if (this.#waiting.length === 0) return;
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const entry of waiting) {
      if (this.#try(entry)) continue;
      if (this.#ctx.now < entry.until) this.#waiting.push(entry);
      else {
        const answer = { kind: "redirect", node: null } as const;
        this.#ctx.emit({ kind: "replyToAgent", requestId: entry.req, reply: answer });
      }
    }
  }

  countAgentsHeard(): number {
    for (const [machine, at] of this.#reporters)
      if (this.#ctx.now - at > HEARD_MS) this.#reporters.delete(machine);
    return this.#reporters.size;
  }

  /** Adds the indices that waiting reports carry. */
  collectIndices(used: { jobs: Set<number>; machines: Set<number> }): void {
    for (const { report } of this.#waiting) {
      used.machines.add(report.machine);
      for (const entry of report.tasks) used.jobs.add(entry.job);
    }
  }

  retainMachines(machines: ReadonlySet<number>): void {
    for (const machine of this.#newest.keys()) if (!machines.has(machine)) this.#newest.delete(machine);
  }
}
