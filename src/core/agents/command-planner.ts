import type { Context } from "../context.js";
import type { Election } from "../election/election.js";
import type { LeaderLease } from "../election/leader-lease.js";
import type { AgentCommand, Heartbeat } from "../messages/agents.js";
import { fencingTokenOf } from "../model/attempt-number.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Machine } from "../model/machine.js";
import type { Placement } from "../model/placement.js";
import type { RecordWriter } from "../store/record-writer.js";

const RESEND_MS = 1000;
/** Starts are sent on knowledge of the job's key no older than this: a few rounds of following it. */
const ALLOWED_MS = 6000;

/** Works out what a worker is to be told: what to start, what to stop, which ended attempts to forget. */
export class CommandPlanner {
  readonly #ctx: Context;
  readonly #leadership: Election;
  readonly #term: LeaderLease;
  readonly #tables: ClusterState;
  readonly #recorder: RecordWriter;
  /** Takes back a placement whose start can no longer be sent under the token of its attempt. */
  readonly #startAnew: (placement: Placement) => void;

  constructor(
    ctx: Context,
    leadership: Election,
    term: LeaderLease,
    tables: ClusterState,
    recorder: RecordWriter,
    startAnew: (placement: Placement) => void,
  ) {
    this.#ctx = ctx;
    this.#leadership = leadership;
    this.#term = term;
    this.#tables = tables;
    this.#recorder = recorder;
    this.#startAnew = startAnew;
  }

  /** The orders a report is answered with; also what a direct command carries. */
  commandsFor(machine: Machine): AgentCommand[] {
    const orders: AgentCommand[] = [];
    const { now } = this.#ctx;
    const { heartbeat: report } = machine;
    const starting = this.#leadership.hasValidLease;
    const { fencingToken: token } = this.#term;
    for (const placement of machine.placements) {
      if (!placement.isRecorded || placement.incarnation !== machine.incarnation) continue;
      const { job, task, attempt } = placement;
      const unseen = placement.observedState === null;
      if (unseen && placement.startSentUnder === 0 && this.#isStale(placement)) {
        // Recorded under a token that was raised before its start was ever sent: begin anew.
        this.#recorder.markDirty(job, task, false);
        this.#startAnew(placement);
        continue;
      }
      // A start is only ever sent under the token its attempt carries: what clearing relies on.
      if (unseen && (fencingTokenOf(attempt) !== token || !starting)) continue;
      if (unseen && !placement.stop && !this.#stillAllowed(placement)) continue;
      if (unseen && now - placement.startSentAt >= (placement.stop ? 0 : RESEND_MS)) {
        placement.startSentAt = now;
        placement.startSentUnder = token;
        orders.push({ kind: "start", job: job.index, task, attempt });
      }
      const { stop } = placement;
      if (
        stop &&
        now - stop.sentAt >= RESEND_MS &&
        !(placement.observedState === "saving" && stop.graceS > 0)
      ) {
        stop.sentAt = now;
        orders.push({ kind: "stop", job: job.index, task, attempt, graceS: stop.graceS });
      }
    }
    if (report && report.incarnation === machine.incarnation) this.#tidy(machine, report, orders);
    return orders;
  }

  /** A start, or its repeat, rests on recent knowledge that its job is not cancelled. */
  #stillAllowed({ notCancelledAsOf: allowedAt }: Placement): boolean {
    return this.#ctx.now - Math.max(allowedAt, this.#leadership.cancellationsKnownThrough) < ALLOWED_MS;
  }

  #isStale({ attempt }: Placement): boolean {
    return (
      fencingTokenOf(attempt) >= this.#term.firstFencingToken &&
      fencingTokenOf(attempt) < this.#term.fencingToken
    );
  }

  /** Starts under way that a raised token would cut off. */
  hasStartsInFlight(): boolean {
    for (const machine of this.#tables.machines.values()) {
      if (machine.isLeaseExpired || machine.phase !== "up") continue;
      for (const p of machine.placements)
        if (p.observedState === null && fencingTokenOf(p.attempt) === this.#term.fencingToken) return true;
    }
    return false;
  }

  /** Strays are stopped; ended attempts are cleared once no start for them can still arrive. */
  #tidy(machine: Machine, report: Heartbeat, orders: AgentCommand[]): void {
    for (const entry of report.tasks) {
      const job = this.#tables.jobs.get(entry.job);
      const placement = job?.placements.get(entry.task);
      const ours = placement?.machine === machine && placement.attempt === entry.attempt;
      // What runs of a job whose record can't be read is ours for all we know.
      if (ours || (job?.hasUnreadableRecord && job.state === "active")) continue;
      const { job: ix, task, attempt } = entry;
      if (entry.state !== "ended") {
        orders.push({ kind: "stop", job: ix, task, attempt, graceS: 0 });
      } else if (
        fencingTokenOf(attempt) < machine.fencingToken &&
        machine.fencingToken === this.#term.fencingToken &&
        !(job && this.#recorder.isDirty(job, task))
      ) {
        // Repeats of starts that were carried out may arrive late; this worker refuses them by their token.
        orders.push({ kind: "acknowledge", job: ix, task, attempt });
      }
    }
  }
}
