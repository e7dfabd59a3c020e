import type { AgentManager } from "../agents/agent-manager.js";
import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { MachineType } from "../model/deployment.js";
import type { Job } from "../model/job.js";
import type { LeaderLease } from "../model/leader-lease.js";
import { countFitting } from "../model/resources.js";
import type { BlockedJob, Scheduler } from "../scheduling/scheduler.js";
import type { RecordWriter } from "../store/record-writer.js";
import { CloudInventory } from "./cloud-inventory.js";
import { CreationRequests } from "./creation-requests.js";
import { GpuHeadroom } from "./gpu-headroom.js";
import { MachineReaper } from "./machine-reaper.js";
import { MachineTerminator } from "./machine-terminator.js";
import { type Offer, offerSuits } from "./offer.js";
import { ScaleOutPlan } from "./scale-out-plan.js";

/** The blocked tasks of an array are given machines enough to be done in about this time. */
const ARRAY_DRAIN_S = 45;
/** The factor on a spot machine's price for the work that is lost when it is reclaimed. */
const SPOT_RISK_FACTOR = 1.25;
const MAX_MACHINES_PER_REQUEST = 50;

/** What the provisioner works with. */
export interface ProvisionerDependencies {
  readonly ctx: Context;
  readonly lease: LeaderLease;
  readonly cluster: ClusterState;
  readonly agents: AgentManager;
  readonly recordWriter: RecordWriter;
  readonly scheduler: Scheduler;
  /** The cloud's catalogue was read. */
  onMachineTypes(types: readonly MachineType[]): void;
}

/**
 * Autoscaling: creates machines for blocked tasks (scale-out) and terminates those not needed (scale-in). The parts:
 * `CloudInventory` follows what the cloud lists, `MachineReaper` and `GpuHeadroom` decide what is terminated,
 * `MachineTerminator` and `CreationRequests` carry it out.
 */
export class Provisioner {
  readonly #ctx: Context;
  readonly #cluster: ClusterState;
  readonly #scheduler: Scheduler;
  readonly #inventory: CloudInventory;
  readonly #gpuHeadroom: GpuHeadroom;
  readonly #reaper: MachineReaper;
  readonly #terminator: MachineTerminator;
  readonly #creationRequests: CreationRequests;
  /** Machines of each type that are there or requested, as of the present scale-out. */
  #countsByType = new Map<string, number>();

  constructor(dependencies: ProvisionerDependencies) {
    const { ctx, lease, cluster, agents, recordWriter, scheduler } = dependencies;
    this.#ctx = ctx;
    this.#cluster = cluster;
    this.#scheduler = scheduler;
    this.#gpuHeadroom = new GpuHeadroom(ctx, cluster, scheduler);
    this.#reaper = new MachineReaper(ctx, lease, cluster, scheduler);
    this.#terminator = new MachineTerminator(ctx, cluster, agents, recordWriter);
    this.#creationRequests = new CreationRequests(ctx, lease, cluster);
    this.#inventory = new CloudInventory(ctx, cluster, {
      onMachineTypes: (types) => dependencies.onMachineTypes(types),
      onMachineFailed: (machine) => this.#reaper.markForTermination(machine, "failed"),
    });
  }

  /** Ends what is under way, as the leader's term has ended. */
  end(): void {
    this.#inventory.stop();
  }

  /** Follows the cloud's lists and marks machines; with a valid leader lease it also creates and terminates. */
  tick(hasValidLease: boolean): void {
    this.#inventory.tick();
    this.#gpuHeadroom.tick();
    this.#reaper.tick();
    if (!hasValidLease) return;
    this.#creationRequests.retry();
    this.#terminator.tick();
    if (this.#inventory.hasFullListing && this.#cluster.machineTypes.size > 0) this.#scaleOut();
  }

  #scaleOut(): void {
    this.#countsByType = this.#countMachinesByType();
    const plan = this.#planIncoming();
    for (const blocked of this.#scheduler.blocked) {
      const { job } = blocked;
      if (job.state === "active" && job.pendingCount !== 0) this.#planFor(blocked, plan);
    }
    for (const { offer, count } of plan.planned())
      this.#creationRequests.create(offer, Math.min(MAX_MACHINES_PER_REQUEST, count));
  }

  /** A plan with the machines that are there, booting and requested. */
  #planIncoming(): ScaleOutPlan {
    const plan = new ScaleOutPlan();
    for (const { phase, type, zone, spot } of this.#cluster.machines.values()) {
      if (phase === "releasing") continue;
      plan.machineCount++;
      if (phase === "booting" && type) plan.addIncoming({ type, zone, spot }, 1);
    }
    for (const { offer, count } of this.#creationRequests.inFlight()) {
      plan.machineCount += count;
      plan.addIncoming(offer, count);
    }
    return plan;
  }

  /** Books a job's blocked tasks on machines coming up, and plans the cheapest machines for the rest. */
  #planFor(blocked: BlockedJob, plan: ScaleOutPlan): void {
    const { job } = blocked;
    const { max_machines: maxMachines } = this.#ctx.settings;
    const wantedTasks = this.#tasksToProvisionFor(blocked);
    const zone = job.spec.oneZone ? this.#chooseZone(job, plan, wantedTasks) : null;
    let tasksLeft = plan.book(job, wantedTasks, zone);
    while (tasksLeft > 0 && plan.machineCount < maxMachines) {
      const offer = this.#cheapestOffer(job, zone, tasksLeft);
      if (!offer) break;
      const tasksPerMachine = countFitting(job.spec.need, offer.type.size);
      const maxUseful = job.spec.need.gpu > 0 ? this.#gpuHeadroom.maxUsefulMachines(offer.type) : maxMachines;
      const count = Math.min(
        MAX_MACHINES_PER_REQUEST,
        Math.ceil(tasksLeft / tasksPerMachine),
        maxMachines - plan.machineCount,
        maxUseful,
      );
      plan.addPlanned(offer, count, job, Math.min(tasksLeft, tasksPerMachine * count));
      tasksLeft -= tasksPerMachine * count;
    }
  }

  /** How many of the blocked tasks get machines: of an array, so many that all of it is done in about the drain time. */
  #tasksToProvisionFor({ job, count }: BlockedJob): number {
    if (job.spec.shape !== "array" || job.spec.estimateS <= 0) return count;
    const taskS = this.#ctx.estimates.estimateS(job.spec);
    const concurrentTasks = Math.ceil(((job.pendingCount + job.placements.size) * taskS) / ARRAY_DRAIN_S);
    return Math.max(0, Math.min(count, concurrentTasks - job.placements.size));
  }

  /** For a job that must run in one zone, the zone with free capacity for most tasks once the machines are up. */
  #chooseZone(job: Job, plan: ScaleOutPlan, tasks: number): string | null {
    const placesByZone = this.#freePlacesByZone(job, plan);
    let bestZone: string | null = null;
    let mostPlaces = -1;
    for (const zone of this.#ctx.deployment.zones) {
      const places = Math.min(tasks, placesByZone.get(zone) ?? 0);
      if (places < tasks && !this.#cheapestOffer(job, zone, tasks)) continue;
      if (places > mostPlaces) {
        mostPlaces = places;
        bestZone = zone;
      }
    }
    return bestZone;
  }

  #freePlacesByZone(job: Job, plan: ScaleOutPlan): Map<string, number> {
    const { feasibleMachines } = this.#scheduler;
    const placesByZone = new Map<string, number>();
    for (const machine of this.#cluster.machines.values()) {
      if (!feasibleMachines.isSchedulable(machine) || !feasibleMachines.mayRunOn(job, machine)) continue;
      const places = countFitting(job.spec.need, machine.freeCapacity());
      placesByZone.set(machine.zone, (placesByZone.get(machine.zone) ?? 0) + places);
    }
    plan.addFreePlaces(job, placesByZone);
    return placesByZone;
  }

  /** The cheapest offer for tasks of a job, in one zone unless it is null; null if there is none to be had. */
  #cheapestOffer(job: Job, zone: string | null, tasks: number): Offer | null {
    let cheapest: Offer | null = null;
    let leastCost = Number.POSITIVE_INFINITY;
    const fullZones = this.#zonesFullFor(job);
    for (const type of this.#cluster.machineTypes.values()) {
      for (const offeredZone of type.zones) {
        if ((zone !== null && offeredZone !== zone) || fullZones?.has(offeredZone)) continue;
        for (const spot of [false, true]) {
          const offer = { type, zone: offeredZone, spot };
          if (!this.#isUseful(job, offer) || this.#creationRequests.isBackedOff(offer)) continue;
          const cost = costPerTask(job, offer, tasks);
          if (cost < leastCost) {
            cheapest = offer;
            leastCost = cost;
          }
        }
      }
    }
    return cheapest;
  }

  /** The zones that have as many tasks as a job that is spread may have in one; null for one that is not. */
  #zonesFullFor(job: Job): Set<string> | null {
    if (!job.spec.spread) return null;
    const maxTasks = Math.ceil(job.spec.tasks / 2);
    const { zones } = this.#ctx.deployment;
    return new Set(zones.filter((zone) => job.countInZone(zone) >= maxTasks));
  }

  #isUseful(job: Job, offer: Offer): boolean {
    const { type, spot } = offer;
    if (!offerSuits(job, offer) || this.#gpuHeadroom.isTooExpensive(job, type, spot)) return false;
    if (job.spec.need.gpu === 0) return true;
    return (this.#countsByType.get(type.name) ?? 0) < this.#gpuHeadroom.maxUsefulMachines(type);
  }

  #countMachinesByType(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { phase, isLeaseExpired, typeName } of this.#cluster.machines.values()) {
      if (phase === "releasing" || isLeaseExpired) continue;
      counts.set(typeName, (counts.get(typeName) ?? 0) + 1);
    }
    for (const { offer, count } of this.#creationRequests.inFlight())
      counts.set(offer.type.name, (counts.get(offer.type.name) ?? 0) + count);
    return counts;
  }
}

/** A machine's price for each task that it would run; one that would stay emptier than half counts as half full. */
function costPerTask(job: Job, { type, spot }: Offer, tasks: number): number {
  const price = spot ? type.spotPrice * SPOT_RISK_FACTOR : type.price;
  const tasksPerMachine = countFitting(job.spec.need, type.size);
  return price / Math.min(tasksPerMachine, Math.max(tasks, tasksPerMachine / 2));
}
