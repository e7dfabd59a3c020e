import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { MachineType } from "../model/deployment.js";
import type { Job } from "../model/job.js";
import { fitsMachineType, type Machine } from "../model/machine.js";
import type { Resources } from "../model/resources.js";
import { countFitting } from "../model/resources.js";
import { hasCompletionObjective } from "../scheduling/objectives.js";
import type { Scheduler } from "../scheduling/scheduler.js";

const ADJUST_INTERVAL_MS = 1000;
/** Number of counting windows (`spare_window_s`) over which the peak number of machines needed is retained. */
const PEAK_WINDOWS = 1.25;
/** GPU demand has ceased after this many mean interarrival times without a job, but not before the minimum. */
const CEASED_INTERARRIVALS = 4;
const CEASED_MIN_MS = 45_000;
/** Weight of the latest interarrival time in the moving average. */
const INTERARRIVAL_WEIGHT = 0.1;
/** Decay factor of the remembered image size, applied with each job; a larger image raises it again. */
const IMAGE_SIZE_DECAY = 0.9;
const MIN_FETCH_GB_PER_S = 0.01;

/** Demand for machines of one GPU type, as observed in this term. */
interface GpuDemand {
  /** The largest task demand observed, per resource. Jobs without GPUs must leave this much free. */
  need: Resources | null;
  /** Jobs that arrived in the counting window, and the number of machines that each fills. */
  readonly arrivals: { readonly at: number; readonly machines: number }[];
  imageGb: number;
  lastArrivalAt: number;
  /** Moving average of the time between two arrivals. */
  interarrivalMs: number;
  /** Teams that submitted the jobs; their quota limits bound how many machines can be used at the same time. */
  readonly teams: Set<string>;
  /** Past numbers of machines in use or needed by blocked jobs, including the headroom. */
  readonly requirements: { readonly at: number; readonly machines: number }[];
}

/** Demand from blocked jobs that machines of one type could run. */
interface BlockedDemand {
  /** Number of machines that the blocked GPU tasks would fill. */
  gpuMachines: number;
  /** True if the provisioner would create an on-demand machine of the type for a job without GPUs. */
  isWantedOnDemand: boolean;
  /** The same for a spot machine. */
  isWantedSpot: boolean;
}

/**
 * Decides how many machines of each GPU type to keep. They are expensive, but booting a new one and fetching its image
 * takes longer than GPU jobs can wait. The machines likely to be needed within that time (the headroom) are kept free,
 * and any surplus is marked for scale-in.
 */
export class GpuHeadroom {
  readonly #ctx: Context;
  readonly #cluster: ClusterState;
  readonly #scheduler: Scheduler;
  /** By machine type. */
  readonly #demands = new Map<string, GpuDemand>();
  readonly #countedJobs = new Set<Job>();
  readonly #startedAt: number;
  #adjustedAt = 0;

  constructor(ctx: Context, cluster: ClusterState, scheduler: Scheduler) {
    this.#ctx = ctx;
    this.#cluster = cluster;
    this.#scheduler = scheduler;
    this.#startedAt = ctx.now;
  }

  /** Counts newly arrived GPU jobs and adjusts the headroom of each GPU type, once per second. */
  tick(): void {
    const { now } = this.#ctx;
    if (now - this.#adjustedAt < ADJUST_INTERVAL_MS) return;
    this.#adjustedAt = now;
    this.#countArrivals();
    for (const type of this.#cluster.machineTypes.values()) if (type.size.gpu > 0) this.#adjust(type);
  }

  /** Returns how many machines of a type the quota limits of the teams with such jobs allow to be in use. */
  maxUsefulMachines(type: MachineType): number {
    const { need, teams } = this.#demandFor(type);
    if (!need || need.gpu === 0) return 0;
    let tasks = 0;
    for (const team of this.#ctx.deployment.teams) {
      if (teams.has(team.name)) tasks += Math.floor(team.limit.gpu / need.gpu);
    }
    return Math.ceil(tasks / Math.max(1, countFitting(need, type.size)));
  }

  /**
   * True if a task of a job without GPUs costs more than `dear_factor` times as much on this GPU type as on
   * the cheapest type without GPUs.
   */
  isTooExpensive(job: Job, type: MachineType, spot: boolean): boolean {
    if (job.spec.need.gpu > 0 || type.size.gpu === 0) return false;
    let leastPerTask = Number.POSITIVE_INFINITY;
    for (const other of this.#cluster.machineTypes.values()) {
      if (other.size.gpu > 0 || !fitsMachineType(job.spec, other)) continue;
      leastPerTask = Math.min(leastPerTask, other.price / countFitting(job.spec.need, other.size));
    }
    const price = spot ? type.spotPrice : type.price;
    return price / countFitting(job.spec.need, type.size) > leastPerTask * this.#ctx.settings.dear_factor;
  }

  /* ---- demand ---- */

  #countArrivals(): void {
    const windowMs = this.#ctx.settings.spare_window_s * 1000;
    for (const job of this.#countedJobs)
      if (!this.#cluster.jobs.has(job.index)) this.#countedJobs.delete(job);
    for (const job of this.#cluster.jobs.values()) {
      if (job.spec.need.gpu === 0 || !job.dependenciesSatisfied || this.#countedJobs.has(job)) continue;
      this.#countedJobs.add(job);
      for (const type of this.#cluster.machineTypes.values())
        if (fitsMachineType(job.spec, type)) this.#countArrival(job, type);
    }
    for (const { arrivals } of this.#demands.values()) removeOlderThan(arrivals, this.#ctx.now - windowMs);
  }

  #countArrival({ spec }: Job, type: MachineType): void {
    const { now } = this.#ctx;
    const demand = this.#demandFor(type);
    demand.teams.add(spec.team);
    demand.need = elementwiseMax(demand.need, spec.need);
    demand.imageGb = Math.max(demand.imageGb * IMAGE_SIZE_DECAY, spec.imageGb);
    demand.arrivals.push({ at: now, machines: Math.ceil(spec.tasks / countFitting(spec.need, type.size)) });
    const interarrivalMs = now - demand.lastArrivalAt;
    if (Number.isFinite(interarrivalMs))
      demand.interarrivalMs += INTERARRIVAL_WEIGHT * (interarrivalMs - demand.interarrivalMs);
    demand.lastArrivalAt = now;
  }

  #demandFor(type: MachineType): GpuDemand {
    let demand = this.#demands.get(type.name);
    if (!demand) {
      demand = {
        need: null,
        arrivals: [],
        imageGb: 0,
        lastArrivalAt: Number.NEGATIVE_INFINITY,
        interarrivalMs: 0,
        teams: new Set(),
        requirements: [],
      };
      this.#demands.set(type.name, demand);
    }
    return demand;
  }

  #blockedDemand(type: MachineType): BlockedDemand {
    const demand = { gpuMachines: 0, isWantedOnDemand: false, isWantedSpot: false };
    for (const { job, count } of this.#scheduler.blocked) {
      if (!fitsMachineType(job.spec, type)) continue;
      if (job.spec.need.gpu > 0) {
        demand.gpuMachines += Math.ceil(count / countFitting(job.spec.need, type.size));
      } else {
        demand.isWantedOnDemand ||= !this.isTooExpensive(job, type, false);
        demand.isWantedSpot ||= job.spec.spot && !this.isTooExpensive(job, type, true);
      }
    }
    return demand;
  }

  /** True if no GPU job has arrived for several mean interarrival times. */
  #hasDemandCeased({ lastArrivalAt, interarrivalMs }: GpuDemand): boolean {
    return this.#ctx.now - lastArrivalAt > Math.max(CEASED_MIN_MS, CEASED_INTERARRIVALS * interarrivalMs);
  }

  /* ---- supply ---- */

  #adjust(type: MachineType): void {
    const demand = this.#demandFor(type);
    const machines = [...this.#cluster.machines.values()].filter(
      ({ typeName, phase, isLeaseExpired }) =>
        typeName === type.name && phase !== "releasing" && !isLeaseExpired,
    );
    const headroom = this.#headroomFor(type, demand);
    this.#scheduler.feasibleMachines.setGpuHeadroom(type.name, demand.need, headroom);
    const blocked = this.#blockedDemand(type);
    const busyCount = machines.filter(runsGpuTasks).length;
    const maxUseful = this.maxUsefulMachines(type);
    const inUse = Math.min(maxUseful, busyCount + blocked.gpuMachines);
    const retained = this.#machinesToRetain(demand, inUse, Math.min(maxUseful, inUse + headroom));
    const isWarmingUp = this.#ctx.now - this.#startedAt < this.#ctx.settings.spare_window_s * 1000;
    // Do not terminate what the provisioner would recreate for blocked jobs, at the cost of another minimum charge.
    const surplus = blocked.isWantedOnDemand || isWarmingUp ? 0 : machines.length - retained;
    this.#ctx.log("debug", "gpu headroom", {
      type: type.name,
      machines: machines.length,
      busy: busyCount,
      waiting: blocked.gpuMachines,
      headroom,
      retained,
      wanted: blocked.isWantedOnDemand,
      surplus,
    });
    const candidates = machines.filter(
      (machine) =>
        !runsGpuTasks(machine) && machine.phase === "up" && !(machine.spot && blocked.isWantedSpot),
    );
    candidates.sort(compareForScaleIn);
    for (const machine of machines) machine.isMarkedForScaleIn = false;
    for (const machine of candidates.slice(0, Math.max(0, surplus))) this.#markForScaleIn(machine);
  }

  /** Returns the headroom in machines, proportional to the square root of the arrivals expected while one starts up. */
  #headroomFor(type: MachineType, { arrivals, imageGb }: GpuDemand): number {
    const { settings } = this.#ctx;
    const arrived = arrivals.reduce((sum, arrival) => sum + arrival.machines, 0);
    if (arrived === 0) return 0;
    const leadS = type.bootS + imageGb / Math.max(MIN_FETCH_GB_PER_S, type.fetchGbPerS);
    const expected = (arrived / Math.max(1, settings.spare_window_s)) * leadS;
    return Math.ceil(settings.spare_factor * Math.sqrt(expected));
  }

  /** Returns the recent peak of machines needed or, once demand has ceased, the number in use. */
  #machinesToRetain(demand: GpuDemand, inUse: number, needed: number): number {
    const { now, settings } = this.#ctx;
    const { requirements } = demand;
    requirements.push({ at: now, machines: needed });
    removeOlderThan(requirements, now - PEAK_WINDOWS * settings.spare_window_s * 1000);
    if (this.#hasDemandCeased(demand)) return inUse;
    return Math.max(...requirements.map(({ machines }) => machines));
  }

  /** Marks a machine, and stops its tasks that can checkpoint and have no completion objective, so that it empties. */
  #markForScaleIn(machine: Machine): void {
    machine.isMarkedForScaleIn = true;
    for (const placement of [...machine.placements]) {
      const { job, stop } = placement;
      if (job.spec.checkpointS > 0 && !stop && !hasCompletionObjective(this.#ctx, job))
        this.#scheduler.preemption.stopGracefully(placement, "machine scale-in");
    }
  }
}

/**
 * Orders candidates for scale-in. Machines already marked come first: a new choice each second would empty one machine
 * after another without removing any. Then on-demand machines precede spot machines, then those with fewer tasks.
 */
function compareForScaleIn(a: Machine, b: Machine): number {
  return (
    Number(b.isMarkedForScaleIn) - Number(a.isMarkedForScaleIn) ||
    Number(a.spot) - Number(b.spot) ||
    a.placements.size - b.placements.size ||
    a.index - b.index
  );
}

/** True if any GPU of the machine is in use. */
function runsGpuTasks({ used }: Machine): boolean {
  return used.gpu > 0;
}

function removeOlderThan(entries: { readonly at: number }[], before: number): void {
  while (entries[0] && entries[0].at < before) entries.shift();
}

function elementwiseMax(a: Resources | null, b: Resources): Resources {
  if (!a) return b;
  return { cpu: Math.max(a.cpu, b.cpu), gpu: Math.max(a.gpu, b.gpu), ram: Math.max(a.ram, b.ram) };
}
