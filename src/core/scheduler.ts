import { add, fits, times, ZERO } from "./amount.js";
import type { Budget, Context } from "./context.js";
import type { Fleet } from "./fleet.js";
import type { Reigning } from "./leadership.js";
import { inOrder, isAged, isPressed, waitAimS } from "./order.js";
import type { Recorder } from "./recorder.js";
import {
  attemptOf,
  countersLeft,
  type Job,
  type Machine,
  type Placement,
  type Reservation,
  suitsType,
  type Tables,
} from "./tables.js";
import type { Amount } from "./types.js";

const RESERVE_MS = 15_000;
/** How long a job for which nothing could be stopped waits before that is looked into again. */
const SEEK_AGAIN_MS = 500;
const RECLAIM_MS = 5000;
/** Fetches may take a third longer than the catalogue says. */
const FETCH_SPREAD = 1.35;
/** What a free machine more in a zone weighs, in seconds of delay, when a gang's zone is chosen. */
const ZONE_FILL_S = 0.5;
/** Boots take up to half as long again as the catalogue says. */
const BOOT_PATIENCE = 1.5;
/** Renewed in each round for as long as the gang waits. */
const HOLD_MS = 2000;
/** What it weighs, in seconds of delay, to put work without GPUs on a machine that has some. */
const GPU_WASTE_S = 60;
/** The same for work that can save: it leaves the plain machines to what can go nowhere else. */
const SAVING_WASTE_S = 5;
const FULLEST_S = 5;
const AGED_PART = 4;
/** What began because of its age is left alone so long. */
const SPARED_MS = 60_000;
const FAILURE_S = 20;

export interface Blocked {
  readonly job: Job;
  readonly count: number;
  readonly guaranteed: boolean;
}

/** Decides what runs where: rounds over the waiting jobs that stop when their time is spent and go on later. */
export class Scheduler {
  readonly #ctx: Context;
  readonly #reign: Reigning;
  readonly #tables: Tables;
  readonly #fleet: Fleet;
  readonly #recorder: Recorder;
  #counter = 0;
  #counterToken = 0;
  /** Where an interrupted round goes on. */
  #resume: { readonly queue: readonly Blocked[]; at: number } | null = null;
  /** The machines that can take work, by type, as of this call: a round asks for them once a job. */
  #open = new Map<string, Machine[]>();
  /** Demands that found no place in this call: what asks for as much or more need not look again. */
  #narrowed = false;
  /** The jobs within their teams' guarantees, as of this round. */
  #guaranteed: ReadonlySet<Job> = new Set();
  readonly #vain = new Map<string, { need: Amount; tasks: number }[]>();
  /** Work of the last full round that found no place. */
  blocked: Blocked[] = [];
  #found: Blocked[] = [];
  roundsCut = 0;
  /** Counts machines looked at for some job: what a round's work is made of. */
  looked = 0;

  constructor(ctx: Context, reign: Reigning, tables: Tables, fleet: Fleet, recorder: Recorder) {
    this.#ctx = ctx;
    this.#reign = reign;
    this.#tables = tables;
    this.#fleet = fleet;
    this.#recorder = recorder;
  }

  /** False when the time was spent before the end: call again. */
  round(budget: Budget): boolean {
    this.#survey();
    const resume = this.#resume ?? { queue: this.#queue(), at: 0 };
    if (this.#resume === null) this.#found = [];
    this.#resume = null;
    const { queue } = resume;
    for (let i = resume.at; i < queue.length; i++) {
      if (i > resume.at && budget.spent()) {
        this.#resume = { queue, at: i };
        this.roundsCut++;
        return false;
      }
      const entry = queue[i];
      if (entry) this.#serve(entry);
    }
    this.blocked = this.#found;
    return true;
  }

  #survey(): void {
    this.#open = new Map();
    this.#vain.clear();
    for (const machine of this.#tables.machines.values()) {
      if (!this.usable(machine)) continue;
      const list = this.#open.get(machine.typeName);
      if (list) list.push(machine);
      else this.#open.set(machine.typeName, [machine]);
    }
  }

  /** The kind of place a job asks for: jobs of one kind differ only in how much they need of it. */
  #kindOf({ spec }: Job): string {
    const { types, zone, spot, priority, shape, oneZone, spread, checkpointS } = spec;
    return [
      types?.join() ?? "*",
      zone ?? "*",
      spot,
      priority,
      shape,
      oneZone,
      spread,
      checkpointS > 0,
    ].join();
  }

  #isVain(job: Job, tasks: number): boolean {
    if (job.failedOn.size > 0 || job.reservesUntil > this.#ctx.now) return false;
    const { need } = job.spec;
    return (this.#vain.get(this.#kindOf(job)) ?? []).some((v) => tasks >= v.tasks && fits(v.need, need));
  }

  #wasVain(job: Job, tasks: number): void {
    // What narrows this job's choice alone tells nothing of others: its fellow tasks, its image, its patience.
    if (this.#narrowed || (job.held.size > 0 && (job.spec.spread || job.spec.oneZone))) return;
    const kind = this.#kindOf(job);
    const entry = { need: job.spec.need, tasks };
    const known = this.#vain.get(kind);
    if (known) known.push(entry);
    else this.#vain.set(kind, [entry]);
  }

  #queue(): Blocked[] {
    const { now } = this.#ctx;
    const jobs = [...this.#tables.jobs.values()]
      .filter((job) => job.state === "active" && !job.complete)
      .sort((a, b) => a.acceptedAt - b.acceptedAt || (a.uid < b.uid ? -1 : 1));
    const guaranteed = this.guaranteedJobs(jobs);
    this.#guaranteed = guaranteed;
    const waiting = jobs.filter((job) => {
      if (job.pending === 0 || job.finishing) return false;
      if (job.unreadable) this.#waits(job, "a record of it can't be read");
      else if (job.notBefore > now) this.#waits(job, "it failed and is tried again later");
      return !job.unreadable && job.notBefore <= now;
    });
    return inOrder(this.#ctx, waiting, guaranteed).map((job) => ({
      job,
      count: job.pending,
      guaranteed: guaranteed.has(job),
    }));
  }

  /** A job is within its team's guarantee if it fits there along with the team's earlier unfinished jobs. */
  guaranteedJobs(inOrder: readonly Job[]): Set<Job> {
    const used = new Map<string, { cpu: number; gpu: number }>();
    const result = new Set<Job>();
    for (const job of inOrder) {
      const team = this.#ctx.deployment.teams.find((t) => t.name === job.spec.team);
      if (!team) continue;
      const sum = used.get(team.name) ?? { cpu: 0, gpu: 0 };
      const open = job.spec.tasks - job.doneCount;
      const cpu = sum.cpu + job.spec.need.cpu * open;
      const gpu = sum.gpu + job.spec.need.gpu * open;
      used.set(team.name, { cpu, gpu });
      if (cpu <= team.guarantee.cpu && (gpu <= team.guarantee.gpu || job.spec.need.gpu === 0))
        result.add(job);
    }
    return result;
  }

  /** Notes for the operators why a job waits; one that has waited long is told of in the log, once. */
  #waits(job: Job, why: string): void {
    if (isAged(this.#ctx, job) && job.waitsFor !== why) {
      const waitedS = Math.round((this.#ctx.wallMs - job.acceptedAt) / 1000);
      this.#ctx.log("info", "job still waits", { job: job.uid, why, waited_s: waitedS });
    }
    job.waitsFor = why;
  }

  #serve(entry: Blocked): void {
    const { job } = entry;
    if (job.state !== "active" || job.pending === 0) return;
    job.waitsFor = null;
    // An array that goes first only because of its age begins with a part: it must not hold up all others.
    const aged = isAged(this.#ctx, job);
    const most = aged && job.spec.shape === "array" ? Math.ceil(job.pending / AGED_PART) : job.pending;
    const allowed = Math.min(most, this.withinLimit(job));
    if (job.spec.shape === "gang") {
      // All tasks at once, and nothing of the former attempt may be left.
      if (job.held.size > 0) {
        this.#waits(job, "its former attempt has not ended everywhere");
        return;
      }
      if (allowed < job.spec.tasks) {
        this.#waits(job, "the limit of its team");
        // Smaller jobs would take each bit of the team's limit that comes free, for ever.
        if (aged) this.#holdLimit(job);
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
  #serveGang(entry: Blocked): void {
    const { job } = entry;
    const { now } = this.#ctx;
    const withinS = waitAimS(this.#ctx, job);
    const leftS = withinS === null ? 0 : withinS - (this.#ctx.wallMs - job.acceptedAt) / 1000;
    const vain = this.#isVain(job, job.spec.tasks);
    if (leftS > 0) {
      const quick = (machine: Machine) => this.#imageWaitS(job, machine) * FETCH_SPREAD <= leftS;
      if (!vain && this.#placeGang(job, quick)) return;
      if ((job.awaitedUntil ?? 0) > now) return;
      if (
        job.awaitedUntil === null &&
        this.#makeRoom(job, job.spec.tasks, entry.guaranteed, quick, null) > 0
      ) {
        job.awaitedUntil = job.makingRoomUntil;
        return;
      }
    }
    if (!vain) {
      if (this.#placeGang(job, () => true)) return;
      this.#wasVain(job, job.spec.tasks);
    }
    this.#noPlace(entry, job.spec.tasks);
  }

  #noPlace(entry: Blocked, count: number): void {
    const { job } = entry;
    job.blockedSince ??= this.#ctx.now;
    this.#waits(job, job.makingRoomUntil > this.#ctx.now ? "room is being made" : "no machine has room");
    this.#found.push({ job, count, guaranteed: entry.guaranteed });
    if (job.spec.priority >= 2 || entry.guaranteed) {
      this.#makeRoom(job, count, entry.guaranteed, () => true, null);
    }
    if (job.spec.shape !== "gang" || job.spec.tasks === 1) return;
    const aged = isAged(this.#ctx, job);
    if (aged || isPressed(this.#ctx, job)) this.#holdZone(job, aged);
  }

  /**
   * A gang that needs several places in one zone would never get them while smaller jobs take each one
   * that comes free: the zone that is nearest to having them is held for it, free place by free place.
   */
  #holdZone(job: Job, firm: boolean): void {
    const { now } = this.#ctx;
    // One gang a zone, and only one in all that is not aged: two that each held part of a zone kept a third of the
    // machines idle. Aged ones hold a zone each: one after the other, the last waited for minutes more.
    const other = (zone: string) => {
      const holder = this.#zoneHolders.get(zone);
      return holder && holder.job !== job && holder.until > now && holder.job.pending > 0 ? holder : null;
    };
    if (!firm && [...this.#zoneHolders.keys()].some(other)) return;
    const free = new Map<string, Machine[]>();
    for (const machine of this.#candidates(job)) {
      if (other(machine.zone)?.firm) continue;
      const list = free.get(machine.zone);
      if (list) list.push(machine);
      else free.set(machine.zone, [machine]);
    }
    // A zone once chosen is kept: what was gathered there would be lost with a change.
    const kept = [...free.keys()].find((zone) => this.#zoneHolders.get(zone)?.job === job);
    let zones = [...free.keys()];
    if (job.spec.oneZone) {
      const size = (zone: string) => free.get(zone)?.length ?? 0;
      zones = kept ? [kept] : zones.sort((x, y) => size(y) - size(x)).slice(0, 1);
    }
    for (const zone of zones) {
      this.#zoneHolders.set(zone, { job, firm, until: now + HOLD_MS });
      for (const machine of free.get(zone) ?? []) this.#hold(machine, job, firm);
    }
  }

  readonly #zoneHolders = new Map<string, Reservation>();

  #hold(machine: Machine, job: Job, firm: boolean): void {
    const held = machine.reserved;
    if (held && held.until > this.#ctx.now && held.job !== job && (held.firm || !firm)) return;
    const until = this.#ctx.now + HOLD_MS;
    machine.reserved = { job, firm, until };
    job.reservesUntil = until;
  }

  /** What is left of a team's limit is kept for an aged gang that needs more of it. */
  readonly #limitHolders = new Map<string, { job: Job; until: number }>();

  #holdLimit(job: Job): void {
    const { now } = this.#ctx;
    const holder = this.#limitHolders.get(job.spec.team);
    if (holder && holder.job !== job && holder.until > now && holder.job.pending > 0) return;
    this.#limitHolders.set(job.spec.team, { job, until: now + HOLD_MS });
  }

  #keptOfLimit(job: Job): Amount {
    const holder = this.#limitHolders.get(job.spec.team);
    if (!holder || holder.job === job || job.spec.shape === "service") return ZERO;
    if (holder.until <= this.#ctx.now || holder.job.pending === 0) return ZERO;
    return add(ZERO, holder.job.spec.need, holder.job.pending);
  }

  /** How many more tasks of this job its team's limit allows. */
  withinLimit(job: Job): number {
    const team = this.#ctx.deployment.teams.find((t) => t.name === job.spec.team);
    if (!team) return 0;
    const use = add(this.#tables.teamUse.get(team.name) ?? ZERO, this.#keptOfLimit(job));
    const { need } = job.spec;
    let n = Number.POSITIVE_INFINITY;
    if (need.cpu > 0) n = Math.min(n, Math.floor((team.limit.cpu - use.cpu) / need.cpu));
    if (need.gpu > 0) n = Math.min(n, Math.floor((team.limit.gpu - use.gpu) / need.gpu));
    return Math.max(0, n);
  }

  /** May tasks of this job be put on this machine at all, room and fellow tasks aside? */
  allows(job: Job, machine: Machine): boolean {
    const { types, zone, spot } = job.spec;
    return (
      (types === null || types.includes(machine.typeName)) &&
      (zone === null || zone === machine.zone) &&
      (spot || !machine.spot)
    );
  }

  usable(machine: Machine): boolean {
    const { now, deployment } = this.#ctx;
    return (
      machine.phase === "up" &&
      !machine.lost &&
      machine.mode === "open" &&
      machine.type !== null &&
      // A report without this reign's token may be a late copy: a hint of what is there, not a sign of life.
      machine.adoptedAt !== null &&
      machine.deafSince === null &&
      machine.noticeUntil === null &&
      machine.blockedUntil <= now &&
      now - machine.heardAt < deployment.reportS * 2500 + 500
    );
  }

  /** Machines with room for a task of the job, if what work below a priority uses is counted as room. */
  #candidates(job: Job, below = 0): Machine[] {
    const { now } = this.#ctx;
    const found: Machine[] = [];
    this.#narrowed = job.spec.shape === "service";
    for (const list of this.#open.values()) {
      const type = list[0]?.type;
      if (!type || !suitsType(job.spec, type)) continue;
      this.looked += list.length;
      for (const machine of list) {
        if (!machine.hasRoom(job.spec.need, below) || !this.allows(job, machine)) continue;
        const held = machine.reserved;
        if (held) {
          if (held.until <= now || held.job.pending === 0) machine.reserved = null;
          else if (held.job !== job && (held.firm || held.job.spec.priority >= job.spec.priority)) continue;
        }
        if (this.#wastesGpus(job, machine)) continue;
        const failedHere = job.failedOn.has(machine.ix) && job.failedOn.size < this.#tables.machines.size / 2;
        if (failedHere || this.#slowsFetch(job, machine)) {
          this.#narrowed = true;
          continue;
        }
        found.push(machine);
      }
    }
    return found;
  }

  readonly #room = new Map<string, { need: Amount | null; spare: number }>();

  /** So many machines of this type are to be left with room for GPU work. */
  leaveRoom(type: string, need: Amount | null, spare: number): void {
    this.#room.set(type, { need, spare });
  }

  /** Would small work here take the room of GPU work? Not where the GPUs are taken, or enough is left beside it. */
  #inTheWay(job: Job, machine: Machine): boolean {
    if (job.spec.need.gpu > 0 || (machine.type?.size.gpu ?? 0) === 0) return false;
    const need = this.#room.get(machine.typeName)?.need;
    if (!need) return false;
    const room = machine.room();
    return fits(need, room) && !fits(need, add(room, job.spec.need, -1));
  }

  /**
   * Work without GPUs is put in the way of GPU work only if it can save when it has to make room, or while
   * more machines than the spare ones are free.
   */
  #wastesGpus(job: Job, machine: Machine): boolean {
    if (job.spec.need.gpu > 0) return false;
    if (machine.retiring) return true;
    // A service never ends: it would keep a dear machine for good. One placed there at a cold start held a
    // fifth of the GPUs all day; so it waits for as long as a plain machine takes to come.
    if (job.spec.shape === "service" && (machine.type?.size.gpu ?? 0) > 0) {
      const bootS = this.#plainBootS(job);
      const waitedMs = job.blockedSince === null ? 0 : this.#ctx.now - job.blockedSince;
      if (bootS !== null && waitedMs < bootS * BOOT_PATIENCE * 1000) return true;
    }
    if (!this.#inTheWay(job, machine) || job.spec.checkpointS > 0) return false;
    const keep = this.#room.get(machine.typeName);
    if (!keep?.need) return false;
    return this.#freeFor(machine.typeName, keep.need) <= keep.spare;
  }

  readonly #free = new Map<string, { changes: number; open: Machine[]; count: number }>();

  /** How many machines of a type have room for GPU work; counted anew only after something was placed or gone. */
  #freeFor(type: string, need: Amount): number {
    const open = this.#open.get(type) ?? [];
    const { changes } = this.#tables;
    const known = this.#free.get(type);
    if (known && known.changes === changes && known.open === open) return known.count;
    let count = 0;
    for (const machine of open) if (machine.hasRoom(need)) count++;
    this.#free.set(type, { changes, open, count });
    return count;
  }

  /** Fetches share a machine's line: another image would slow the one that a more important gang waits for. */
  #slowsFetch(job: Job, machine: Machine): boolean {
    if (machine.images.has(job.spec.image)) return false;
    for (const { job: other, seen } of machine.placements) {
      if (other.spec.shape !== "gang" || other.spec.priority <= job.spec.priority) continue;
      if (seen === null || seen === "fetching") return true;
    }
    return false;
  }

  /** How long the quickest type without GPUs that the job fits takes to boot; null if there is none. */
  #plainBootS({ spec }: Job): number | null {
    let least: number | null = null;
    for (const type of this.#tables.types.values()) {
      if (type.size.gpu > 0 || !suitsType(spec, type)) continue;
      if (least === null || type.bootS < least) least = type.bootS;
    }
    return least;
  }

  /** Lower is better, in seconds: waiting for the image, wasting GPUs; then the fullest that fits. */
  score(job: Job, machine: Machine): number {
    let s = -FULLEST_S * machine.share() + machine.failures * FAILURE_S + this.#imageWaitS(job, machine);
    if (machine.retiring) s += GPU_WASTE_S;
    else if (this.#inTheWay(job, machine)) s += job.spec.checkpointS > 0 ? SAVING_WASTE_S : GPU_WASTE_S;
    return s;
  }

  #ranked(job: Job): Machine[] {
    return this.#candidates(job)
      .map((machine) => ({ machine, score: this.score(job, machine) }))
      .sort((a, b) => a.score - b.score || a.machine.ix - b.machine.ix)
      .map(({ machine }) => machine);
  }

  #placeMany(job: Job, count: number): number {
    const withinS = waitAimS(this.#ctx, job);
    if (withinS === null) return this.#fillAny(job, count);
    // Where a start must be quick the image has to be there already, and it is worth stopping lesser work for that.
    const quick = (machine: Machine) => this.#imageWaitS(job, machine) <= withinS;
    let placed = this.#isVain(job, 1) ? 0 : this.#fill(job, count, quick);
    if (placed < count && job.spec.priority >= 2) {
      placed += this.#makeRoom(job, count - placed, false, quick, withinS);
    }
    if (placed < count) placed += this.#fillAny(job, count - placed);
    return placed;
  }

  #fillAny(job: Job, count: number): number {
    if (this.#isVain(job, 1)) return 0;
    const placed = this.#fill(job, count, () => true);
    if (placed < count) this.#wasVain(job, 1);
    return placed;
  }

  #imageWaitS(job: Job, machine: Machine): number {
    const image = machine.images.get(job.spec.image);
    if (image) return Math.max(0, image.readyAt - this.#ctx.now) / 1000;
    return job.spec.imageGb / Math.max(0.01, machine.type?.fetchGbPerS ?? 1);
  }

  #fill(job: Job, count: number, suits: (machine: Machine) => boolean): number {
    let placed = 0;
    const { oneZone, spread, tasks } = job.spec;
    const machines = this.#ranked(job).filter(suits);
    const zoneCap = spread ? Math.ceil(tasks / 2) : Number.POSITIVE_INFINITY;
    let onlyZone: string | null = null;
    if (oneZone) {
      for (const p of job.held.values()) onlyZone ??= p.machine.zone;
      onlyZone ??= machines[0]?.zone ?? null;
    }
    for (const machine of machines) {
      if (placed >= count) break;
      if (onlyZone !== null && machine.zone !== onlyZone) continue;
      // Placing on one machine may have used up what can be spared of its kind.
      if (placed > 0 && this.#wastesGpus(job, machine)) continue;
      let n = Math.min(count - placed, times(job.spec.need, machine.room()));
      if (spread) n = Math.min(n, zoneCap - job.inZone(machine.zone));
      for (; n > 0; n--) {
        const task = job.nextPending();
        if (task === null || !this.#hasAttempts()) return placed;
        this.placeAt(job, task, machine);
        placed++;
      }
    }
    return placed;
  }

  #placeGang(job: Job, suits: (machine: Machine) => boolean): boolean {
    const { need, tasks, oneZone, spread } = job.spec;
    const ranked = this.#ranked(job).filter(suits);
    const zones = oneZone ? [...new Set(ranked.map((machine) => machine.zone))] : [null];
    let best: { slots: Machine[]; cost: number } | null = null;
    for (const zone of zones) {
      const slots: Machine[] = [];
      const perZone = new Map<string, number>();
      let cost = 0;
      for (const machine of ranked) {
        if (zone !== null && machine.zone !== zone) continue;
        let n = Math.min(tasks - slots.length, times(need, machine.room()));
        if (spread) n = Math.min(n, Math.ceil(tasks / 2) - (perZone.get(machine.zone) ?? 0));
        if (n <= 0) continue;
        perZone.set(machine.zone, (perZone.get(machine.zone) ?? 0) + n);
        cost = Math.max(cost, this.score(job, machine));
        for (let i = 0; i < n; i++) slots.push(machine);
      }
      const free = ranked.filter((machine) => machine.zone === zone).length;
      // Among equals the zone with the least room beside: the others stay open for gangs that need more of one.
      cost += free * ZONE_FILL_S;
      if (slots.length >= tasks && (best === null || cost < best.cost)) best = { slots, cost };
    }
    if (!best || !this.#hasAttempts()) return false;
    const attempt = this.#attempt();
    job.awaitedUntil = null;
    for (const machine of best.slots) {
      const task = job.nextPending();
      if (task !== null) this.placeAt(job, task, machine, attempt);
    }
    return true;
  }

  /** Attempts are counted anew under each token, so that a long reign never runs out of them. */
  #hasAttempts(): boolean {
    if (this.#counterToken !== this.#reign.token) {
      this.#counterToken = this.#reign.token;
      this.#counter = 0;
    }
    return countersLeft(this.#counter + 1);
  }

  #attempt(): number {
    if (!this.#hasAttempts()) throw new RangeError("no attempts are left under this token");
    this.#counter++;
    return attemptOf(this.#reign.token, this.#counter);
  }

  /** Puts a task on a machine in the tables and has it recorded; it is started once that is done. */
  placeAt(job: Job, task: number, machine: Machine, attempt = this.#attempt()): Placement {
    // Stopped at once for what outranks it, as it was, it would never get anywhere.
    if (isAged(this.#ctx, job)) job.sparedUntil = this.#ctx.now + SPARED_MS;
    const placement: Placement = {
      job,
      task,
      machine,
      session: machine.session,
      attempt,
      durable: false,
      placedAt: this.#ctx.now,
      seen: null,
      sentToken: 0,
      sentAt: Number.NEGATIVE_INFINITY,
      runningSince: null,
      stop: null,
    };
    this.#tables.place(placement);
    job.blockedSince = null;
    const image = machine.images.get(job.spec.image);
    if (image) image.usedAt = this.#ctx.now;
    else this.#fleet.noteFetch(machine, job, this.#ctx.now);
    this.#recorder.touch(job, task, true);
    return placement;
  }

  /** May this placement be stopped so that the job can run? */
  #mayStop(victim: Placement, job: Job, guaranteed: boolean): boolean {
    const spec = victim.job.spec;
    if (job.spec.priority < 3 && victim.job.sparedUntil > this.#ctx.now) return false;
    if (spec.priority < job.spec.priority) return true;
    // The rules would allow more; but small guaranteed work must not break up a gang of higher priority.
    if (!guaranteed || spec.team === job.spec.team || spec.priority > job.spec.priority) return false;
    if (spec.priority === 3) return false;
    // What is within its own team's guarantee has borrowed nothing: two teams took turns stopping each other's gangs,
    // some of them twenty times.
    if (this.#guaranteed.has(victim.job)) return false;
    // A gang that has run before has had its start: taken back again and again, the same few machines changed hands.
    if (job.spec.shape === "gang" && Number.isFinite(job.lastHeldAt)) return false;
    // Taking back what another team has borrowed must not throw away much work.
    const ranMs = victim.runningSince === null ? 0 : this.#ctx.now - victim.runningSince;
    if (spec.checkpointS === 0 && ranMs > RECLAIM_MS) return false;
    const team = this.#ctx.deployment.teams.find((t) => t.name === spec.team);
    const use = this.#tables.teamUse.get(spec.team);
    return (
      team !== undefined &&
      use !== undefined &&
      (use.cpu > team.guarantee.cpu || use.gpu > team.guarantee.gpu)
    );
  }

  /**
   * Stops lesser work so that up to `count` tasks of the job find room; returns for how many. With `hurryS` work that
   * takes longer than that to save is not waited for.
   */
  #makeRoom(
    job: Job,
    count: number,
    guaranteed: boolean,
    suits: (machine: Machine) => boolean,
    hurryS: number | null,
  ): number {
    const { now } = this.#ctx;
    if (job.makingRoomUntil > now) return 0;
    // What can't be stopped now can hardly be in the next round: looking costs more than all the rest of one.
    const sinceMs = now - job.roomSoughtAt;
    if (sinceMs > 0 && sinceMs < SEEK_AGAIN_MS) return 0;
    job.roomSoughtAt = now;
    const { need, tasks, oneZone, spread, shape } = job.spec;
    const plans: { machine: Machine; slots: number; victims: Placement[]; cost: number }[] = [];
    for (const machine of this.#candidates(job, guaranteed ? job.spec.priority + 1 : job.spec.priority)) {
      if (!suits(machine)) continue;
      const plan = this.#plan(job, machine, need, guaranteed);
      if (plan) plans.push({ machine, ...plan });
    }
    plans.sort((a, b) => a.cost / a.slots - b.cost / b.slots);
    const zones = oneZone ? [...new Set(plans.map((p) => p.machine.zone))] : [null];
    for (const zone of zones) {
      let slots = 0;
      const inZone = new Map<string, number>();
      const chosen: typeof plans = [];
      for (const plan of plans) {
        if (slots >= count) break;
        if (zone !== null && plan.machine.zone !== zone) continue;
        let n = Math.min(plan.slots, count - slots);
        if (spread) {
          const there = (inZone.get(plan.machine.zone) ?? 0) + job.inZone(plan.machine.zone);
          n = Math.min(n, Math.ceil(tasks / 2) - there);
        }
        if (n <= 0) continue;
        inZone.set(plan.machine.zone, (inZone.get(plan.machine.zone) ?? 0) + n);
        slots += n;
        chosen.push(plan);
      }
      if (slots === 0 || (shape === "gang" && slots < tasks)) continue;
      let graceS = 0;
      for (const { machine, victims } of chosen) {
        machine.reserved = { job, firm: false, until: now + RESERVE_MS };
        job.reservesUntil = now + RESERVE_MS;
        for (const victim of victims) {
          const { saveS, checkpointS } = victim.job.spec;
          if (hurryS !== null && checkpointS > 0 && saveS > hurryS && victim.job.spec.shape !== "gang") {
            this.#fleet.stop(victim, 0, `room for ${job.uid}`);
            continue;
          }
          graceS = Math.max(graceS, saveS);
          this.stopOrderly(victim, `room for ${job.uid}`);
        }
      }
      job.makingRoomUntil = now + graceS * 1000 + this.#ctx.deployment.reportS * 2000;
      return slots;
    }
    return 0;
  }

  /** The cheapest tasks to stop on this machine so that at least one task of the job fits. */
  #plan(
    job: Job,
    machine: Machine,
    need: Amount,
    guaranteed: boolean,
  ): { slots: number; victims: Placement[]; cost: number } | null {
    const room = machine.room();
    if (fits(need, room)) return { slots: times(need, room), victims: [], cost: 0 };
    const victims: Placement[] = [];
    let cost = 0;
    const list = [...machine.placements]
      .filter((p) => p.job !== job && this.#mayStop(p, job, guaranteed))
      .map((p) => ({ p, cost: this.#lossOf(p) }))
      .sort((a, b) => a.p.job.spec.priority - b.p.job.spec.priority || a.cost - b.cost);
    let { cpu, gpu, ram } = room;
    for (const { p, cost: loss } of list) {
      // Stopping a task that frees nothing that is short helps nobody.
      const helps =
        (cpu < need.cpu && p.job.spec.need.cpu > 0) ||
        (gpu < need.gpu && p.job.spec.need.gpu > 0) ||
        (ram < need.ram && p.job.spec.need.ram > 0);
      if (!helps) continue;
      victims.push(p);
      cost += p.stop ? 0 : loss;
      cpu += p.job.spec.need.cpu;
      gpu += p.job.spec.need.gpu;
      ram += p.job.spec.need.ram;
      if (fits(need, { cpu, gpu, ram })) return { slots: times(need, { cpu, gpu, ram }), victims, cost };
    }
    return null;
  }

  /** The work, in CPU seconds, that stopping this task throws away. */
  #lossOf(placement: Placement): number {
    const { spec } = placement.job;
    const ran = placement.runningSince === null ? 0 : (this.#ctx.now - placement.runningSince) / 1000;
    const lost = spec.checkpointS > 0 ? spec.saveS : ran;
    const tasks = spec.shape === "gang" ? spec.tasks : 1;
    return ((lost + 1) * tasks * (spec.need.cpu + spec.need.gpu * 10)) / 1000;
  }

  /** Stops a task, with time to save if it can; a gang is stopped as a whole. */
  stopOrderly(placement: Placement, why: string): void {
    this.#ctx.log("debug", "task stopped", {
      job: placement.job.uid,
      task: placement.task,
      machine: placement.machine.name,
      why,
    });
    const { job } = placement;
    const graceS = job.spec.checkpointS > 0 ? Math.ceil(job.spec.saveS) + 1 : 0;
    const group = job.spec.shape === "gang" ? [...job.held.values()] : [placement];
    for (const member of group) this.#fleet.stop(member, graceS, why);
  }
}
