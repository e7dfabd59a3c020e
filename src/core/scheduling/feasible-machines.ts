import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import { fitsMachineType, type Machine } from "../model/machine.js";
import type { Resources } from "../model/resources.js";
import { add, fits } from "../model/resources.js";
import { isStarving } from "./queue-order.js";

/** Boots take up to half as long again as the catalogue says. */
const BOOT_PATIENCE = 1.5;
/** What it weighs, in seconds of delay, to put work without GPUs on a machine that has some. */
const GPU_WASTE_S = 60;
/** The same for work that can save: it leaves the plain machines to what can go nowhere else. */
const SAVING_WASTE_S = 5;
const FULLEST_S = 5;
const FAILURE_S = 20;

/** Which machines a job may be put on, and which of them suit it best. */
export class FeasibleMachines {
  readonly #ctx: Context;
  readonly #tables: ClusterState;
  /** The machines that can take work, by type, as of this call: a round asks for them once a job. */
  #open = new Map<string, Machine[]>();
  /** Those of them with room for the least that any waiting job asks for: in a loaded fleet, few. */
  #roomy = new Map<string, Machine[]>();
  /** The last job's choice of machines was narrowed by what is its own: its image, its patience, its failures. */
  isJobSpecific = false;
  /** Counts machines looked at for some job: what a round's work is made of. */
  machinesExamined = 0;

  constructor(ctx: Context, tables: ClusterState) {
    this.#ctx = ctx;
    this.#tables = tables;
  }

  /** Lists, for a round, the machines that can take work, and those with room for the least that any of these jobs asks for. */
  beginRound(jobs: readonly Job[]): void {
    this.#open = new Map();
    this.#roomy = new Map();
    let [cpu, ram] = [Number.POSITIVE_INFINITY, Number.POSITIVE_INFINITY];
    for (const job of jobs) {
      cpu = Math.min(cpu, job.spec.need.cpu);
      ram = Math.min(ram, job.spec.need.ram);
    }
    const least = { cpu, gpu: 0, ram };
    for (const machine of this.#tables.machines.values()) {
      if (!this.isSchedulable(machine)) continue;
      listed(this.#open, machine.typeName).push(machine);
      if (machine.hasCapacityFor(least)) listed(this.#roomy, machine.typeName).push(machine);
    }
  }

  /** May tasks of this job be put on this machine at all, room and fellow tasks aside? */
  mayRunOn(job: Job, machine: Machine): boolean {
    const { types, zone, spot } = job.spec;
    return (
      (types === null || types.includes(machine.typeName)) &&
      (zone === null || zone === machine.zone) &&
      (spot || !machine.spot)
    );
  }

  isSchedulable(machine: Machine): boolean {
    const { now, deployment } = this.#ctx;
    return (
      machine.phase === "up" &&
      !machine.isLeaseExpired &&
      machine.mode === "open" &&
      machine.type !== null &&
      // A report without this term's token may be a late copy: a hint of what is there, not a sign of life.
      machine.fencedAt !== null &&
      machine.unreachableSince === null &&
      machine.reclaimedAt === null &&
      machine.backoffUntil <= now &&
      now - machine.heartbeatAt < deployment.heartbeatIntervalS * 2500 + 500
    );
  }

  /** Machines with room for a task of the job, if what work below a priority uses is counted as room. */
  findFor(job: Job, below = 0): Machine[] {
    const { now } = this.#ctx;
    const found: Machine[] = [];
    this.isJobSpecific = job.spec.shape === "service";
    // Within a round room only shrinks, unless something is stopped for it: without that few machines need a look.
    for (const list of (below === 0 ? this.#roomy : this.#open).values()) {
      const type = list[0]?.type;
      if (!type || !fitsMachineType(job.spec, type)) continue;
      this.machinesExamined += list.length;
      for (const machine of list) {
        if (!machine.hasCapacityFor(job.spec.need, below) || !this.mayRunOn(job, machine)) continue;
        const held = machine.reservation;
        if (held) {
          if (held.until <= now || held.job.pending === 0) machine.reservation = null;
          else if (held.job !== job && (held.isFirm || held.job.effectivePriority >= job.effectivePriority))
            continue;
        }
        if (this.wouldWasteGpus(job, machine)) continue;
        const failedHere =
          job.failedMachines.has(machine.index) && job.failedMachines.size < this.#tables.machines.size / 2;
        if (failedHere || this.#slowsFetch(job, machine)) {
          this.isJobSpecific = true;
          continue;
        }
        found.push(machine);
      }
    }
    return found;
  }

  readonly #room = new Map<string, { need: Resources | null; spare: number }>();

  /** So many machines of this type are to be left with room for GPU work. */
  setGpuHeadroom(type: string, need: Resources | null, spare: number): void {
    this.#room.set(type, { need, spare });
  }

  /** Would small work here take the room of GPU work? Not where the GPUs are taken, or enough is left beside it. */
  #inTheWay(job: Job, machine: Machine): boolean {
    if (job.spec.need.gpu > 0 || (machine.type?.size.gpu ?? 0) === 0) return false;
    const need = this.#room.get(machine.typeName)?.need;
    if (!need) return false;
    const room = machine.freeCapacity();
    return fits(need, room) && !fits(need, add(room, job.spec.need, -1));
  }

  /**
   * Work without GPUs is put in the way of GPU work only if it can save and leave when it has to make room, or while
   * more machines than the spare ones are free.
   */
  wouldWasteGpus(job: Job, machine: Machine): boolean {
    if (job.spec.need.gpu > 0) return false;
    if (machine.isMarkedForScaleIn) return true;
    // A service never ends: it would keep a dear machine for good. One placed there at a cold start held a
    // fifth of the GPUs all day; so it waits for as long as a plain machine takes to come.
    if (job.spec.shape === "service" && (machine.type?.size.gpu ?? 0) > 0) {
      const bootS = this.#plainBootS(job);
      const waitedMs = job.blockedSince === null ? 0 : this.#ctx.now - job.blockedSince;
      if (bootS !== null && waitedMs < bootS * BOOT_PATIENCE * 1000) return true;
    }
    if (!this.#inTheWay(job, machine)) return false;
    // What begins because of its age is spared for a while, and so can't leave: after a failover aged arrays filled a
    // fifth of the GPU machines, which gangs waited for until the minute was over.
    if (job.spec.checkpointS > 0 && !isStarving(this.#ctx, job)) return false;
    const keep = this.#room.get(machine.typeName);
    if (!keep?.need) return false;
    return this.#freeFor(machine.typeName, keep.need) <= keep.spare;
  }

  readonly #free = new Map<string, { changes: number; open: Machine[]; count: number }>();

  /** How many machines of a type have room for GPU work; counted anew only after something was placed or gone. */
  #freeFor(type: string, need: Resources): number {
    const open = this.#open.get(type) ?? [];
    const { placementChanges: changes } = this.#tables;
    const known = this.#free.get(type);
    if (known && known.changes === changes && known.open === open) return known.count;
    let count = 0;
    for (const machine of open) if (machine.hasCapacityFor(need)) count++;
    this.#free.set(type, { changes, open, count });
    return count;
  }

  /** Fetches share a machine's line: another image would slow the one that a more important gang waits for. */
  #slowsFetch(job: Job, machine: Machine): boolean {
    if (machine.images.has(job.spec.image)) return false;
    for (const { job: other, observedState: seen } of machine.placements) {
      if (other.spec.shape !== "gang" || other.effectivePriority <= job.effectivePriority) continue;
      if (seen === null || seen === "fetching") return true;
    }
    return false;
  }

  /** How long the quickest type without GPUs that the job fits takes to boot; null if there is none. */
  #plainBootS({ spec }: Job): number | null {
    let least: number | null = null;
    for (const type of this.#tables.machineTypes.values()) {
      if (type.size.gpu > 0 || !fitsMachineType(spec, type)) continue;
      if (least === null || type.bootS < least) least = type.bootS;
    }
    return least;
  }

  /** Lower is better, in seconds: waiting for the image, wasting GPUs; then the fullest that fits. */
  score(job: Job, machine: Machine): number {
    let s = machine.failures * FAILURE_S + this.imageWaitS(job, machine);
    // A service that must fetch its image anyway brings it where its fellows to come will find room: on machines full of
    // other services an image serves nobody else.
    if (job.spec.shape === "service" && !machine.images.has(job.spec.image))
      s += FULLEST_S * machine.bookedShareOf(3);
    else s -= FULLEST_S * machine.bookedShare();
    if (machine.isMarkedForScaleIn) s += GPU_WASTE_S;
    else if (this.#inTheWay(job, machine)) s += job.spec.checkpointS > 0 ? SAVING_WASTE_S : GPU_WASTE_S;
    return s;
  }

  findRankedFor(job: Job): Machine[] {
    return this.findFor(job)
      .map((machine) => ({ machine, score: this.score(job, machine) }))
      .sort((a, b) => a.score - b.score || a.machine.index - b.machine.index)
      .map(({ machine }) => machine);
  }

  imageWaitS(job: Job, machine: Machine): number {
    const image = machine.images.get(job.spec.image);
    if (image) return Math.max(0, image.readyAt - this.#ctx.now) / 1000;
    return job.spec.imageGb / Math.max(0.01, machine.type?.fetchGbPerS ?? 1);
  }
}

function listed(lists: Map<string, Machine[]>, key: string): Machine[] {
  let list = lists.get(key);
  if (!list) {
    list = [];
    lists.set(key, list);
  }
  return list;
}
