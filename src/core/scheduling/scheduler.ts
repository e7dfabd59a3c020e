import { RoundRobinTurns } from "../../admission/round-robin-turns.js";
import type { AgentManager } from "../agents/agent-manager.js";
import type { Context, TimeBudget } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { Machine } from "../model/machine.js";
import type { Placement } from "../model/placement.js";
import { add, NO_RESOURCES } from "../model/resources.js";
import type { RecordWriter } from "../store/record-writer.js";
import { anyMachine, FeasibleMachines } from "./feasible-machines.js";
import { GangCapacity } from "./gang-capacity.js";
import { GangScheduler } from "./gang-scheduling.js";
import { GpuHeadroomGuard } from "./gpu-headroom-guard.js";
import { findGuaranteedJobs } from "./guaranteed-quota.js";
import { MachineScoring } from "./machine-scoring.js";
import { NegativeFitCache } from "./negative-fit-cache.js";
import { isDeadlineAtRisk } from "./objectives.js";
import { PENDING_REASONS, recordPendingReason } from "./pending-reasons.js";
import { Preemption } from "./preemption.js";
import { isPreemptionDeferred, mayPreempt } from "./preemption-policy.js";
import { isStarving, sortQueue } from "./queue-order.js";
import { Reservations } from "./reservations.js";
import { TaskPlacer } from "./task-placer.js";
import { TaskScheduler } from "./task-scheduling.js";

/** A starving array may place at most one in this many of its pending tasks per round, rounded up. */
const STARVING_ARRAY_DIVISOR = 4;

/** A job with pending tasks in the queue of a round. */
interface QueuedJob {
  readonly job: Job;
  /** True if the job is within its team's guaranteed quota. */
  readonly isWithinGuarantee: boolean;
}

/** A job with tasks for which a round found no capacity. */
export interface BlockedJob extends QueuedJob {
  /** The number of tasks without capacity. */
  readonly count: number;
}

/** A round that exceeded its time budget. */
interface InterruptedRound {
  readonly queue: readonly QueuedJob[];
  /** The index of the first queue entry not yet processed. */
  readonly nextIndex: number;
}

/**
 * Assigns tasks to machines in rounds over the queue of pending jobs. A round is interrupted when its time budget
 * is spent, and the next call resumes it. This class runs the rounds and enforces the quota limit;
 * {@link GangScheduler} places gangs, {@link TaskScheduler} places arrays and services.
 */
export class Scheduler {
  readonly #ctx: Context;
  readonly #cluster: ClusterState;
  readonly #negativeFits: NegativeFitCache;
  readonly #reservations: Reservations;
  readonly #gangCapacity: GangCapacity;
  readonly #placer: TaskPlacer;
  readonly #gangs: GangScheduler;
  readonly #tasks: TaskScheduler;
  #interrupted: InterruptedRound | null = null;
  /** The blocked jobs of the current round. */
  #blockedInRound: BlockedJob[] = [];
  readonly feasibleMachines: FeasibleMachines;
  readonly preemption: Preemption;
  /** The jobs for which the last complete round found no capacity. */
  blocked: BlockedJob[] = [];
  /** Number of times that a round exceeded its time budget. */
  interruptedRounds = 0;
  /** Null if fair admission is disabled. */
  readonly turns: RoundRobinTurns | null;

  constructor(
    ctx: Context,
    lease: LeaderLease,
    cluster: ClusterState,
    agents: AgentManager,
    recordWriter: RecordWriter,
  ) {
    this.#ctx = ctx;
    this.#cluster = cluster;
    this.turns = ctx.areRoundRobinTurnsEnabled ? new RoundRobinTurns() : null;
    this.#negativeFits = new NegativeFitCache(ctx);
    this.#reservations = new Reservations(ctx);
    this.#gangCapacity = new GangCapacity(cluster);
    const gpuHeadroom = new GpuHeadroomGuard(ctx, cluster);
    this.feasibleMachines = new FeasibleMachines(ctx, cluster, gpuHeadroom);
    this.preemption = new Preemption(ctx, cluster, agents, this.feasibleMachines);
    this.#placer = new TaskPlacer({ ctx, lease, cluster, recordWriter, turns: this.turns });
    const dependencies = {
      ctx,
      feasibleMachines: this.feasibleMachines,
      scoring: new MachineScoring(ctx, gpuHeadroom),
      negativeFits: this.#negativeFits,
      preemption: this.preemption,
      placer: this.#placer,
    };
    this.#gangs = new GangScheduler(dependencies);
    this.#tasks = new TaskScheduler(dependencies);
  }

  /**
   * Processes the queue, or the rest of it after an interrupted round. Returns false if the time budget was
   * spent before the end of the queue; call again to resume. Each call processes at least one job.
   */
  runRound(budget: TimeBudget): boolean {
    const { queue, nextIndex } = this.#interrupted ?? { queue: this.#buildQueue(), nextIndex: 0 };
    if (this.#interrupted === null) this.#blockedInRound = [];
    this.#interrupted = null;
    // Capacity may have been freed, and machines added or removed, since the last call.
    this.#negativeFits.clear();
    this.feasibleMachines.beginRound(queue.map(({ job }) => job));
    this.#gangCapacity.beginRound();
    for (let i = nextIndex; i < queue.length; i++) {
      if (i > nextIndex && budget.isSpent()) {
        this.#interrupted = { queue, nextIndex: i };
        this.interruptedRounds++;
        return false;
      }
      const entry = queue[i];
      if (entry) this.#scheduleJob(entry);
    }
    this.blocked = this.#blockedInRound;
    return true;
  }

  /** Returns how many more tasks of this job its team's quota limit allows. */
  tasksWithinQuota(job: Job): number {
    const team = this.#ctx.deployment.teams.find(({ name }) => name === job.spec.team);
    if (!team) return 0;
    const usage = add(
      this.#cluster.teamUsage.get(team.name) ?? NO_RESOURCES,
      this.#reservations.reservedQuota(job),
    );
    const { need } = job.spec;
    let tasks = Number.POSITIVE_INFINITY;
    if (need.cpu > 0) tasks = Math.min(tasks, Math.floor((team.limit.cpu - usage.cpu) / need.cpu));
    if (need.gpu > 0) tasks = Math.min(tasks, Math.floor((team.limit.gpu - usage.gpu) / need.gpu));
    return Math.max(0, tasks);
  }

  /** Binds a task to a machine; see {@link TaskPlacer.place}. */
  placeTask(job: Job, task: number, machine: Machine): Placement {
    return this.#placer.place(job, task, machine);
  }

  /** Returns the jobs with pending tasks that may be placed, in queue order. */
  #buildQueue(): QueuedJob[] {
    const unfinished = [...this.#cluster.jobs.values()]
      .filter((job) => job.state === "active" && job.dependenciesSatisfied && !job.isComplete)
      .sort((a, b) => a.queuedSince - b.queuedSince || (a.uid < b.uid ? -1 : 1));
    const guaranteed = findGuaranteedJobs(this.#ctx.deployment.teams, unfinished);
    this.preemption.beginRound(guaranteed);
    const pending = unfinished.filter((job) => this.#isEligible(job));
    const turnPositions = this.#assignTurns(pending);
    return sortQueue(this.#ctx, pending, guaranteed, turnPositions).map((job) => ({
      job,
      isWithinGuarantee: guaranteed.has(job),
    }));
  }

  /** True if the job has pending tasks that may be placed now. */
  #isEligible(job: Job): boolean {
    if (job.pendingCount === 0 || job.isFinalRecordQueued) return false;
    // Tasks in the unreadable record may still be running (I3).
    if (job.hasUnreadableRecord) {
      recordPendingReason(this.#ctx, job, PENDING_REASONS.recordUnreadable);
      return false;
    }
    if (job.backoffUntil > this.#ctx.now) {
      recordPendingReason(this.#ctx, job, PENDING_REASONS.failureBackoff);
      return false;
    }
    return true;
  }

  /** Marks the jobs whose round-robin turn is due. Returns each job's position in its class queue. */
  #assignTurns(pending: readonly Job[]): ReadonlyMap<Job, number> {
    if (!this.turns) return new Map();
    const { settings, wallMs } = this.#ctx;
    const due = this.turns.due(pending, settings.admission_turn_s * 1000, wallMs);
    for (const job of pending) job.hasRoundRobinTurn = due.has(job);
    return this.turns.classQueuePositions(pending);
  }

  #scheduleJob(entry: QueuedJob): void {
    const { job } = entry;
    if (job.state !== "active" || job.pendingCount === 0) return;
    job.pendingReason = null;
    if (job.spec.shape === "gang") this.#scheduleGang(entry);
    else this.#scheduleTasks(entry);
  }

  /** Schedules an array or a service: as many tasks as quota and capacity allow. */
  #scheduleTasks(entry: QueuedJob): void {
    const { job } = entry;
    // A starving array places only part of its tasks in a round, so that it does not block other jobs.
    const isPartial = job.spec.shape === "array" && isStarving(this.#ctx, job);
    const wanted = isPartial ? Math.ceil(job.pendingCount / STARVING_ARRAY_DIVISOR) : job.pendingCount;
    const allowed = Math.min(wanted, this.tasksWithinQuota(job));
    if (allowed === 0) {
      recordPendingReason(this.#ctx, job, PENDING_REASONS.quotaLimit);
      return;
    }
    const placed = this.#tasks.schedule(job, allowed);
    if (placed < allowed) this.#onNoCapacity(entry, allowed - placed);
  }

  /** Schedules a gang: all tasks or none, and only after all placements of its previous attempt have ended (I3). */
  #scheduleGang(entry: QueuedJob): void {
    const { job, isWithinGuarantee } = entry;
    if (job.placements.size > 0) {
      recordPendingReason(this.#ctx, job, PENDING_REASONS.previousAttemptActive);
      return;
    }
    if (Math.min(job.pendingCount, this.tasksWithinQuota(job)) < job.spec.tasks) {
      recordPendingReason(this.#ctx, job, PENDING_REASONS.quotaLimit);
      // Otherwise smaller jobs would take any freed quota of the team, and the gang would starve indefinitely.
      if (isStarving(this.#ctx, job)) this.#reservations.reserveQuota(job);
      return;
    }
    if (this.#gangs.schedule(job, isWithinGuarantee) !== "noCapacity") return;
    this.#onNoCapacity(entry, job.spec.tasks);
    if (job.spec.tasks > 1) this.#reserveZoneFor(job);
  }

  /** Records a job as blocked, and preempts for it if it is allowed to. */
  #onNoCapacity({ job, isWithinGuarantee }: QueuedJob, count: number): void {
    const { now } = this.#ctx;
    job.blockedSince ??= now;
    const isPreempting = job.preemptionUntil > now;
    recordPendingReason(
      this.#ctx,
      job,
      isPreempting ? PENDING_REASONS.preemptionUnderWay : PENDING_REASONS.noCapacity,
    );
    this.#blockedInRound.push({ job, count, isWithinGuarantee });
    if (mayPreempt(this.#ctx, job) || (isWithinGuarantee && !isPreemptionDeferred(this.#ctx, job)))
      this.preemption.preemptFor({ job, count, isWithinGuarantee, isSuitable: anyMachine, maxSaveS: null });
  }

  /** Reserves a zone for a gang that is starving or whose deadline is at risk, if it could fit there at all. */
  #reserveZoneFor(job: Job): void {
    const starving = isStarving(this.#ctx, job);
    if (!starving && !isDeadlineAtRisk(this.#ctx, job)) return;
    // Reserving machines in vain would keep all other jobs off them for as long as the gang waits.
    if (!this.#gangCapacity.mayEverFit(job)) return;
    this.#reservations.reserveZone(job, starving, this.feasibleMachines.findFor(job));
  }
}
