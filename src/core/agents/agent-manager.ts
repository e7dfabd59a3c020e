import type { Context } from "../context.js";
import type { Leadership } from "../election/election.js";
import type { Term } from "../election/leader-lease.js";
import { DRIFT } from "../election/lease-renewal-policy.js";
import type { AgentCommand, Heartbeat, HeartbeatReply, ReportedTask } from "../messages/agents.js";
import { tokenOf } from "../model/attempt-number.js";
import type { Tables } from "../model/cluster-state.js";
import type { ExitReason } from "../model/job-spec.js";
import type { Machine } from "../model/machine.js";
import type { Placement } from "../model/placement.js";
import { add, ZERO } from "../model/resources.js";
import { noteFetch, noteImage } from "../scheduling/image-caches.js";
import type { Recorder } from "../store/record-writer.js";
import { WorkerOrders } from "./command-planner.js";
import { Fencing } from "./fencing-queue.js";
import { Contact } from "./reachability-tracker.js";

const DO_RETRY_MS = 1500;
const LEASE_MARGIN_MS = 600;

export interface FleetEvents {
  /** A placement is proved gone; the tables no longer hold it. */
  gone(placement: Placement, cause: ExitReason | "lost"): void;
  /** A replica or task was seen running for the first time. */
  started(placement: Placement): void;
  changed(): void;
}

/** The dealings with workers: reports in, orders out, and the proofs that a task is gone. */
export class Fleet {
  readonly #ctx: Context;
  readonly #leadership: Leadership;
  readonly #term: Term;
  readonly #tables: Tables;
  readonly #recorder: Recorder;
  readonly #events: FleetEvents;
  readonly #fencing: Fencing;
  readonly #contact: Contact;
  readonly #orders: WorkerOrders;
  readonly #doWaiting = new Map<number, Machine>();
  /** Machines with orders to send at the end of this batch. */
  readonly #wanting = new Set<Machine>();
  /** False until the records are read: until then reports are answered but not acted on. */
  loaded = false;
  /** Counts reports that were compared with what is placed: the others said nothing new. */
  reconciled = 0;

  constructor(
    ctx: Context,
    leadership: Leadership,
    term: Term,
    tables: Tables,
    recorder: Recorder,
    events: FleetEvents,
  ) {
    this.#ctx = ctx;
    this.#leadership = leadership;
    this.#term = term;
    this.#tables = tables;
    this.#recorder = recorder;
    this.#events = events;
    this.#fencing = new Fencing(ctx, term, (machine) => {
      this.#sendDo(machine, Math.max(1, machine.session), []);
    });
    this.#orders = new WorkerOrders(ctx, leadership, term, tables, recorder, (placement) => {
      this.#gone(placement, "lost");
    });
    this.#contact = new Contact(ctx, term, this.#fencing, () => events.changed());
  }

  /** A report that this node answers as leader. */
  answer(report: Heartbeat): HeartbeatReply {
    const machine = this.#take(report, false);
    if (!machine || this.#leadership.term !== this.#term) return { kind: "unavailable" };
    // Every answer renews the lease, also one to a report that a direct answer has overtaken.
    machine.answeredAt = this.#ctx.now;
    const orders = this.loaded ? this.#orders.for(machine) : [];
    this.#contact.answered(machine);
    return { kind: "commands", fencingToken: this.#term.token, commands: orders };
  }

  doAnswered(id: number, report: Heartbeat | null, executed: boolean): void {
    const machine = this.#doWaiting.get(id);
    if (!machine) return;
    this.#doWaiting.delete(id);
    machine.doInFlight = false;
    if (report && report.machine === machine.ix) {
      this.#take(report, true);
      if (this.#leadership.term !== this.#term) return;
      // A refusal for another session executed nothing: show the token again, now that the session is known.
      if (!executed && machine.adoptedAt === null && report.incarnation === machine.session)
        this.fence(machine);
      if (executed) this.#contact.markReachable(machine);
    } else {
      machine.doRetryAt = this.#ctx.now + DO_RETRY_MS;
    }
  }

  /**
   * Takes in a report; what it says counts only if it is newer than what is known. The answer to a direct command is no
   * sign that the worker can report: one that can't gets no work, and loses what it has with its lease.
   */
  #take(report: Heartbeat, direct: boolean): Machine | null {
    const { now } = this.#ctx;
    const name = this.#ctx.directory.machines.name(report.machine);
    this.#leadership.sawToken(report.fencingToken);
    if (this.#leadership.term !== this.#term) return null;
    // A copy that comes late, after its machine's release, must not bring the machine back.
    const known = this.#tables.machines.has(report.machine);
    if (!known && this.#tables.released.has(name)) return null;
    const machine = this.#tables.machine(name, report, now);
    const newer =
      report.incarnation > machine.session ||
      (report.incarnation === machine.session && report.sequence > machine.sequence);
    if (!newer) return machine;
    if (machine.phase === "booting") {
      machine.phase = "up";
      this.#ctx.log("debug", "machine up", { machine: name, type: machine.typeName, zone: machine.zone });
      this.#events.changed();
    }
    if (report.incarnation > machine.session) {
      machine.sessionSince = now;
      // Its lease ran out although it was answered: the answers don't reach it.
      const answered = now - machine.answeredAt < this.#ctx.deployment.leaseS * 1000;
      if (machine.session > 0 && answered)
        this.#contact.markUnreachable(machine, "its lease ran out under answers");
    }
    this.#contact.judge(machine, report);
    machine.session = report.incarnation;
    machine.sequence = report.sequence;
    machine.token = report.fencingToken;
    if (!direct) {
      machine.heardAt = now;
      if (machine.lost) {
        machine.lost = false;
        this.#events.changed();
      }
    }
    // Only a worker that carries a token of this term has shut out all earlier leaders.
    if (machine.adoptedAt === null) {
      if (report.fencingToken >= this.#term.firstToken) {
        machine.adoptedAt = now;
        this.#fencing.remove(machine);
        this.#events.changed();
      }
    }
    if (report.reclaimNoticeS !== null) {
      if (machine.noticeUntil === null) {
        this.#ctx.log("info", "machine will be taken back", { machine: name, in_s: report.reclaimNoticeS });
        this.#events.changed();
      }
      machine.noticeUntil = now + report.reclaimNoticeS * 1000;
    }
    const before = machine.report;
    machine.report = report;
    // Most reports of a large fleet say what the last one said: they cost no more than the comparison.
    if (this.loaded && !(before && saysTheSame(before, report))) this.reconcile(machine);
    return machine;
  }

  /** Compares what a worker reports with what is placed there. */
  reconcile(machine: Machine): void {
    const { report } = machine;
    if (!report) return;
    this.reconciled++;
    const reported = new Map<number, Map<number, ReportedTask>>();
    for (const entry of report.tasks) {
      let tasks = reported.get(entry.job);
      if (!tasks) {
        tasks = new Map();
        reported.set(entry.job, tasks);
      }
      const other = tasks.get(entry.task);
      // An ended attempt may still be listed beside its successor.
      if (!other || other.state === "ended") tasks.set(entry.task, entry);
    }
    let stray = ZERO;
    for (const placement of [...machine.placements]) {
      const entry = reported.get(placement.job.ix)?.get(placement.task);
      if (report.incarnation > placement.session) {
        this.#gone(placement, "lost");
      } else if (entry && entry.attempt === placement.attempt) {
        this.#seen(placement, entry);
      } else if (placement.durable && this.#provedAbsent(machine, placement, report)) {
        this.#gone(placement, "lost");
      }
    }
    for (const entry of report.tasks) {
      if (entry.state === "ended") continue;
      const job = this.#tables.jobs.get(entry.job);
      const placement = job?.held.get(entry.task);
      if (placement && placement.machine === machine && placement.attempt === entry.attempt) continue;
      if (job) stray = add(stray, job.spec.need);
    }
    machine.strayUse = stray;
  }

  /**
   * "Not in the report" proves nothing while a start may be on its way. A start sent under an older token
   * than the worker carries can no longer be executed.
   */
  #provedAbsent(machine: Machine, placement: Placement, report: Heartbeat): boolean {
    return (
      machine.adoptedAt !== null &&
      report.fencingToken > placement.sentToken &&
      this.#sentOrInherited(placement)
    );
  }

  /** A placement of this term whose start was never sent is not absent: it is yet to be started. */
  #sentOrInherited(placement: Placement): boolean {
    return placement.sentToken > 0 || tokenOf(placement.attempt) < this.#term.firstToken;
  }

  #seen(placement: Placement, entry: ReportedTask): void {
    const { now } = this.#ctx;
    const before = placement.seen;
    placement.seen = entry.state;
    if (before === null && placement.sentToken > 0) this.#contact.markReachable(placement.machine);
    if (entry.state === "ended") {
      this.#gone(placement, entry.exitReason ?? "error");
      return;
    }
    const { machine, job } = placement;
    const image = machine.images.get(job.spec.image);
    if (entry.state === "fetching") {
      if (!image) noteFetch(this.#ctx, machine, job);
    } else {
      noteImage(this.#ctx, machine, job);
    }
    if (entry.state === "running" && before !== "running") {
      placement.runningSince ??= now;
      this.#events.started(placement);
    }
  }

  #gone(placement: Placement, cause: ExitReason | "lost"): void {
    this.#tables.unplace(placement, this.#ctx.now);
    this.#events.gone(placement, cause);
  }

  /** Starts under way that a raised token would cut off. */
  startsUnderWay(): boolean {
    return this.#orders.startsUnderWay();
  }

  /** Asks for a task to be stopped; one that was never sent, on record or not, is simply taken back. */
  stop(placement: Placement, graceS: number, why: string): void {
    if (placement.sentToken === 0 && tokenOf(placement.attempt) >= this.#term.firstToken) {
      this.#tables.unplace(placement, this.#ctx.now);
      this.#recorder.touch(placement.job, placement.task, false);
      this.#events.gone(placement, "stopped");
      return;
    }
    const { stop } = placement;
    if (stop && stop.graceS <= graceS) return;
    placement.stop = {
      graceS,
      at: stop?.at ?? this.#ctx.now,
      sentAt: Number.NEGATIVE_INFINITY,
      why,
    };
    this.want(placement.machine);
  }

  /** Sends what there is for this machine directly, at the end of this batch. */
  want(machine: Machine): void {
    this.#wanting.add(machine);
  }

  sendWanted(): void {
    const { now } = this.#ctx;
    for (const machine of this.#wanting) {
      // Those that wait for an answer or for another try stay in the set.
      if (machine.doInFlight || now < machine.doRetryAt) continue;
      this.#wanting.delete(machine);
      if (machine.phase !== "up" || machine.session === 0) continue;
      const orders = this.#orders.for(machine);
      if (orders.length > 0) this.#sendDo(machine, machine.session, orders);
    }
  }

  #sendDo(machine: Machine, session: number, orders: readonly AgentCommand[]): void {
    const id = this.#ctx.nextId();
    machine.doInFlight = true;
    this.#doWaiting.set(id, machine);
    this.#ctx.emit({
      kind: "sendAgentCommands",
      id,
      machine: machine.ix,
      address: machine.address,
      fencingToken: this.#term.token,
      incarnation: session,
      commands: orders,
    });
  }

  /** The time from which a silent worker has killed its tasks: proof by lease. */
  #leaseOverAt(machine: Machine): number {
    const leaseMs = this.#ctx.deployment.leaseS * 1000 * DRIFT + LEASE_MARGIN_MS;
    // A session has its full lease from its beginning, whether or not a report of it was ever answered:
    // judged by the answers alone, a worker that had just come back was taken for dead.
    const heard = Math.max(machine.answeredAt, machine.sessionSince);
    if (machine.adoptedAt !== null) return Math.max(heard, machine.adoptedAt) + leaseMs;
    // Not adopted: an earlier leader may have answered it up to the end of its hold. Also where this node follows an
    // earlier incarnation of itself: the leader before that one may still be in its hold.
    return Math.max(this.#term.formerUntil, heard) + leaseMs;
  }

  /** Shows a worker the token soon, so that it adopts this leader without waiting for its next report. */
  fence(machine: Machine): void {
    this.#fencing.add(machine);
  }

  /** Each tick: the next few workers that are to be shown the token. */
  greet(): void {
    if (this.loaded) this.#fencing.tick();
  }

  tick(): void {
    if (!this.loaded) return;
    const { now } = this.#ctx;
    for (const machine of this.#tables.machines.values()) {
      if (machine.phase !== "booting" && !machine.lost && now >= this.#leaseOverAt(machine)) {
        this.dropAll(machine, "its lease is over");
      }
    }
  }

  /** Every task on this machine is proved gone. */
  dropAll(machine: Machine, why: string): void {
    machine.lost = true;
    machine.strayUse = ZERO;
    const placements = [...machine.placements];
    this.#ctx.log("info", "machine lost", { machine: machine.name, why, tasks: placements.length });
    for (const placement of placements) this.#gone(placement, "lost");
    this.#events.changed();
  }
}

/** True if a report tells nothing that the one before did not tell. */
function saysTheSame(
  before: Heartbeat,
  { incarnation: session, fencingToken: token, tasks }: Heartbeat,
): boolean {
  if (before.incarnation !== session || before.fencingToken !== token || before.tasks.length !== tasks.length)
    return false;
  return tasks.every((entry, i) => {
    const other = before.tasks[i];
    return (
      other !== undefined &&
      other.job === entry.job &&
      other.task === entry.task &&
      other.attempt === entry.attempt &&
      other.state === entry.state
    );
  });
}
