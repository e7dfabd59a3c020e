import type { AgentManager } from "../agents/agent-manager.js";
import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { MachineType } from "../model/deployment.js";
import type { Job } from "../model/job.js";
import type { LeaderLease } from "../model/leader-lease.js";
import { mayRunOn } from "../model/machine.js";
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

/** Machines are provisioned for an array so that it completes in about this time. */
const ARRAY_COMPLETION_TARGET_S = 45;
/** Factor on the price of a spot machine that accounts for the work lost when it is reclaimed. */
const SPOT_RISK_FACTOR = 1.25;
const MAX_MACHINES_PER_REQUEST = 50;

/** The dependencies and the callback of {@link Provisioner}. */
export interface ProvisionerDependencies {
  readonly ctx: Context;
  readonly lease: LeaderLease;
  readonly cluster: ClusterState;
  readonly agents: AgentManager;
  readonly recordWriter: RecordWriter;
  readonly scheduler: Scheduler;
  /** The cloud's catalog has been read. */
  onMachineTypes(types: readonly MachineType[]): void;
}

/**
 * Autoscaling: creates machines for blocked tasks (scale-out) and terminates those not needed (scale-in).
 * `CloudInventory` tracks the cloud's listings, `MachineReaper` and `GpuHeadroom` select machines to terminate, and
 * `MachineTerminator` and `CreationRequests` send the requests.
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
  /** Existing and requested machines by type, updated at each scale-out. */
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

  /** Stops the listing in progress at the end of the leader's term. */
  end(): void {
    this.#inventory.stop();
  }

  /** Updates the inventory and marks machines. Creates and terminates machines only with a valid leader lease. */
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

  /** Returns a plan that counts all machines, with those booting or requested as incoming. */
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

  /** Assigns a job's blocked tasks to incoming machines, and plans the cheapest new machines for the rest. */
  #planFor(blocked: BlockedJob, plan: ScaleOutPlan): void {
    const { job } = blocked;
    const { max_machines: maxMachines } = this.#ctx.settings;
    const wantedTasks = this.#tasksToProvisionFor(blocked);
    const zone = job.spec.oneZone ? this.#chooseZone(job, plan, wantedTasks) : null;
    let tasksLeft = plan.assign(job, wantedTasks, zone);
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

  /** Returns how many blocked tasks to provision for; for an array, as many as meet the target completion time. */
  #tasksToProvisionFor({ job, count }: BlockedJob): number {
    if (job.spec.shape !== "array" || job.spec.estimateS <= 0) return count;
    const taskS = this.#ctx.estimates.estimateS(job.spec);
    const concurrentTasks = Math.ceil(
      ((job.pendingCount + job.placements.size) * taskS) / ARRAY_COMPLETION_TARGET_S,
    );
    return Math.max(0, Math.min(count, concurrentTasks - job.placements.size));
  }

  /**
   * For a job restricted to one zone, returns the zone with free capacity for the most tasks, including incoming
   * machines. Zones with too little capacity and no offer are excluded; null if no zone is left.
   */
  #chooseZone(job: Job, plan: ScaleOutPlan, tasks: number): string | null {
    const slotsByZone = this.#freeSlotsByZone(job, plan);
    let bestZone: string | null = null;
    let mostSlots = -1;
    for (const zone of this.#ctx.deployment.zones) {
      const slots = Math.min(tasks, slotsByZone.get(zone) ?? 0);
      if (slots < tasks && !this.#cheapestOffer(job, zone, tasks)) continue;
      if (slots > mostSlots) {
        mostSlots = slots;
        bestZone = zone;
      }
    }
    return bestZone;
  }

  #freeSlotsByZone(job: Job, plan: ScaleOutPlan): Map<string, number> {
    const { feasibleMachines } = this.#scheduler;
    const slotsByZone = new Map<string, number>();
    for (const machine of this.#cluster.machines.values()) {
      if (!feasibleMachines.isSchedulable(machine) || !mayRunOn(job.spec, machine)) continue;
      const slots = countFitting(job.spec.need, machine.freeCapacity());
      slotsByZone.set(machine.zone, (slotsByZone.get(machine.zone) ?? 0) + slots);
    }
    plan.addFreeSlots(job, slotsByZone);
    return slotsByZone;
  }

  /** Returns the cheapest available offer for a job, in the given zone or, if null, in any; null if there is none. */
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

  /** Returns the zones with the maximum number of tasks of a spread job; null if the job is not spread. */
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

/** Returns a machine's price per task that it would run; a machine less than half full counts as half full. */
function costPerTask(job: Job, { type, spot }: Offer, tasks: number): number {
  const price = spot ? type.spotPrice * SPOT_RISK_FACTOR : type.price;
  const tasksPerMachine = countFitting(job.spec.need, type.size);
  return price / Math.min(tasksPerMachine, Math.max(tasks, tasksPerMachine / 2));
}
