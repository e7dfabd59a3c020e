import type { AgentManager } from "../agents/agent-manager.js";
import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import type { Placement } from "../model/placement.js";
import type { FeasibleMachines, MachineFilter } from "./feasible-machines.js";
import { type PreemptionPlan, PreemptionPlanner } from "./preemption-planner.js";
import { preemptionPriority } from "./preemption-policy.js";
import { maxTasksPerZone } from "./zone-spread.js";

/** How long freed capacity stays reserved for the preempting job. */
const RESERVATION_MS = 15_000;
/** The minimum time between two searches for victims for the same job. */
const RETRY_DELAY_MS = 500;
/** The time from stopping a victim to starting a task on its capacity, not counting the checkpoint. */
const HANDOVER_S = 1;

/** A request to preempt tasks for a job. */
export interface PreemptionRequest {
  readonly job: Job;
  /** The maximum number of the job's tasks to free capacity for. */
  readonly count: number;
  /** Also allows victims of equal priority, from teams beyond their guaranteed quotas. */
  readonly isWithinGuarantee: boolean;
  readonly isSuitable: MachineFilter;
  /**
   * Seconds within which the capacity is needed: victims whose checkpoint takes longer, other than gangs, are
   * stopped without one. Null means no limit.
   */
  readonly maxSaveS: number | null;
}

/** The plans chosen for a job, in one zone or in all zones. */
interface ChosenPlans {
  readonly plans: readonly PreemptionPlan[];
  readonly slots: number;
}

/** Preempts tasks so that tasks of a job fit, with the least loss of work. */
export class Preemption {
  readonly #ctx: Context;
  readonly #agents: AgentManager;
  readonly #feasibleMachines: FeasibleMachines;
  readonly #planner: PreemptionPlanner;

  constructor(ctx: Context, cluster: ClusterState, agents: AgentManager, feasibleMachines: FeasibleMachines) {
    this.#ctx = ctx;
    this.#agents = agents;
    this.#feasibleMachines = feasibleMachines;
    this.#planner = new PreemptionPlanner(ctx, cluster);
  }

  /** Sets the jobs that are within their teams' guaranteed quotas in this round. */
  beginRound(guaranteedJobs: ReadonlySet<Job>): void {
    this.#planner.beginRound(guaranteedJobs);
  }

  /**
   * Preempts tasks so that up to `count` tasks of the job fit, and reserves the machines for the job. Returns
   * the number of tasks that will fit; for a gang, all or none. Does nothing while an earlier preemption for
   * the job is in progress.
   */
  preemptFor(request: PreemptionRequest): number {
    const { now } = this.#ctx;
    const { job } = request;
    if (job.preemptionUntil > now) return 0;
    // A repeat in the next round would rarely find victims, and the search costs more than the rest of the round.
    const sinceLastTryMs = now - job.preemptionTriedAt;
    if (sinceLastTryMs > 0 && sinceLastTryMs < RETRY_DELAY_MS) return 0;
    job.preemptionTriedAt = now;
    const plans = this.#planMachines(request);
    const zones = job.spec.oneZone ? new Set(plans.map(({ machine }) => machine.zone)) : [null];
    for (const zone of zones) {
      const chosen = choosePlans(request, plans, zone);
      if (chosen.slots === 0 || (job.spec.shape === "gang" && chosen.slots < job.spec.tasks)) continue;
      this.#executePlans(request, chosen.plans);
      return chosen.slots;
    }
    return 0;
  }

  /** Returns a plan for each machine on which the job can be made to fit, by ascending lost work per task. */
  #planMachines({ job, isWithinGuarantee, isSuitable }: PreemptionRequest): PreemptionPlan[] {
    const priority = preemptionPriority(this.#ctx, job);
    const plans: PreemptionPlan[] = [];
    for (const machine of this.#feasibleMachines.findFor(job, isWithinGuarantee ? priority + 1 : priority)) {
      if (!isSuitable(machine)) continue;
      const plan = this.#planner.planFor(job, machine, isWithinGuarantee);
      if (plan) plans.push(plan);
    }
    return plans.sort((a, b) => a.cost / a.slots - b.cost / b.slots);
  }

  /** Reserves the machines, stops the victims and sets how long the job waits for them to end. */
  #executePlans({ job, maxSaveS }: PreemptionRequest, plans: readonly PreemptionPlan[]): void {
    const { now, deployment } = this.#ctx;
    const reason = `preempted for ${job.uid}`;
    let graceS = 0;
    for (const { machine, victims } of plans) {
      machine.reservation = { job, isFirm: false, until: now + RESERVATION_MS };
      job.reservationUntil = now + RESERVATION_MS;
      for (const victim of victims) {
        const { saveS, checkpointS, shape } = victim.job.spec;
        const isSaveTooLong = maxSaveS !== null && saveS + HANDOVER_S > maxSaveS;
        if (isSaveTooLong && checkpointS > 0 && shape !== "gang") {
          this.#agents.stopTask(victim, 0, reason);
          continue;
        }
        graceS = Math.max(graceS, saveS);
        this.stopGracefully(victim, reason);
      }
    }
    job.preemptionUntil = now + graceS * 1000 + deployment.heartbeatIntervalS * 2000;
  }

  /** Stops a task, allowing time for a checkpoint if it writes any. A gang is stopped as a whole. */
  stopGracefully(placement: Placement, reason: string): void {
    const { job } = placement;
    const graceS = job.spec.checkpointS > 0 ? Math.ceil(job.spec.saveS) + 1 : 0;
    const stopped = job.spec.shape === "gang" ? [...job.placements.values()] : [placement];
    for (const member of stopped) this.#agents.stopTask(member, graceS, reason);
  }
}

/** Chooses the cheapest plans until `count` tasks fit, in the given zone or, if null, in all zones. */
function choosePlans(
  { job, count }: PreemptionRequest,
  candidates: readonly PreemptionPlan[],
  zone: string | null,
): ChosenPlans {
  const { spread } = job.spec;
  const zoneLimit = maxTasksPerZone(job.spec);
  const slotsByZone = new Map<string, number>();
  const plans: PreemptionPlan[] = [];
  let slots = 0;
  for (const plan of candidates) {
    if (slots >= count) break;
    const planZone = plan.machine.zone;
    if (zone !== null && planZone !== zone) continue;
    const chosenInZone = slotsByZone.get(planZone) ?? 0;
    let usable = Math.min(plan.slots, count - slots);
    if (spread) usable = Math.min(usable, zoneLimit - (chosenInZone + job.countInZone(planZone)));
    if (usable <= 0) continue;
    slotsByZone.set(planZone, chosenInZone + usable);
    slots += usable;
    plans.push(plan);
  }
  return { plans, slots };
}
