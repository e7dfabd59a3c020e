import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { MachineType } from "../model/deployment.js";
import type { Job } from "../model/job.js";
import { fitsMachineType, type Machine } from "../model/machine.js";
import type { Resources } from "../model/resources.js";
import { times } from "../model/resources.js";
import { hasCompletionObjective } from "../scheduling/queue-order.js";
import type { Scheduler } from "../scheduling/scheduler.js";

interface Kind {
  /** The largest GPU task seen that goes on this type: what small work must leave room for. */
  need: Resources | null;
  /** Slots asked for, and when. */
  arrivals: { at: number; slots: number }[];
  imageGb: number;
  /** When the last came, and the usual time between two. */
  lastAt: number;
  gapMs: number;
  /** The teams that such work came from: their limits bound how much of it can run at once. */
  readonly teams: Set<string>;
  /** How many machines were in use or asked for, with the spare ones. */
  needed: { at: number; count: number }[];
}

const KEEP_WINDOWS = 1.25;
const CEASED_TIMES = 4;
const GAP_WEIGHT = 0.1;
const CEASED_MIN_MS = 45_000;

/**
 * How many machines with GPUs to keep. They are dear, and a new one takes longer to boot and fetch its image
 * than work can wait: so as many are kept free as is likely to be asked for meanwhile, and the rest is returned.
 */
export class GpuHeadroom {
  readonly #ctx: Context;
  readonly #tables: ClusterState;
  readonly #scheduler: Scheduler;
  readonly #kinds = new Map<string, Kind>();
  readonly #seen = new Set<Job>();
  readonly #startedAt: number;
  #tickedAt = 0;

  constructor(ctx: Context, tables: ClusterState, scheduler: Scheduler) {
    this.#ctx = ctx;
    this.#tables = tables;
    this.#scheduler = scheduler;
    this.#startedAt = ctx.now;
  }

  tick(): void {
    const { now } = this.#ctx;
    if (now - this.#tickedAt < 1000) return;
    this.#tickedAt = now;
    this.#count();
    for (const type of this.#tables.machineTypes.values()) if (type.size.gpu > 0) this.#adjust(type);
  }

  /** Takes note of the GPU work that has come since. */
  #count(): void {
    const windowMs = this.#ctx.settings.spare_window_s * 1000;
    for (const job of this.#seen) if (!this.#tables.jobs.has(job.index)) this.#seen.delete(job);
    for (const job of this.#tables.jobs.values()) {
      if (job.spec.need.gpu === 0 || !job.dependenciesSatisfied || this.#seen.has(job)) continue;
      this.#seen.add(job);
      for (const type of this.#tables.machineTypes.values()) {
        if (!fitsMachineType(job.spec, type)) continue;
        const kind = this.#kind(type);
        kind.teams.add(job.spec.team);
        kind.need = larger(kind.need, job.spec.need);
        kind.imageGb = Math.max(kind.imageGb * 0.9, job.spec.imageGb);
        const slots = Math.ceil(job.spec.tasks / times(job.spec.need, type.size));
        kind.arrivals.push({ at: this.#ctx.now, slots });
        const gapMs = this.#ctx.now - kind.lastAt;
        if (Number.isFinite(gapMs)) kind.gapMs += GAP_WEIGHT * (gapMs - kind.gapMs);
        kind.lastAt = this.#ctx.now;
      }
    }
    for (const kind of this.#kinds.values()) {
      while (kind.arrivals[0] && kind.arrivals[0].at < this.#ctx.now - windowMs) kind.arrivals.shift();
    }
  }

  #kind(type: MachineType): Kind {
    let kind = this.#kinds.get(type.name);
    if (!kind) {
      kind = {
        need: null,
        arrivals: [],
        imageGb: 0,
        lastAt: Number.NEGATIVE_INFINITY,
        gapMs: 0,
        teams: new Set(),
        needed: [],
      };
      this.#kinds.set(type.name, kind);
    }
    return kind;
  }

  #adjust(type: MachineType): void {
    const { settings } = this.#ctx;
    const kind = this.#kind(type);
    const machines = [...this.#tables.machines.values()].filter(
      (m) => m.typeName === type.name && m.phase !== "releasing" && !m.isLeaseExpired,
    );
    const busy = (m: Machine) => m.used.gpu > 0;
    const asked = kind.arrivals.reduce((n, a) => n + a.slots, 0);
    const leadS = type.bootS + kind.imageGb / Math.max(0.01, type.fetchGbPerS);
    const likely = (asked / Math.max(1, settings.spare_window_s)) * leadS;
    const spare = asked === 0 ? 0 : Math.ceil(settings.spare_factor * Math.sqrt(likely));
    this.#scheduler.feasibleMachines.setGpuHeadroom(type.name, kind.need, spare);
    let waiting = 0;
    // What the provisioner would rent for small work is not given back while such work waits: that was a wheel of
    // spot machines hired, charged their minute, and returned.
    let wanted = false;
    let wantedSpot = false;
    for (const { job, count } of this.#scheduler.blocked) {
      if (!fitsMachineType(job.spec, type)) continue;
      if (job.spec.need.gpu > 0) waiting += Math.ceil(count / times(job.spec.need, type.size));
      else {
        wanted ||= !this.isTooExpensive(job, type, false);
        wantedSpot ||= job.spec.spot && !this.isTooExpensive(job, type, true);
      }
    }
    const free = machines.filter((m) => !busy(m) && m.phase === "up" && !(m.spot && wantedSpot));
    const most = this.maxUsefulMachines(type);
    const inUse = Math.min(most, machines.filter(busy).length + waiting);
    const wantedNow = Math.min(most, inUse + spare);
    kind.needed.push({ at: this.#ctx.now, count: wantedNow });
    while (
      kind.needed[0] &&
      kind.needed[0].at < this.#ctx.now - KEEP_WINDOWS * settings.spare_window_s * 1000
    ) {
      kind.needed.shift();
    }
    // While such work keeps coming, what it needed at its height is kept; once it has ceased, only what is in use.
    const keep = this.#ceased(kind) ? inUse : Math.max(...kind.needed.map((n) => n.count));
    const young = this.#ctx.now - this.#startedAt < settings.spare_window_s * 1000;
    let surplus = wanted || young ? 0 : machines.length - keep;
    this.#ctx.log("debug", "gpu reserve", {
      type: type.name,
      machines: machines.length,
      busy: machines.filter(busy).length,
      waiting,
      spare,
      keep,
      wanted,
      surplus,
    });
    // Those chosen before: chosen anew each second, one machine after another was cleared of its work and kept.
    // Then the dear ones, and of those the emptiest.
    free.sort(
      (a, b) =>
        Number(b.isMarkedForScaleIn) - Number(a.isMarkedForScaleIn) ||
        Number(a.spot) - Number(b.spot) ||
        a.placements.size - b.placements.size ||
        a.index - b.index,
    );
    for (const machine of machines) machine.isMarkedForScaleIn = false;
    for (const machine of free) {
      if (surplus-- <= 0) break;
      machine.isMarkedForScaleIn = true;
      for (const placement of [...machine.placements]) {
        if (
          placement.job.spec.checkpointS > 0 &&
          !placement.stop &&
          !hasCompletionObjective(this.#ctx, placement.job)
        ) {
          this.#scheduler.preemption.stopGracefully(placement, "its machine is not needed");
        }
      }
    }
  }

  /** More machines than the teams' limits let work run on are of no use. */
  maxUsefulMachines(type: MachineType): number {
    const kind = this.#kind(type);
    const { need } = kind;
    if (!need || need.gpu === 0) return 0;
    let tasks = 0;
    for (const team of this.#ctx.deployment.teams) {
      if (kind.teams.has(team.name)) tasks += Math.floor(team.limit.gpu / need.gpu);
    }
    return Math.ceil(tasks / Math.max(1, times(need, type.size)));
  }

  /** No such work for several times as long as it usually takes for some to come. */
  #ceased({ lastAt, gapMs }: Kind): boolean {
    return this.#ctx.now - lastAt > Math.max(CEASED_MIN_MS, CEASED_TIMES * gapMs);
  }

  /** Small work is worth a machine with GPUs only up to a multiple of what it costs elsewhere. */
  isTooExpensive(job: Job, type: MachineType, spot: boolean): boolean {
    if (job.spec.need.gpu > 0 || type.size.gpu === 0) return false;
    let least = Number.POSITIVE_INFINITY;
    for (const other of this.#tables.machineTypes.values()) {
      if (other.size.gpu > 0 || !fitsMachineType(job.spec, other)) continue;
      least = Math.min(least, other.price / times(job.spec.need, other.size));
    }
    const price = spot ? type.spotPrice : type.price;
    return price / times(job.spec.need, type.size) > least * this.#ctx.settings.dear_factor;
  }
}

function larger(a: Resources | null, b: Resources): Resources {
  if (!a) return b;
  return { cpu: Math.max(a.cpu, b.cpu), gpu: Math.max(a.gpu, b.gpu), ram: Math.max(a.ram, b.ram) };
}
