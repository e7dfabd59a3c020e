import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import type { Machine } from "../model/machine.js";
import type { Placement } from "../model/placement.js";
import { add, countFitting, fits, type Resources } from "../model/resources.js";
import { guaranteedStartObjectiveS, startObjectiveS } from "./objectives.js";
import { preemptionPriority } from "./preemption-policy.js";

/** Jobs of this priority preempt protected ones, too, and aren't preempted for a guaranteed quota. */
const TOP_PRIORITY = 3;
/** A task without checkpoints that has run for longer is not preempted for a guaranteed quota. */
const RECLAIM_WITHOUT_CHECKPOINT_MS = 5000;
/** A start counts for an objective once the task has run this long (PROTOCOL, "How aims are counted"). */
const START_COUNTS_AFTER_S = 30;
/** What a GPU weighs against a CPU in lost work, a pure number. */
const GPU_WEIGHT = 10;

/** The victims on one machine that free capacity for at least one task. */
export interface PreemptionPlan {
  readonly machine: Machine;
  /** How many tasks of the job fit once the victims have ended. */
  readonly slots: number;
  /** Empty where a task fits as it is. */
  readonly victims: readonly Placement[];
  /** The work lost, in CPU seconds or, for GPUs, their equivalent. */
  readonly cost: number;
}

interface Candidate {
  readonly placement: Placement;
  /** As in {@link PreemptionPlan.cost}. */
  readonly lostWork: number;
}

/** Decides which tasks a job may preempt, and chooses victims by least priority, then least lost work. */
export class PreemptionPlanner {
  readonly #ctx: Context;
  readonly #clusterState: ClusterState;
  /** The jobs within their teams' guaranteed quotas, as of this round. */
  #guaranteedJobs: ReadonlySet<Job> = new Set();

  constructor(ctx: Context, clusterState: ClusterState) {
    this.#ctx = ctx;
    this.#clusterState = clusterState;
  }

  /** Sets the jobs that are within their teams' guaranteed quotas in this round. */
  beginRound(guaranteedJobs: ReadonlySet<Job>): void {
    this.#guaranteedJobs = guaranteedJobs;
  }

  /** The victims on this machine for at least one task of the job; null if it can't be made to fit there. */
  planFor(job: Job, machine: Machine, isWithinGuarantee: boolean): PreemptionPlan | null {
    const { need } = job.spec;
    let free = machine.freeCapacity();
    if (fits(need, free)) return { machine, slots: countFitting(need, free), victims: [], cost: 0 };
    const victims: Placement[] = [];
    let cost = 0;
    for (const { placement, lostWork } of this.#candidates(job, machine, isWithinGuarantee)) {
      const freed = placement.job.spec.need;
      if (!relievesShortage(need, free, freed)) continue;
      victims.push(placement);
      // What is being stopped already is lost in any case.
      cost += placement.stop ? 0 : lostWork;
      free = add(free, freed);
      if (fits(need, free)) return { machine, slots: countFitting(need, free), victims, cost };
    }
    return null;
  }

  /** The tasks on this machine that the job may preempt, the least important first, then by lost work. */
  #candidates(job: Job, machine: Machine, isWithinGuarantee: boolean): Candidate[] {
    return [...machine.placements]
      .filter((placement) => placement.job !== job && this.#mayPreempt(placement, job, isWithinGuarantee))
      .map((placement) => ({ placement, lostWork: this.#lostWork(placement) }))
      .sort(
        (a, b) =>
          a.placement.job.effectivePriority - b.placement.job.effectivePriority || a.lostWork - b.lostWork,
      );
  }

  /** May this task be preempted for the job? */
  #mayPreempt(victim: Placement, job: Job, isWithinGuarantee: boolean): boolean {
    const priority = preemptionPriority(this.#ctx, job);
    if (priority < TOP_PRIORITY && victim.job.protectedUntil > this.#ctx.now) return false;
    if (victim.job.effectivePriority < priority) return true;
    return (
      isWithinGuarantee &&
      victim.job.effectivePriority === priority &&
      priority !== TOP_PRIORITY &&
      this.#mayReclaimFrom(victim, job)
    );
  }

  /**
   * May a job within its team's guaranteed quota preempt this task of equal priority, which uses quota beyond
   * the guarantee of another team? The rules of the protocol would allow victims of higher priority, too; but
   * a small guaranteed job must not break up a gang of higher priority.
   */
  #mayReclaimFrom(victim: Placement, job: Job): boolean {
    const { team, shape } = job.spec;
    if (victim.job.spec.team === team) return false;
    // Within its own team's guarantee it has borrowed nothing; else two teams would preempt each other in turns.
    if (this.#guaranteedJobs.has(victim.job)) return false;
    // A gang that has run before has had its start; else a few machines would change hands again and again.
    if (shape === "gang" && Number.isFinite(job.lastRanAt)) return false;
    const ranMs = victim.runningSince === null ? 0 : this.#ctx.now - victim.runningSince;
    if (victim.job.spec.checkpointS === 0 && ranMs > RECLAIM_WITHOUT_CHECKPOINT_MS) return false;
    return this.#isBeyondGuarantee(victim.job.spec.team);
  }

  /** Does the team use more than its guaranteed quota? */
  #isBeyondGuarantee(name: string): boolean {
    const team = this.#ctx.deployment.teams.find((other) => other.name === name);
    const usage = this.#clusterState.teamUsage.get(name);
    return (
      team !== undefined &&
      usage !== undefined &&
      (usage.cpu > team.guarantee.cpu || usage.gpu > team.guarantee.gpu)
    );
  }

  /** The work, in CPU seconds, that is lost if this task is preempted: for a gang's task, the whole gang's. */
  #lostWork({ job, runningSince }: Placement): number {
    const { spec } = job;
    const ranS = runningSince === null ? 0 : (this.#ctx.now - runningSince) / 1000;
    // A task that has not run long enough for its start to count would need another start.
    const lostStartS = this.#hasStartObjective(job) ? Math.max(0, START_COUNTS_AFTER_S - ranS) : 0;
    const lostS = spec.checkpointS > 0 ? spec.saveS + lostStartS : ranS;
    const tasks = spec.shape === "gang" ? spec.tasks : 1;
    return ((lostS + 1) * tasks * (spec.need.cpu + spec.need.gpu * GPU_WEIGHT)) / 1000;
  }

  /** Is there an objective for when tasks of this job start? */
  #hasStartObjective(job: Job): boolean {
    if (startObjectiveS(this.#ctx, job) !== null) return true;
    return this.#guaranteedJobs.has(job) && guaranteedStartObjectiveS(this.#ctx) !== null;
  }
}

/** Does a victim free anything of which there is too little? Else preempting it would be of no use. */
function relievesShortage(need: Resources, free: Resources, freed: Resources): boolean {
  return (
    (free.cpu < need.cpu && freed.cpu > 0) ||
    (free.gpu < need.gpu && freed.gpu > 0) ||
    (free.ram < need.ram && freed.ram > 0)
  );
}
