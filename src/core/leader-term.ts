import { type AgentEvents, AgentManager } from "./agents/agent-manager.js";
import { OutlierDetector } from "./agents/outlier-detector.js";
import { TaskOutcomes } from "./agents/task-outcome.js";
import { MachineEvacuation } from "./autoscaling/machine-evacuation.js";
import { Provisioner } from "./autoscaling/provisioner.js";
import { ClusterRecovery } from "./cluster-recovery.js";
import type { Context, TimeBudget } from "./context.js";
import type { Election } from "./election/election.js";
import { JobLifecycle, type JobLifecycleCallbacks } from "./job-lifecycle.js";
import { type DependencyEvents, DependencyGraph } from "./jobs/dependency-graph.js";
import { ProgressPublisher } from "./jobs/progress-publisher.js";
import type { Heartbeat, HeartbeatReply } from "./messages/agents.js";
import type { StoreEntry } from "./messages/store.js";
import { ReplicaMigrator } from "./migration/replica-migration.js";
import { ClusterState } from "./model/cluster-state.js";
import type { MachineType } from "./model/deployment.js";
import type { ExitReason } from "./model/job-spec.js";
import type { LeaderLease } from "./model/leader-lease.js";
import type { Placement } from "./model/placement.js";
import { Scheduler } from "./scheduling/scheduler.js";
import { longestWaitMsByTeam } from "./scheduling/team-load.js";
import type { ConfigWatch } from "./store/config-watch.js";
import type { FeatureGate } from "./store/feature-gate.js";
import { JobWatch } from "./store/job-watch.js";
import { MachineTypesRecord } from "./store/machine-types-record.js";
import type { RecordSource, StoredRecords } from "./store/record-reader.js";
import { RecordWriter, type RecordWriterCallbacks } from "./store/record-writer.js";

/** Minimum interval between scheduling rounds. */
const ROUND_INTERVAL_MS = 100;
/** Interval of rounds that no event triggers, for conditions that change only with time. */
const IDLE_ROUND_INTERVAL_MS = 1000;
/** Interval of the work that iterates over all machines. */
const MACHINE_SCAN_INTERVAL_MS = 500;

/** The dependencies of {@link LeaderTerm}. */
export interface LeaderTermDependencies {
  readonly config: ConfigWatch;
  readonly election: Election;
  readonly lease: LeaderLease;
  readonly featureGate: FeatureGate;
  /** Chooses the source of the records, given the one that reads all of them from the key-value store. */
  readonly chooseSource: (fullRead: RecordSource) => RecordSource;
}

/**
 * One term of a leader: its cluster state and the components that work on it. A term starts by loading the records of
 * earlier leaders and makes no decisions until they are loaded. All of its state is discarded when it ends.
 */
export class LeaderTerm {
  readonly lease: LeaderLease;
  readonly cluster: ClusterState;
  readonly recordWriter: RecordWriter;
  readonly agents: AgentManager;
  readonly scheduler: Scheduler;
  readonly provisioner: Provisioner;
  readonly migrator: ReplicaMigrator;
  readonly dependencies: DependencyGraph;
  /** True once the term has ended: callbacks that are still pending must have no effect. */
  hasEnded = false;
  readonly #ctx: Context;
  readonly #config: ConfigWatch;
  readonly #election: Election;
  readonly #jobLifecycle: JobLifecycle;
  readonly #jobWatch: JobWatch;
  readonly #recovery: ClusterRecovery;
  readonly #progress: ProgressPublisher;
  readonly #machineTypesRecord: MachineTypesRecord;
  readonly #machineEvacuation: MachineEvacuation;
  readonly #outliers: OutlierDetector;
  readonly #taskOutcomes: TaskOutcomes;
  /** True if a change has occurred that a scheduling round may act on. */
  #isRoundNeeded = true;
  #lastRoundAt = 0;
  #lastMachineScanAt = Number.NEGATIVE_INFINITY;

  constructor(ctx: Context, { config, election, lease, featureGate, chooseSource }: LeaderTermDependencies) {
    this.#ctx = ctx;
    this.#config = config;
    this.#election = election;
    this.lease = lease;
    const cluster = new ClusterState(ctx.names);
    cluster.setMachineTypes(config.machineTypes);
    this.cluster = cluster;
    const migrationVersion = config.migration?.version ?? 0;
    const recordWriter = new RecordWriter(
      ctx,
      lease,
      cluster,
      migrationVersion,
      this.#recordWriterCallbacks(featureGate),
    );
    this.recordWriter = recordWriter;
    const dependencies = new DependencyGraph(ctx, cluster, this.#dependencyEvents());
    this.dependencies = dependencies;
    const agents = new AgentManager({ ctx, election, lease, cluster, recordWriter }, this.#agentEvents());
    this.agents = agents;
    const scheduler = new Scheduler(ctx, lease, cluster, agents, recordWriter);
    this.scheduler = scheduler;
    const onMachineTypes = (types: readonly MachineType[]) => this.#onMachineTypesRead(types);
    this.provisioner = new Provisioner({
      ctx,
      lease,
      cluster,
      agents,
      recordWriter,
      scheduler,
      onMachineTypes,
    });
    this.migrator = new ReplicaMigrator(ctx, { cluster, agents, recordWriter, scheduler });
    this.#progress = new ProgressPublisher(ctx, cluster);
    this.#outliers = new OutlierDetector(ctx, cluster, () => this.#requestRound());
    this.#taskOutcomes = new TaskOutcomes(ctx, recordWriter, this.#outliers);
    this.#machineEvacuation = new MachineEvacuation(ctx, cluster, agents, scheduler);
    this.#machineTypesRecord = new MachineTypesRecord(ctx, config, lease);
    const sharedDependencies = { cluster, agents, recordWriter, dependencies };
    this.#jobLifecycle = new JobLifecycle(ctx, sharedDependencies, this.#jobLifecycleCallbacks());
    this.#recovery = new ClusterRecovery(ctx, { ...sharedDependencies, scheduler });
    this.#jobWatch = new JobWatch(
      ctx,
      () => election.watchWaitMs,
      (entry) => this.applyJobRecord(entry),
    );
    this.#jobWatch.load(chooseSource, (records) => this.#onRecordsLoaded(records));
  }

  #recordWriterCallbacks(featureGate: FeatureGate): RecordWriterCallbacks {
    return {
      onPlacementsRecorded: (placements) => this.#sendRecordedStarts(placements),
      onJobKeyChanged: (job) => this.#jobLifecycle.reread(job),
      onFinalRecordWritten: (job) => this.#jobLifecycle.onFinalRecordWritten(job),
      onLeadershipLost: (reason) => this.#election.stepDown(reason),
      onRecordTooLarge: () => featureGate.open("a record was too large"),
      layout: () => this.#config.layout,
    };
  }

  #dependencyEvents(): DependencyEvents {
    return {
      onDependenciesSatisfied: (job) => {
        this.#requestRound();
        this.#ctx.log("debug", "job dependencies satisfied", { job: job.uid });
      },
      onDependencyCancelled: (job) => this.#jobLifecycle.cancel(job),
    };
  }

  #agentEvents(): AgentEvents {
    return {
      onPlacementEnded: (placement, exitReason) => this.#onPlacementEnded(placement, exitReason),
      onTaskRunning: (placement) => this.#logTaskRunning(placement),
      onCapacityChanged: () => this.#requestRound(),
    };
  }

  #jobLifecycleCallbacks(): JobLifecycleCallbacks {
    return {
      hasTermEnded: () => this.hasEnded,
      onJobsChanged: () => this.#requestRound(),
      onJobRemoved: (job) => this.#progress.remove(job),
      runAfter: (delayMs, run) => this.#jobWatch.runAfter(delayMs, run),
    };
  }

  /** All changes to job keys made before this time have been applied (I1); null until the records are loaded. */
  get cancellationsKnownThrough(): number | null {
    return this.#jobWatch.cancellationsKnownThrough;
  }

  /** Ends the term: from now on it writes no records, makes no calls and sends no replies. */
  end(): void {
    this.hasEnded = true;
    this.recordWriter.isStopped = true;
    this.#jobWatch.stop();
    this.provisioner.end();
  }

  /* ---- loading the records of earlier leaders ---- */

  #onRecordsLoaded(records: StoredRecords): void {
    const placements = this.#recovery.restore(records, (entry) => this.applyJobRecord(entry));
    this.applyMachineModes();
    this.agents.areRecordsLoaded = true;
    this.#recovery.reconcileMachines();
    this.#jobLifecycle.reconcileRestoredJobs();
    this.migrator.resume(this.#config.migration);
    this.#requestRound();
    this.#ctx.log("info", "leader ready", {
      fencing_token: this.lease.fencingToken,
      jobs: this.cluster.jobs.size,
      machines: this.cluster.machines.size,
      placements,
      after_ms: Math.round(this.#ctx.now - this.lease.electedAt),
    });
  }

  /* ---- jobs and placements ---- */

  /** Applies a job record from loading, from the watch, or directly from the node that wrote it. */
  applyJobRecord(entry: StoreEntry): void {
    this.#jobLifecycle.applyRecord(entry);
  }

  /** Sends the start commands of placements, which is allowed only once they are recorded (I2). */
  #sendRecordedStarts(placements: readonly Placement[]): void {
    for (const placement of placements) {
      if (placement.machine.placements.has(placement) && placement.observedState === null)
        this.agents.queueCommands(placement.machine);
    }
  }

  #logTaskRunning({ job, task, machine, placedAt }: Placement): void {
    this.#ctx.log("debug", "task running", {
      job: job.uid,
      task,
      class: job.spec.jobClass,
      machine: machine.name,
      after_s: Math.round((this.#ctx.wallMs - job.acceptedAt) / 100) / 10,
      placed_s: Math.round((this.#ctx.now - placedAt) / 100) / 10,
    });
  }

  #onPlacementEnded(placement: Placement, cause: ExitReason | "lost"): void {
    const { job, task } = placement;
    this.#requestRound();
    this.recordWriter.markDirty(job, task, false);
    this.#taskOutcomes.apply(placement, cause);
    if (breaksGang(placement, cause)) this.#stopRestOfGang(placement);
    if (!this.migrator.onPlacementEnded(placement)) this.#jobLifecycle.finalizeIfEnded(job);
  }

  /** Stops the other tasks of a gang, as a gang runs only with all of its tasks. */
  #stopRestOfGang({ job }: Placement): void {
    for (const member of [...job.placements.values()]) {
      if (!member.stop) this.agents.stopTask(member, 0, "another task of the gang failed or was lost");
    }
  }

  /* ---- heartbeats and ticks ---- */

  /** Handles an agent's heartbeat. Returns the reply, which renews the agent's lease. */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatReply {
    return this.agents.replyTo(heartbeat);
  }

  /** Runs time-driven work: leases, fencing, machines, migration, and a scheduling round if one is due. */
  tick(budget: TimeBudget): void {
    this.#jobWatch.tick();
    if (!this.agents.areRecordsLoaded) return;
    this.dependencies.tick();
    this.agents.sendQueuedFencing();
    this.#scanMachinesIfDue();
    if (this.hasEnded) return;
    this.#runRoundIfDue(budget);
    this.#progress.tick();
  }

  #scanMachinesIfDue(): void {
    const { now } = this.#ctx;
    if (now - this.#lastMachineScanAt < MACHINE_SCAN_INTERVAL_MS) return;
    this.#lastMachineScanAt = now;
    this.agents.expireLeases();
    this.#outliers.tick();
    this.#machineEvacuation.tick();
    if (this.hasEnded) return;
    this.provisioner.tick(this.#election.hasValidLease);
    if (this.#election.hasValidLease) this.migrator.tick();
  }

  /** Finishes a batch: runs a scheduling round if due, writes records, then sends commands, in this order (I2). */
  finishBatch(budget: TimeBudget): void {
    if (this.hasEnded || !this.agents.areRecordsLoaded) return;
    this.#runRoundIfDue(budget);
    this.recordWriter.flush();
    this.agents.sendQueuedCommands();
  }

  #requestRound(): void {
    this.#isRoundNeeded = true;
  }

  #runRoundIfDue(budget: TimeBudget): void {
    const { now } = this.#ctx;
    if (!this.#election.hasValidLease) return;
    const intervalMs = this.#isRoundNeeded ? ROUND_INTERVAL_MS : IDLE_ROUND_INTERVAL_MS;
    if (now - this.#lastRoundAt < intervalMs) return;
    this.#lastRoundAt = now;
    const isComplete = this.scheduler.runRound(budget);
    this.#isRoundNeeded = !isComplete;
  }

  #onMachineTypesRead(types: readonly MachineType[]): void {
    this.cluster.setMachineTypes(types);
    this.#requestRound();
    this.#machineTypesRecord.write(types);
  }

  /** Applies the machine modes set by operators. Verdicts on faulty machines are not affected. */
  applyMachineModes(): void {
    this.cluster.setOperatorModes(this.#config.machineModes);
    this.#requestRound();
  }

  /* ---- queries ---- */

  /** Returns the indices of job and machine names in use, which must not be reclaimed. */
  indicesInUse(): { jobs: Set<number>; machines: Set<number> } {
    const jobs = new Set(this.cluster.jobs.keys());
    for (const machine of this.cluster.machines.values()) {
      for (const task of machine.heartbeat?.tasks ?? []) jobs.add(task.job);
    }
    return { jobs, machines: new Set(this.cluster.machines.keys()) };
  }

  /** Returns the longest wait of each team in milliseconds; null if round-robin turns are disabled. */
  longestWaits(): ReadonlyMap<string, number> | null {
    const { turns } = this.scheduler;
    const { deployment, wallMs } = this.#ctx;
    return turns && longestWaitMsByTeam(turns, this.cluster.jobs.values(), deployment.teams, wallMs);
  }

  /** Returns the numbers of done and running tasks of a job; null if it is not in this leader's cluster state. */
  progressOf(uid: string): { done: number; running: number } | null {
    const job = this.cluster.jobByUid(uid);
    return job ? { done: job.doneCount, running: job.countRunning() } : null;
  }
}

/** True if a task failed or was lost before its gang completed, which breaks the gang. */
function breaksGang({ job }: Placement, cause: ExitReason | "lost"): boolean {
  return job.spec.shape === "gang" && cause !== "done" && cause !== "stopped" && !job.isComplete;
}
