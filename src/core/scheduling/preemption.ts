import type { AgentManager } from "../agents/agent-manager.js";
import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import type { Machine } from "../model/machine.js";
import type { Placement } from "../model/placement.js";
import type { Resources } from "../model/resources.js";
import { fits, times } from "../model/resources.js";
import { guaranteedStartObjectiveS, preemptionPriority, startObjectiveS } from "./queue-order.js";

const RESERVE_MS = 15_000;
/** How long a job for which nothing could be stopped waits before that is looked into again. */
const SEEK_AGAIN_MS = 500;
const RECLAIM_MS = 5000;
/** A start that is stopped sooner counts for nothing (PROTOCOL, "How aims are counted"). */
const START_COUNTS_S = 30;
/** What passes between a stop and the start of what it made room for, saving aside. */
const HANDOVER_S = 1;

/** What may be stopped for what, and the cheapest way to make room. */
export class Preemption {
  readonly #ctx: Context;
  readonly #tables: ClusterState;
  readonly #fleet: AgentManager;
  /** Machines with room for a task of the job, if what work below a priority uses is counted as room. */
  readonly #candidates: (job: Job, below: number) => Machine[];
  /** The jobs within their teams' guarantees, as of this round. */
  guaranteed: ReadonlySet<Job> = new Set();

  constructor(
    ctx: Context,
    tables: ClusterState,
    fleet: AgentManager,
    candidates: (job: Job, below: number) => Machine[],
  ) {
    this.#ctx = ctx;
    this.#tables = tables;
    this.#fleet = fleet;
    this.#candidates = candidates;
  }

  /** May this placement be stopped so that the job can run? */
  #mayStop(victim: Placement, job: Job, guaranteed: boolean): boolean {
    const spec = victim.job.spec;
    const priority = preemptionPriority(this.#ctx, job);
    if (priority < 3 && victim.job.protectedUntil > this.#ctx.now) return false;
    if (victim.job.effectivePriority < priority) return true;
    // The rules would allow more; but small guaranteed work must not break up a gang of higher priority.
    if (!guaranteed || spec.team === job.spec.team || victim.job.effectivePriority > priority) return false;
    if (victim.job.effectivePriority === 3) return false;
    // What is within its own team's guarantee has borrowed nothing: two teams took turns stopping each other's gangs,
    // some of them twenty times.
    if (this.guaranteed.has(victim.job)) return false;
    // A gang that has run before has had its start: taken back again and again, the same few machines changed hands.
    if (job.spec.shape === "gang" && Number.isFinite(job.lastRanAt)) return false;
    // Taking back what another team has borrowed must not throw away much work.
    const ranMs = victim.runningSince === null ? 0 : this.#ctx.now - victim.runningSince;
    if (spec.checkpointS === 0 && ranMs > RECLAIM_MS) return false;
    const team = this.#ctx.deployment.teams.find((t) => t.name === spec.team);
    const use = this.#tables.teamUsage.get(spec.team);
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
  preemptFor(
    job: Job,
    count: number,
    guaranteed: boolean,
    suits: (machine: Machine) => boolean,
    hurryS: number | null,
  ): number {
    const { now } = this.#ctx;
    if (job.preemptionUntil > now) return 0;
    // What can't be stopped now can hardly be in the next round: looking costs more than all the rest of one.
    const sinceMs = now - job.preemptionTriedAt;
    if (sinceMs > 0 && sinceMs < SEEK_AGAIN_MS) return 0;
    job.preemptionTriedAt = now;
    const { need, tasks, oneZone, spread, shape } = job.spec;
    const plans: { machine: Machine; slots: number; victims: Placement[]; cost: number }[] = [];
    const priority = preemptionPriority(this.#ctx, job);
    for (const machine of this.#candidates(job, guaranteed ? priority + 1 : priority)) {
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
          const there = (inZone.get(plan.machine.zone) ?? 0) + job.countInZone(plan.machine.zone);
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
        machine.reservation = { job, isFirm: false, until: now + RESERVE_MS };
        job.reservationUntil = now + RESERVE_MS;
        for (const victim of victims) {
          const { saveS, checkpointS } = victim.job.spec;
          const late = hurryS !== null && saveS + HANDOVER_S > hurryS;
          if (late && checkpointS > 0 && victim.job.spec.shape !== "gang") {
            this.#fleet.stopTask(victim, 0, `room for ${job.uid}`);
            continue;
          }
          graceS = Math.max(graceS, saveS);
          this.stopGracefully(victim, `room for ${job.uid}`);
        }
      }
      job.preemptionUntil = now + graceS * 1000 + this.#ctx.deployment.heartbeatIntervalS * 2000;
      return slots;
    }
    return 0;
  }

  /** The cheapest tasks to stop on this machine so that at least one task of the job fits. */
  #plan(
    job: Job,
    machine: Machine,
    need: Resources,
    guaranteed: boolean,
  ): { slots: number; victims: Placement[]; cost: number } | null {
    const room = machine.freeCapacity();
    if (fits(need, room)) return { slots: times(need, room), victims: [], cost: 0 };
    const victims: Placement[] = [];
    let cost = 0;
    const list = [...machine.placements]
      .filter((p) => p.job !== job && this.#mayStop(p, job, guaranteed))
      .map((p) => ({ p, cost: this.#lossOf(p) }))
      .sort((a, b) => a.p.job.effectivePriority - b.p.job.effectivePriority || a.cost - b.cost);
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
    // What has only just begun would have to begin once more to count.
    const startS = this.#startCounts(placement.job) ? Math.max(0, START_COUNTS_S - ran) : 0;
    const lost = spec.checkpointS > 0 ? spec.saveS + startS : ran;
    const tasks = spec.shape === "gang" ? spec.tasks : 1;
    return ((lost + 1) * tasks * (spec.need.cpu + spec.need.gpu * 10)) / 1000;
  }

  /** Have the operators an aim for when tasks of this job start? */
  #startCounts(job: Job): boolean {
    if (startObjectiveS(this.#ctx, job) !== null) return true;
    return this.guaranteed.has(job) && guaranteedStartObjectiveS(this.#ctx) !== null;
  }

  /** Stops a task, with time to save if it can; a gang is stopped as a whole. */
  stopGracefully(placement: Placement, why: string): void {
    this.#ctx.log("debug", "task stopped", {
      job: placement.job.uid,
      task: placement.task,
      machine: placement.machine.name,
      why,
    });
    const { job } = placement;
    const graceS = job.spec.checkpointS > 0 ? Math.ceil(job.spec.saveS) + 1 : 0;
    const group = job.spec.shape === "gang" ? [...job.placements.values()] : [placement];
    for (const member of group) this.#fleet.stopTask(member, graceS, why);
  }
}
