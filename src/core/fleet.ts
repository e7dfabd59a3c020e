import { add, ZERO } from "./amount.js";
import type { Context } from "./context.js";
import { DRIFT, type Leadership, type Term } from "./leadership.js";
import type { Recorder } from "./recorder.js";
import { type Job, type Machine, type Placement, type Tables, tokenOf } from "./tables.js";
import type { Cause, Order, Report, ReportAnswer, ReportedTask } from "./types.js";

const DO_RETRY_MS = 1500;
const RESEND_MS = 1000;
const LEASE_MARGIN_MS = 600;
const IMAGE_GUESS_S = 30;
/** Starts are sent on knowledge of the job's key no older than this: a few rounds of following it. */
const ALLOWED_MS = 6000;
/** What was sent is given this long to show, and at least so many report intervals. */
const OWED_MS = 4000;
const OWED_REPORTS = 2.5;
/** So many workers are shown the token in one tick: a new leader of a large fleet must not fall behind its renewals. */
const FENCES_A_TICK = 4;
/** Workers report by themselves; those that have not after so many intervals are shown the token. */
const FENCE_REPORTS = 1.5;

export interface FleetEvents {
  /** A placement is proved gone; the tables no longer hold it. */
  gone(placement: Placement, cause: Cause | "lost"): void;
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
  }

  /** A report that this node answers as leader. */
  answer(report: Report): ReportAnswer {
    const machine = this.#take(report, false);
    if (!machine || this.#leadership.term !== this.#term) return { t: "later" };
    // Every answer renews the lease, also one to a report that a direct answer has overtaken.
    machine.answeredAt = this.#ctx.now;
    const orders = this.loaded ? this.#ordersFor(machine) : [];
    if (this.#owes(machine)) machine.owedSince ??= this.#ctx.now;
    return { t: "orders", token: this.#term.token, orders };
  }

  doAnswered(id: number, report: Report | null, executed: boolean): void {
    const machine = this.#doWaiting.get(id);
    if (!machine) return;
    this.#doWaiting.delete(id);
    machine.doInFlight = false;
    if (report && report.machine === machine.ix) {
      this.#take(report, true);
      if (this.#leadership.term !== this.#term) return;
      // A refusal for another session executed nothing: show the token again, now that the session is known.
      if (!executed && machine.adoptedAt === null && report.session === machine.session) this.fence(machine);
      if (executed) this.#markReachable(machine);
    } else {
      machine.doRetryAt = this.#ctx.now + DO_RETRY_MS;
    }
  }

  /**
   * Takes in a report; what it says counts only if it is newer than what is known. The answer to a direct command is no
   * sign that the worker can report: one that can't gets no work, and loses what it has with its lease.
   */
  #take(report: Report, direct: boolean): Machine | null {
    const { now } = this.#ctx;
    const name = this.#ctx.directory.machines.name(report.machine);
    this.#leadership.sawToken(report.token);
    if (this.#leadership.term !== this.#term) return null;
    // A copy that comes late, after its machine's release, must not bring the machine back.
    const known = this.#tables.machines.has(report.machine);
    if (!known && this.#tables.released.has(name)) return null;
    const machine = this.#tables.machine(name, report, now);
    const newer =
      report.session > machine.session ||
      (report.session === machine.session && report.sequence > machine.sequence);
    if (!newer) return machine;
    if (machine.phase === "booting") {
      machine.phase = "up";
      this.#ctx.log("debug", "machine up", { machine: name, type: machine.typeName, zone: machine.zone });
      this.#events.changed();
    }
    if (report.session > machine.session) {
      machine.sessionSince = now;
      // Its lease ran out although it was answered: the answers don't reach it.
      const answered = now - machine.answeredAt < this.#ctx.deployment.leaseS * 1000;
      if (machine.session > 0 && answered) this.#markUnreachable(machine, "its lease ran out under answers");
    }
    this.#judgeContact(machine, report);
    machine.session = report.session;
    machine.sequence = report.sequence;
    machine.token = report.token;
    if (!direct) {
      machine.heardAt = now;
      if (machine.lost) {
        machine.lost = false;
        this.#events.changed();
      }
    }
    // Only a worker that carries a token of this term has shut out all earlier leaders.
    if (machine.adoptedAt === null) {
      if (report.token >= this.#term.firstToken) {
        machine.adoptedAt = now;
        this.#toFence.delete(machine);
        this.#events.changed();
      }
    }
    if (report.noticeS !== null) {
      if (machine.noticeUntil === null) {
        this.#ctx.log("info", "machine will be taken back", { machine: name, in_s: report.noticeS });
        this.#events.changed();
      }
      machine.noticeUntil = now + report.noticeS * 1000;
    }
    const before = machine.report;
    machine.report = report;
    // Most reports of a large fleet say what the last one said: they cost no more than the comparison.
    if (this.loaded && !(before && saysTheSame(before, report))) this.reconcile(machine);
    return machine;
  }

  /** Is there something that the next reports must show if the worker hears this node? */
  #owes(machine: Machine): boolean {
    if (machine.report && machine.report.token < this.#term.token) return true;
    for (const p of machine.placements) if (p.seen === null && p.sentToken > 0) return true;
    return false;
  }

  /**
   * That a worker reports proves nothing of the other direction: only an effect in a later report does. Answers and
   * commands may be lost while reports arrive; such a machine would be given work for ever that never starts.
   */
  #judgeContact(machine: Machine, report: Report): void {
    const { now, deployment } = this.#ctx;
    const before = machine.report;
    if (before && report.token > before.token) this.#markReachable(machine);
    if (machine.owedSince === null) return;
    const patienceMs = Math.max(OWED_MS, deployment.reportS * OWED_REPORTS * 1000);
    if (now - machine.owedSince > patienceMs) this.#markUnreachable(machine, "nothing sent to it shows");
  }

  #markReachable(machine: Machine): void {
    machine.owedSince = null;
    if (machine.unreachableSince === null) return;
    machine.unreachableSince = null;
    this.#toFence.delete(machine);
    this.#ctx.log("info", "machine is reached again", { machine: machine.name });
    this.#events.changed();
  }

  #markUnreachable(machine: Machine, why: string): void {
    // A harmless order now and then tells when it is reached again.
    if (machine.phase === "up") this.#toFence.add(machine);
    if (machine.unreachableSince !== null) return;
    machine.unreachableSince = this.#ctx.now;
    this.#ctx.log("info", "machine can't be reached", { machine: machine.name, why });
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
      if (report.session > placement.session) {
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
  #provedAbsent(machine: Machine, placement: Placement, report: Report): boolean {
    return (
      machine.adoptedAt !== null && report.token > placement.sentToken && this.#sentOrInherited(placement)
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
    if (before === null && placement.sentToken > 0) this.#markReachable(placement.machine);
    if (entry.state === "ended") {
      this.#gone(placement, entry.cause ?? "error");
      return;
    }
    const { machine, job } = placement;
    const image = machine.images.get(job.spec.image);
    if (entry.state === "fetching") {
      if (!image) this.noteFetch(machine, job, now);
    } else {
      machine.images.set(job.spec.image, { readyAt: now, usedAt: now, gb: job.spec.imageGb });
    }
    if (entry.state === "running" && before !== "running") {
      placement.runningSince ??= now;
      this.#events.started(placement);
    }
  }

  noteFetch(machine: Machine, job: Job, now: number): void {
    const rate = machine.type?.fetchGbPerS ?? 0;
    const seconds = rate > 0 ? job.spec.imageGb / rate : IMAGE_GUESS_S;
    machine.images.set(job.spec.image, { readyAt: now + seconds * 1000, usedAt: now, gb: job.spec.imageGb });
    this.#trimCache(machine);
  }

  /** Workers keep the most recently used images; so do we in what we believe of them. */
  #trimCache(machine: Machine): void {
    let sum = 0;
    for (const image of machine.images.values()) sum += image.gb;
    const limit = machine.type?.cacheGb ?? Number.POSITIVE_INFINITY;
    while (sum > limit) {
      let oldest: string | null = null;
      let at = Number.POSITIVE_INFINITY;
      for (const [name, image] of machine.images) {
        if (image.usedAt < at) {
          at = image.usedAt;
          oldest = name;
        }
      }
      if (oldest === null) return;
      sum -= machine.images.get(oldest)?.gb ?? 0;
      machine.images.delete(oldest);
    }
  }

  #gone(placement: Placement, cause: Cause | "lost"): void {
    this.#tables.unplace(placement, this.#ctx.now);
    this.#events.gone(placement, cause);
  }

  /** The orders a report is answered with; also what a direct command carries. */
  #ordersFor(machine: Machine): Order[] {
    const orders: Order[] = [];
    const { now } = this.#ctx;
    const { report } = machine;
    const starting = this.#leadership.confirmed;
    const { token } = this.#term;
    for (const placement of machine.placements) {
      if (!placement.durable || placement.session !== machine.session) continue;
      const { job, task, attempt } = placement;
      const unseen = placement.seen === null;
      if (unseen && placement.sentToken === 0 && this.#isStale(placement)) {
        // Recorded under a token that was raised before its start was ever sent: begin anew.
        this.#recorder.touch(job, task, false);
        this.#gone(placement, "lost");
        continue;
      }
      // A start is only ever sent under the token its attempt carries: what clearing relies on.
      if (unseen && (tokenOf(attempt) !== token || !starting)) continue;
      if (unseen && !placement.stop && !this.#stillAllowed(placement)) continue;
      if (unseen && now - placement.sentAt >= (placement.stop ? 0 : RESEND_MS)) {
        placement.sentAt = now;
        placement.sentToken = token;
        orders.push({ op: "start", job: job.ix, task, attempt });
      }
      const { stop } = placement;
      if (stop && now - stop.sentAt >= RESEND_MS && !(placement.seen === "saving" && stop.graceS > 0)) {
        stop.sentAt = now;
        orders.push({ op: "stop", job: job.ix, task, attempt, graceS: stop.graceS });
      }
    }
    if (report && report.session === machine.session) this.#tidy(machine, report, orders);
    return orders;
  }

  /** A start, or its repeat, rests on recent knowledge that its job is not cancelled. */
  #stillAllowed({ allowedAt }: Placement): boolean {
    return this.#ctx.now - Math.max(allowedAt, this.#leadership.knownThrough) < ALLOWED_MS;
  }

  #isStale({ attempt }: Placement): boolean {
    return tokenOf(attempt) >= this.#term.firstToken && tokenOf(attempt) < this.#term.token;
  }

  /** Starts under way that a raised token would cut off. */
  startsUnderWay(): boolean {
    for (const machine of this.#tables.machines.values()) {
      if (machine.lost || machine.phase !== "up") continue;
      for (const p of machine.placements)
        if (p.seen === null && tokenOf(p.attempt) === this.#term.token) return true;
    }
    return false;
  }

  /** Strays are stopped; ended attempts are cleared once no start for them can still arrive. */
  #tidy(machine: Machine, report: Report, orders: Order[]): void {
    for (const entry of report.tasks) {
      const job = this.#tables.jobs.get(entry.job);
      const placement = job?.held.get(entry.task);
      const ours = placement?.machine === machine && placement.attempt === entry.attempt;
      // What runs of a job whose record can't be read is ours for all we know.
      if (ours || (job?.unreadable && job.state === "active")) continue;
      const { job: ix, task, attempt } = entry;
      if (entry.state !== "ended") {
        orders.push({ op: "stop", job: ix, task, attempt, graceS: 0 });
      } else if (
        tokenOf(attempt) < machine.token &&
        machine.token === this.#term.token &&
        !(job && this.#recorder.isDirty(job, task))
      ) {
        // Repeats of starts that were carried out may arrive late; this worker refuses them by their token.
        orders.push({ op: "forget", job: ix, task, attempt });
      }
    }
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
      const orders = this.#ordersFor(machine);
      if (orders.length > 0) this.#sendDo(machine, machine.session, orders);
    }
  }

  /** Shows a worker the token at once, so that it adopts this leader without waiting for its next report. */
  fence(machine: Machine): void {
    this.#toFence.add(machine);
  }

  readonly #toFence = new Set<Machine>();

  /** The machines with work on them first: what is to run elsewhere waits for them. */
  #sendFences(): void {
    if (this.#toFence.size === 0) return;
    const { now, deployment } = this.#ctx;
    // A restarted controller with a fleet to hear has no time for what the next reports bring by themselves.
    if (now - this.#term.since < deployment.reportS * FENCE_REPORTS * 1000) return;
    const due = [...this.#toFence]
      .sort((a, b) => b.placements.size - a.placements.size)
      .slice(0, FENCES_A_TICK);
    for (const machine of due) {
      this.#toFence.delete(machine);
      if (machine.doInFlight || now < machine.doRetryAt || machine.address === "") continue;
      this.#sendDo(machine, Math.max(1, machine.session), []);
    }
  }

  #sendDo(machine: Machine, session: number, orders: readonly Order[]): void {
    const id = this.#ctx.nextId();
    machine.doInFlight = true;
    this.#doWaiting.set(id, machine);
    this.#ctx.emit({
      t: "do",
      id,
      machine: machine.ix,
      address: machine.address,
      token: this.#term.token,
      session,
      orders,
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

  /** Each tick: the next few workers that are to be shown the token. */
  greet(): void {
    if (this.loaded) this.#sendFences();
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
function saysTheSame(before: Report, { session, token, tasks }: Report): boolean {
  if (before.session !== session || before.token !== token || before.tasks.length !== tasks.length)
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
