import { RoundRobinTurns } from "../../admission/round-robin-turns.js";
import type { AgentManager } from "../agents/agent-manager.js";
import type { Context, TimeBudget } from "../context.js";
import type { LeaderLease } from "../election/leader-lease.js";
import { attemptNumber, isValidCounter } from "../model/attempt-number.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import type { Machine } from "../model/machine.js";
import type { Placement } from "../model/placement.js";
import { add, NO_RESOURCES, times } from "../model/resources.js";
import type { RecordWriter } from "../store/record-writer.js";
import { FeasibleMachines } from "./feasible-machines.js";
import { findGuaranteedJobs } from "./guaranteed-quota.js";
import { recordImageFetch } from "./image-caches.js";
import { NegativeFitCache } from "./negative-fit-cache.js";
import { Preemption } from "./preemption.js";
import {
  isDeadlineAtRisk,
  isPreemptionDeferred,
  isStarving,
  mayPreempt,
  sortQueue,
  startObjectiveS,
} from "./queue-order.js";
import { Reservations } from "./reservations.js";

/** Fetches may take a third longer than the catalogue says. */
const FETCH_SPREAD = 1.35;
/** What a free machine more in a zone weighs, in seconds of delay, when a gang's zone is chosen. */
const ZONE_FILL_S = 0.5;
const AGED_PART = 4;
/** A service without its image anywhere brings it to so many machines at once. */
const FETCHERS = 4;
/** What began because of its age is left alone so long. */
const SPARED_MS = 60_000;

export interface BlockedJob {
  readonly job: Job;
  readonly count: number;
  readonly isWithinGuarantee: boolean;
}

/** Decides what runs where: rounds over the waiting jobs that stop when their time is spent and go on later. */
export class Scheduler {
  readonly #ctx: Context;
  readonly #term: LeaderLease;
  readonly #tables: ClusterState;
  readonly #recorder: RecordWriter;
  #counter = 0;
  #counterToken = 0;
  /** Where an interrupted round goes on. */
  #resume: { readonly queue: readonly BlockedJob[]; at: number } | null = null;
  readonly feasibleMachines: FeasibleMachines;
  readonly #failedFits: NegativeFitCache;
  readonly #reservations: Reservations;
  readonly preemption: Preemption;
  /** Work of the last full round that found no place. */
  blocked: BlockedJob[] = [];
  #found: BlockedJob[] = [];
  interruptedRounds = 0;
  /** Null where turns don't count. */
  readonly turns: RoundRobinTurns | null;

  constructor(
    ctx: Context,
    term: LeaderLease,
    tables: ClusterState,
    fleet: AgentManager,
    recorder: RecordWriter,
  ) {
    this.#ctx = ctx;
    this.#term = term;
    this.#tables = tables;
    this.#recorder = recorder;
    this.turns = ctx.hasFairTurns ? new RoundRobinTurns() : null;
    this.#failedFits = new NegativeFitCache(ctx);
    this.#reservations = new Reservations(ctx);
    this.feasibleMachines = new FeasibleMachines(ctx, tables);
    this.preemption = new Preemption(ctx, tables, fleet, (job, below) =>
      this.feasibleMachines.findFor(job, below),
    );
  }

  /** False when the time was spent before the end: call again. */
  runRound(budget: TimeBudget): boolean {
    const resume = this.#resume ?? { queue: this.#queue(), at: 0 };
    if (this.#resume === null) this.#found = [];
    this.#resume = null;
    const { queue } = resume;
    this.#failedFits.clear();
    this.feasibleMachines.beginRound(queue.map(({ job }) => job));
    for (let i = resume.at; i < queue.length; i++) {
      if (i > resume.at && budget.isSpent()) {
        this.#resume = { queue, at: i };
        this.interruptedRounds++;
        return false;
      }
      const entry = queue[i];
      if (entry) this.#serve(entry);
    }
    this.blocked = this.#found;
    return true;
  }

  #queue(): BlockedJob[] {
    const { now } = this.#ctx;
    const jobs = [...this.#tables.jobs.values()]
      .filter((job) => job.state === "active" && job.dependenciesSatisfied && !job.isComplete)
      .sort((a, b) => a.queuedSince - b.queuedSince || (a.uid < b.uid ? -1 : 1));
    const guaranteed = findGuaranteedJobs(this.#ctx.deployment.teams, jobs);
    this.preemption.guaranteed = guaranteed;
    const waiting = jobs.filter((job) => {
      if (job.pending === 0 || job.isFinalRecordQueued) return false;
      if (job.hasUnreadableRecord) this.#waits(job, "a record of it can't be read");
      else if (job.backoffUntil > now) this.#waits(job, "it failed and is tried again later");
      return !job.hasUnreadableRecord && job.backoffUntil <= now;
    });
    const places = this.#giveTurns(waiting);
    return sortQueue(this.#ctx, waiting, guaranteed, places).map((job) => ({
      job,
      count: job.pending,
      isWithinGuarantee: guaranteed.has(job),
    }));
  }

  /** Tells the jobs whose turn it is, and returns the places of all in their lines. */
  #giveTurns(waiting: readonly Job[]): ReadonlyMap<Job, number> {
    if (!this.turns) return new Map();
    const { settings, wallMs } = this.#ctx;
    const due = this.turns.due(waiting, settings.admission_turn_s * 1000, wallMs);
    for (const job of waiting) job.hasRoundRobinTurn = due.has(job);
    return this.turns.places(waiting);
  }

  /** Notes for the operators why a job waits; one that has waited long is told of in the log, once for each reason. */
  #waits(job: Job, why: string): void {
    if (isStarving(this.#ctx, job) && !job.loggedReasons.has(why)) {
      job.loggedReasons.add(why);
      const waitedS = Math.round((this.#ctx.wallMs - job.queuedSince) / 1000);
      this.#ctx.log("info", "job still waits", { job: job.uid, why, waited_s: waitedS });
    }
    job.pendingReason = why;
  }

  #serve(entry: BlockedJob): void {
    const { job } = entry;
    if (job.state !== "active" || job.pending === 0) return;
    job.pendingReason = null;
    // An array that goes first only because of its age begins with a part: it must not hold up all others.
    const aged = isStarving(this.#ctx, job);
    const most = aged && job.spec.shape === "array" ? Math.ceil(job.pending / AGED_PART) : job.pending;
    const allowed = Math.min(most, this.tasksWithinQuota(job));
    if (job.spec.shape === "gang") {
      // All tasks at once, and nothing of the former attempt may be left.
      if (job.placements.size > 0) {
        this.#waits(job, "its former attempt has not ended everywhere");
        return;
      }
      if (allowed < job.spec.tasks) {
        this.#waits(job, "the limit of its team");
        // Smaller jobs would take each bit of the team's limit that comes free, for ever.
        if (aged) this.#reservations.reserveQuota(job);
        return;
      }
      this.#serveGang(entry);
      return;
    }
    if (allowed === 0) {
      this.#waits(job, "the limit of its team");
      return;
    }
    const placed = this.#placeMany(job, allowed);
    if (placed < allowed) this.#noPlace(entry, allowed - placed);
  }

  /**
   * Images of gangs are large: fetching one can take longer than the start may. So machines that have it, or can have it
   * in time, come first, lesser work making room on them; only then any other.
   */
  #serveGang(entry: BlockedJob): void {
    const { job } = entry;
    const { now } = this.#ctx;
    const withinS = startObjectiveS(this.#ctx, job);
    const leftS = withinS === null ? 0 : withinS - (this.#ctx.wallMs - job.queuedSince) / 1000;
    const knownToFail = this.#failedFits.has(job, job.spec.tasks);
    if (leftS > 0) {
      const quick = (machine: Machine) =>
        this.feasibleMachines.imageWaitS(job, machine) * FETCH_SPREAD <= leftS;
      if (!knownToFail && this.#placeGang(job, quick)) return;
      if ((job.imageWaitUntil ?? 0) > now) return;
      if (
        job.imageWaitUntil === null &&
        this.preemption.preemptFor(job, job.spec.tasks, entry.isWithinGuarantee, quick, null) > 0
      ) {
        job.imageWaitUntil = job.preemptionUntil;
        return;
      }
    }
    if (!knownToFail) {
      if (this.#placeGang(job, () => true)) return;
      if (!this.feasibleMachines.isJobSpecific) this.#failedFits.add(job, job.spec.tasks);
    }
    this.#noPlace(entry, job.spec.tasks);
  }

  #noPlace(entry: BlockedJob, count: number): void {
    const { job } = entry;
    job.blockedSince ??= this.#ctx.now;
    this.#waits(job, job.preemptionUntil > this.#ctx.now ? "room is being made" : "no machine has room");
    this.#found.push({ job, count, isWithinGuarantee: entry.isWithinGuarantee });
    if (mayPreempt(this.#ctx, job) || (entry.isWithinGuarantee && !isPreemptionDeferred(this.#ctx, job))) {
      this.preemption.preemptFor(job, count, entry.isWithinGuarantee, () => true, null);
    }
    if (job.spec.shape !== "gang" || job.spec.tasks === 1) return;
    const aged = isStarving(this.#ctx, job);
    if (aged || isDeadlineAtRisk(this.#ctx, job))
      this.#reservations.reserveZone(job, aged, this.feasibleMachines.findFor(job));
  }

  /** How many more tasks of this job its team's limit allows. */
  tasksWithinQuota(job: Job): number {
    const team = this.#ctx.deployment.teams.find((t) => t.name === job.spec.team);
    if (!team) return 0;
    const use = add(
      this.#tables.teamUsage.get(team.name) ?? NO_RESOURCES,
      this.#reservations.reservedQuota(job),
    );
    const { need } = job.spec;
    let n = Number.POSITIVE_INFINITY;
    if (need.cpu > 0) n = Math.min(n, Math.floor((team.limit.cpu - use.cpu) / need.cpu));
    if (need.gpu > 0) n = Math.min(n, Math.floor((team.limit.gpu - use.gpu) / need.gpu));
    return Math.max(0, n);
  }

  #placeMany(job: Job, count: number): number {
    const withinS = startObjectiveS(this.#ctx, job);
    if (withinS === null) return this.#fillAny(job, count);
    const leftS = withinS - (this.#ctx.wallMs - job.queuedSince) / 1000;
    // Where a start must be quick the image has to be there already, and it is worth stopping lesser work for that.
    const quick = (machine: Machine) => this.feasibleMachines.imageWaitS(job, machine) <= withinS;
    let placed = this.#failedFits.has(job, 1) ? 0 : this.#fill(job, count, quick);
    if (placed < count && mayPreempt(this.#ctx, job)) {
      placed += this.preemption.preemptFor(job, count - placed, false, quick, Math.max(0, leftS));
    }
    if (placed < count) placed += this.#fillAny(job, count - placed);
    return placed;
  }

  #fillAny(job: Job, count: number): number {
    if (this.#failedFits.has(job, 1)) return 0;
    const placed = this.#fill(job, count, () => true);
    if (placed < count && !this.feasibleMachines.isJobSpecific) this.#failedFits.add(job, 1);
    return placed;
  }

  #fill(job: Job, count: number, suits: (machine: Machine) => boolean): number {
    let placed = 0;
    const { oneZone, spread, tasks, shape, image } = job.spec;
    const machines = this.feasibleMachines.findRankedFor(job).filter(suits);
    const zoneCap = spread ? Math.ceil(tasks / 2) : Number.POSITIVE_INFINITY;
    let onlyZone: string | null = null;
    if (oneZone) {
      for (const p of job.placements.values()) onlyZone ??= p.machine.zone;
      onlyZone ??= machines[0]?.zone ?? null;
    }
    for (const machine of machines) {
      if (placed >= count) break;
      if (onlyZone !== null && machine.zone !== onlyZone) continue;
      // Placing on one machine may have used up what can be spared of its kind.
      if (placed > 0 && this.feasibleMachines.wouldWasteGpus(job, machine)) continue;
      let n = Math.min(count - placed, times(job.spec.need, machine.freeCapacity()));
      if (spread) n = Math.min(n, zoneCap - job.countInZone(machine.zone));
      if (shape === "service" && !machine.images.has(image)) n = Math.min(n, Math.ceil(tasks / FETCHERS));
      for (; n > 0; n--) {
        const task = job.nextPending();
        if (task === null || !this.#hasAttempts()) return placed;
        this.placeTask(job, task, machine);
        placed++;
      }
    }
    return placed;
  }

  #placeGang(job: Job, suits: (machine: Machine) => boolean): boolean {
    const { need, tasks, oneZone, spread } = job.spec;
    const ranked = this.feasibleMachines.findRankedFor(job).filter(suits);
    const zones = oneZone ? [...new Set(ranked.map((machine) => machine.zone))] : [null];
    let best: { slots: Machine[]; cost: number } | null = null;
    for (const zone of zones) {
      const slots: Machine[] = [];
      const perZone = new Map<string, number>();
      let cost = 0;
      for (const machine of ranked) {
        if (zone !== null && machine.zone !== zone) continue;
        let n = Math.min(tasks - slots.length, times(need, machine.freeCapacity()));
        if (spread) n = Math.min(n, Math.ceil(tasks / 2) - (perZone.get(machine.zone) ?? 0));
        if (n <= 0) continue;
        perZone.set(machine.zone, (perZone.get(machine.zone) ?? 0) + n);
        cost = Math.max(cost, this.feasibleMachines.score(job, machine));
        for (let i = 0; i < n; i++) slots.push(machine);
      }
      const free = ranked.filter((machine) => machine.zone === zone).length;
      // Among equals the zone with the least room beside: the others stay open for gangs that need more of one.
      cost += free * ZONE_FILL_S;
      if (slots.length >= tasks && (best === null || cost < best.cost)) best = { slots, cost };
    }
    if (!best || !this.#hasAttempts()) return false;
    const attempt = this.#attempt();
    job.imageWaitUntil = null;
    for (const machine of best.slots) {
      const task = job.nextPending();
      if (task !== null) this.placeTask(job, task, machine, attempt);
    }
    return true;
  }

  /** Attempts are counted anew under each token, so that a long term never runs out of them. */
  #hasAttempts(): boolean {
    if (this.#counterToken !== this.#term.fencingToken) {
      this.#counterToken = this.#term.fencingToken;
      this.#counter = 0;
    }
    return isValidCounter(this.#counter + 1);
  }

  #attempt(): number {
    if (!this.#hasAttempts()) throw new RangeError("no attempts are left under this token");
    this.#counter++;
    return attemptNumber(this.#term.fencingToken, this.#counter);
  }

  /** Puts a task on a machine in the tables and has it recorded; it is started once that is done. */
  placeTask(job: Job, task: number, machine: Machine, attempt = this.#attempt()): Placement {
    // Stopped at once for what outranks it, as it was, it would never get anywhere.
    if (isStarving(this.#ctx, job)) job.protectedUntil = this.#ctx.now + SPARED_MS;
    const placement: Placement = {
      job,
      task,
      machine,
      incarnation: machine.incarnation,
      attempt,
      priority: job.effectivePriority,
      isRecorded: false,
      notCancelledAsOf: Number.NEGATIVE_INFINITY,
      placedAt: this.#ctx.now,
      observedState: null,
      startSentUnder: 0,
      startSentAt: Number.NEGATIVE_INFINITY,
      runningSince: null,
      stop: null,
    };
    this.#tables.addPlacement(placement);
    this.turns?.began(job, this.#ctx.wallMs);
    job.blockedSince = null;
    const image = machine.images.get(job.spec.image);
    if (image) image.usedAt = this.#ctx.now;
    else recordImageFetch(this.#ctx, machine, job);
    this.#recorder.markDirty(job, task, true);
    return placement;
  }
}
