import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import type { Machine } from "../model/machine.js";
import type { Placement } from "../model/placement.js";
import { add, countFitting, fits, type Resources } from "../model/resources.js";
import { guaranteedStartObjectiveS, startObjectiveS } from "./objectives.js";
import { preemptionPriority } from "./preemption-policy.js";

/** Jobs of this priority (production) may preempt protected jobs and are not preempted for a guaranteed quota. */
const TOP_PRIORITY = 3;
/** A task without checkpoints is not preempted for a guaranteed quota after running this long. */
const RECLAIM_WITHOUT_CHECKPOINT_MS = 5000;
/** A start counts toward an objective once the task has run this long (PROTOCOL, "How aims are counted"). */
const START_COUNTS_AFTER_S = 30;
/** Number of CPUs that one GPU is equivalent to when lost work is computed. */
const GPU_WEIGHT = 10;

/** The victims to preempt on one machine so that at least one task fits. */
export interface PreemptionPlan {
  readonly machine: Machine;
  /** The number of the job's tasks that fit once the victims have ended. */
  readonly slots: number;
  /** Empty if a task fits without preemption. */
  readonly victims: readonly Placement[];
  /** The work lost, in CPU seconds; GPU time is converted to its equivalent. */
  readonly cost: number;
}

interface Candidate {
  readonly placement: Placement;
  /** As in {@link PreemptionPlan.cost}. */
  readonly lostWork: number;
}

/** Decides which tasks a job may preempt, and selects victims by lowest priority, then least lost work. */
export class PreemptionPlanner {
  readonly #ctx: Context;
  readonly #cluster: ClusterState;
  /** The jobs within their teams' guaranteed quotas in this round. */
  #guaranteedJobs: ReadonlySet<Job> = new Set();

  constructor(ctx: Context, cluster: ClusterState) {
    this.#ctx = ctx;
    this.#cluster = cluster;
  }

  /** Sets the jobs that are within their teams' guaranteed quotas in this round. */
  beginRound(guaranteedJobs: ReadonlySet<Job>): void {
    this.#guaranteedJobs = guaranteedJobs;
  }

  /** Plans preemption on this machine for at least one task of the job; null if none can be made to fit. */
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
      // Stopping a task that is already being stopped costs nothing more.
      cost += placement.stop ? 0 : lostWork;
      free = add(free, freed);
      if (fits(need, free)) return { machine, slots: countFitting(need, free), victims, cost };
    }
    return null;
  }

  /** Returns the tasks on this machine that the job may preempt, by ascending priority, then by lost work. */
  #candidates(job: Job, machine: Machine, isWithinGuarantee: boolean): Candidate[] {
    return [...machine.placements]
      .filter((placement) => placement.job !== job && this.#mayPreempt(placement, job, isWithinGuarantee))
      .map((placement) => ({ placement, lostWork: this.#lostWork(placement) }))
      .sort(
        (a, b) =>
          a.placement.job.effectivePriority - b.placement.job.effectivePriority || a.lostWork - b.lostWork,
      );
  }

  /** True if this task may be preempted for the job. */
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
   * True if a job within its team's guaranteed quota may preempt this task of equal priority to
   * reclaim capacity that another team uses beyond its guarantee. PROTOCOL would also allow victims of
   * higher priority, but a small guaranteed job must not stop a whole gang of higher priority.
   */
  #mayReclaimFrom(victim: Placement, job: Job): boolean {
    const { team, shape } = job.spec;
    if (victim.job.spec.team === team) return false;
    // A victim within its own team's guarantee is exempt; otherwise two teams would preempt each other alternately.
    if (this.#guaranteedJobs.has(victim.job)) return false;
    // A gang that has run before has already had its start. If it could reclaim capacity again, the same few
    // machines would change hands repeatedly.
    if (shape === "gang" && Number.isFinite(job.lastRanAt)) return false;
    const ranMs = victim.runningSince === null ? 0 : this.#ctx.now - victim.runningSince;
    if (victim.job.spec.checkpointS === 0 && ranMs > RECLAIM_WITHOUT_CHECKPOINT_MS) return false;
    return this.#isBeyondGuarantee(victim.job.spec.team);
  }

  /** True if the team uses more than its guaranteed quota. */
  #isBeyondGuarantee(name: string): boolean {
    const team = this.#ctx.deployment.teams.find((other) => other.name === name);
    const usage = this.#cluster.teamUsage.get(name);
    return (
      team !== undefined &&
      usage !== undefined &&
      (usage.cpu > team.guarantee.cpu || usage.gpu > team.guarantee.gpu)
    );
  }

  /** Returns the work lost by preempting this task, in CPU seconds; for a task of a gang, that of the whole gang. */
  #lostWork({ job, runningSince }: Placement): number {
    const { spec } = job;
    const ranS = runningSince === null ? 0 : (this.#ctx.now - runningSince) / 1000;
    // A task preempted before its start counts needs another start, so the time still missing adds to the loss.
    const lostStartS = this.#hasStartObjective(job) ? Math.max(0, START_COUNTS_AFTER_S - ranS) : 0;
    const lostS = spec.checkpointS > 0 ? spec.saveS + lostStartS : ranS;
    const tasks = spec.shape === "gang" ? spec.tasks : 1;
    return ((lostS + 1) * tasks * (spec.need.cpu + spec.need.gpu * GPU_WEIGHT)) / 1000;
  }

  /** True if tasks of this job have a start objective. */
  #hasStartObjective(job: Job): boolean {
    if (startObjectiveS(this.#ctx, job) !== null) return true;
    return this.#guaranteedJobs.has(job) && guaranteedStartObjectiveS(this.#ctx) !== null;
  }
}

/** True if the freed capacity includes a resource that is short. */
function relievesShortage(need: Resources, free: Resources, freed: Resources): boolean {
  return (
    (free.cpu < need.cpu && freed.cpu > 0) ||
    (free.gpu < need.gpu && freed.gpu > 0) ||
    (free.ram < need.ram && freed.ram > 0)
  );
}
