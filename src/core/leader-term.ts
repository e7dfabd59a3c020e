import { AgentManager } from "./agents/agent-manager.js";
import { MachineModes } from "./agents/machine-modes.js";
import { applyTaskOutcome } from "./agents/task-outcome.js";
import { Provisioner } from "./autoscaling/provisioner.js";
import type { Context, TimeBudget } from "./context.js";
import type { Election } from "./election/election.js";
import type { LeaderLease } from "./election/leader-lease.js";
import { DependencyGraph } from "./jobs/dependency-graph.js";
import { ProgressPublisher } from "./jobs/progress-publisher.js";
import type { Heartbeat, HeartbeatReply } from "./messages/agents.js";
import type { StoreEntry } from "./messages/store.js";
import { ReplicaMigrator } from "./migration/replica-migration.js";
import { ClusterState } from "./model/cluster-state.js";
import type { MachineType } from "./model/deployment.js";
import type { Job } from "./model/job.js";
import type { ExitReason } from "./model/job-spec.js";
import type { Placement } from "./model/placement.js";
import { Scheduler } from "./scheduling/scheduler.js";
import { longestWaits } from "./scheduling/team-load.js";
import type { ConfigWatch } from "./store/config-watch.js";
import type { FeatureGate } from "./store/feature-gate.js";
import { JobWatch } from "./store/job-watch.js";
import { MachineTypesRecord } from "./store/machine-types-record.js";
import type { RecordSource, StoredRecords } from "./store/record-reader.js";
import { RecordRestore } from "./store/record-restore.js";
import { RecordWriter } from "./store/record-writer.js";
import { readJob } from "./store/records.js";
import { rereadJob } from "./store/reread-job.js";

const RETRY_MS = 300;
const ROUND_MS = 100;
/** What looks at every machine, whether or not anything happened there, is done this often. */
const SURVEY_MS = 500;
const IDLE_ROUND_MS = 1000;

/** One time in office: the leader's tables and all that works on them. It is dropped whole when it ends. */
export class LeaderTerm {
  readonly lease: LeaderLease;
  readonly cluster: ClusterState;
  readonly recordWriter: RecordWriter;
  readonly agents: AgentManager;
  readonly scheduler: Scheduler;
  readonly provisioner: Provisioner;
  readonly migrator: ReplicaMigrator;
  readonly dependencies: DependencyGraph;
  hasEnded = false;
  readonly #feed: JobWatch;
  readonly #progress: ProgressPublisher;
  readonly #typesRecord: MachineTypesRecord;
  readonly #modes: MachineModes;
  readonly #ctx: Context;
  readonly #view: ConfigWatch;
  readonly #leadership: Election;
  #dirty = true;
  #roundAt = 0;
  #surveyAt = Number.NEGATIVE_INFINITY;

  constructor(
    ctx: Context,
    view: ConfigWatch,
    leadership: Election,
    term: LeaderLease,
    gate: FeatureGate,
    /** Chooses where the records come from, given the source that reads all of them. */
    chooseSource: (cold: RecordSource) => RecordSource,
  ) {
    this.#ctx = ctx;
    this.#view = view;
    this.#leadership = leadership;
    this.lease = term;
    this.cluster = new ClusterState(ctx.names);
    this.cluster.setMachineTypes(view.machineTypes);
    this.recordWriter = new RecordWriter(ctx, term, this.cluster, view.migration?.version ?? 0, {
      onPlacementsRecorded: (placements) => this.#recorded(placements),
      onJobKeyChanged: (job) => this.#reread(job),
      onJobFinished: (job) => this.#finished(job),
      onLeadershipLost: (why) => leadership.stepDown(why),
      onRecordTooLarge: () => gate.open("a record was too large"),
      layout: () => view.layout,
    });
    this.dependencies = new DependencyGraph(ctx, this.cluster, {
      onDependenciesSatisfied: (job) => this.#released(job),
      onDependencyCancelled: (job) => this.#cancelled(job),
    });
    this.agents = new AgentManager(ctx, leadership, term, this.cluster, this.recordWriter, {
      onPlacementEnded: (placement, cause) => this.#gone(placement, cause),
      onTaskRunning: (placement) => this.#started(placement),
      onCapacityChanged: () => {
        this.#dirty = true;
      },
    });
    this.scheduler = new Scheduler(ctx, term, this.cluster, this.agents, this.recordWriter);
    this.provisioner = new Provisioner(
      ctx,
      term,
      this.cluster,
      this.agents,
      this.recordWriter,
      this.scheduler,
      (types) => this.#typesRead(types),
    );
    this.migrator = new ReplicaMigrator(ctx, this);
    this.#progress = new ProgressPublisher(ctx, this.cluster);
    this.#modes = new MachineModes(ctx, view, this.cluster, this.agents, this.scheduler);
    this.#typesRecord = new MachineTypesRecord(ctx, view, term);
    this.#feed = new JobWatch(ctx, leadership, (item) => this.applyJobRecord(item));
    this.#feed.load(chooseSource, (records) => this.#rebuild(records));
  }

  /** Every change of a job's key before this time has been applied here; null before the records are read. */
  get cancellationsKnownThrough(): number | null {
    return this.#feed.cancellationsKnownThrough;
  }

  end(): void {
    this.hasEnded = true;
    this.recordWriter.isStopped = true;
    this.#feed.stop();
    this.provisioner.end();
  }

  /* ---- reading what earlier leaders left ---- */

  #rebuild({ machines, chunks, jobs }: StoredRecords): void {
    const { now } = this.#ctx;
    const restore = new RecordRestore(this.#ctx, this.cluster, this.recordWriter, this.dependencies);
    for (const item of machines) restore.restoreMachines(item);
    for (const item of jobs) this.applyJobRecord(item);
    const held = restore.restorePlacements(chunks);
    // When work that has begun last ran is not on record: its wait counts anew, else a new leader takes all that is
    // waiting for its next tasks for aged.
    for (const job of this.cluster.jobs.values()) if (job.doneCount > 0) job.lastRanAt = now;
    this.scheduler.turns?.restore(
      [...this.cluster.jobs.values()].filter((job) => job.doneCount > 0 || job.placements.size > 0),
    );
    this.applyMachineModes();
    this.agents.areRecordsLoaded = true;
    // Reports that came in while the records were being read are as good as new ones.
    for (const machine of this.cluster.machines.values()) {
      if (machine.heartbeat) this.agents.reconcile(machine);
      else if (machine.phase === "up") {
        for (const placement of machine.placements)
          machine.incarnation = Math.max(machine.incarnation, placement.incarnation);
        this.agents.queueFencing(machine);
      }
    }
    for (const job of this.cluster.jobs.values()) {
      if (job.state === "cancelled") this.#stopAll(job);
      this.#finishIfOver(job);
    }
    this.migrator.resume(this.#view.migration);
    this.#dirty = true;
    this.#ctx.log("info", "leader ready", {
      token: this.lease.fencingToken,
      jobs: this.cluster.jobs.size,
      machines: this.cluster.machines.size,
      placements: held,
      after_ms: Math.round(now - this.lease.electedAt),
    });
  }

  /* ---- jobs ---- */

  /** Takes in a job's key, from the first read, from following, or straight from the node that wrote it. */
  applyJobRecord(item: StoreEntry): void {
    const record = readJob(item.value);
    const uid = item.key.slice("j/".length);
    if (!record || record.spec.uid !== uid) {
      this.#ctx.log("error", "a record can't be read", { key: item.key });
      return;
    }
    const known = this.cluster.jobByUid(uid);
    if (known) {
      if (item.version <= known.version) return;
      known.version = item.version;
      if (record.state === "cancelled") this.#cancelled(known);
      return;
    }
    // News of jobs that have ended in this term may still be on its way.
    if (this.dependencies.isKnownEnded(uid)) return;
    const job = this.cluster.addJob(record.spec, record.acceptedAt, item.version);
    if (record.state === "cancelled") job.state = "cancelled";
    this.dependencies.add(job);
    if (job.state === "cancelled") this.dependencies.onJobCancelled(job);
    if (this.agents.areRecordsLoaded) this.#finishIfOver(job);
    this.#dirty = true;
  }

  #released(job: Job): void {
    this.#dirty = true;
    this.#ctx.log("debug", "job released", { job: job.uid });
  }

  #cancelled(job: Job): void {
    if (job.state !== "active") return;
    job.state = "cancelled";
    job.isFinalRecordQueued = false;
    this.#stopAll(job);
    this.#finishIfOver(job);
    this.dependencies.onJobCancelled(job);
    this.#dirty = true;
  }

  #stopAll(job: Job): void {
    for (const placement of [...job.placements.values()]) this.agents.stopTask(placement, 0, "cancelled");
  }

  /** The final state is written once nothing of the job is left anywhere. */
  #finishIfOver(job: Job): void {
    if (!this.agents.areRecordsLoaded || job.isFinalRecordQueued || job.placements.size > 0) return;
    if (job.state === "cancelled" || (job.state === "active" && job.isComplete)) {
      job.isFinalRecordQueued = true;
      this.recordWriter.queueFinalRecord(job);
    }
  }

  #finished(job: Job): void {
    if (job.state === "active") job.state = "done";
    this.cluster.jobs.delete(job.index);
    this.#progress.forget(job);
    const state = job.state === "cancelled" ? "cancelled" : "done";
    this.dependencies.onJobEnded(job, job.endedAt === null ? { state } : { state, at: job.endedAt });
  }

  /** A write has failed on the job's key: what is on record now? */
  #reread(job: Job): void {
    rereadJob(this.#ctx, job.uid, (found) => {
      if (this.hasEnded || !this.cluster.jobs.has(job.index)) return;
      switch (found.kind) {
        case "active":
          this.applyJobRecord(found.item);
          // Whether or not it has changed after all, what is yet to be written is written on the version just read.
          if (job.state === "active")
            for (const p of job.placements.values())
              if (!p.isRecorded) this.recordWriter.markDirty(job, p.task, true);
          if (job.isFinalRecordQueued) this.recordWriter.queueFinalRecord(job);
          break;
        case "over":
          job.state = found.state;
          job.endedAt = found.at;
          this.#stopAll(job);
          if (job.placements.size === 0) this.#finished(job);
          break;
        case "unknown":
          this.#feed.runAfter(RETRY_MS, () => this.#reread(job));
          break;
      }
    });
  }

  #recorded(placements: readonly Placement[]): void {
    for (const placement of placements) {
      if (placement.machine.placements.has(placement) && placement.observedState === null)
        this.agents.queueCommands(placement.machine);
    }
  }

  #started({ job, task, machine, placedAt }: Placement): void {
    this.#ctx.log("debug", "task runs", {
      job: job.uid,
      task,
      class: job.spec.jobClass,
      machine: machine.name,
      after_s: Math.round((this.#ctx.wallMs - job.acceptedAt) / 100) / 10,
      placed_s: Math.round((this.#ctx.now - placedAt) / 100) / 10,
    });
  }

  #gone(placement: Placement, cause: ExitReason | "lost"): void {
    const { job, task } = placement;
    this.#dirty = true;
    this.recordWriter.markDirty(job, task, false);
    applyTaskOutcome(this.#ctx, this.recordWriter, placement, cause);
    const orderly = cause === "done" || cause === "stopped";
    if (job.spec.shape === "gang" && !orderly && !job.isComplete) {
      for (const other of [...job.placements.values()]) {
        if (!other.stop) this.agents.stopTask(other, 0, "its gang is broken");
      }
    }
    if (!this.migrator.onPlacementEnded(placement)) this.#finishIfOver(job);
  }

  /* ---- the course of time ---- */

  handleHeartbeat(report: Heartbeat): HeartbeatReply {
    return this.agents.replyTo(report);
  }

  tick(budget: TimeBudget): void {
    const { now } = this.#ctx;
    this.#feed.tick();
    if (!this.agents.areRecordsLoaded) return;
    this.dependencies.tick();
    this.agents.sendQueuedFencing();
    if (now - this.#surveyAt >= SURVEY_MS) {
      this.#surveyAt = now;
      this.agents.expireLeases();
      this.#modes.drain();
      if (this.hasEnded) return;
      this.provisioner.tick(this.#leadership.hasValidLease);
      if (this.#leadership.hasValidLease) this.migrator.tick();
    }
    this.#decide(budget);
    this.#progress.tick();
  }

  /** What has become due in this batch: decisions, records, orders. */
  finishBatch(budget: TimeBudget): void {
    if (this.hasEnded || !this.agents.areRecordsLoaded) return;
    this.#decide(budget);
    this.recordWriter.flush();
    this.agents.sendQueuedCommands();
  }

  #decide(budget: TimeBudget): void {
    const { now } = this.#ctx;
    if (!this.#leadership.hasValidLease) return;
    if (now - this.#roundAt < (this.#dirty ? ROUND_MS : IDLE_ROUND_MS)) return;
    this.#roundAt = now;
    this.#dirty = !this.scheduler.runRound(budget);
  }

  #typesRead(types: readonly MachineType[]): void {
    this.cluster.setMachineTypes(types);
    this.#dirty = true;
    this.#typesRecord.write(types);
  }

  /** Takes over what the operators have set machines to; those set aside for errors stay so. */
  applyMachineModes(): void {
    this.#modes.apply();
    this.#dirty = true;
  }

  /** The indices in use, for the sweep of the name tables. */
  indicesInUse(): { jobs: Set<number>; machines: Set<number> } {
    const jobs = new Set(this.cluster.jobs.keys());
    for (const machine of this.cluster.machines.values()) {
      for (const entry of machine.heartbeat?.tasks ?? []) jobs.add(entry.job);
    }
    return { jobs, machines: new Set(this.cluster.machines.keys()) };
  }

  /** By team, how long the longest wait is; null where turns don't count. */
  longestWaits(): ReadonlyMap<string, number> | null {
    const { turns } = this.scheduler;
    const { deployment, wallMs } = this.#ctx;
    return turns && longestWaits(turns, this.cluster.jobs.values(), deployment.teams, wallMs);
  }

  progressOf(uid: string): { done: number; running: number } | null {
    const job = this.cluster.jobByUid(uid);
    return job ? { done: job.doneCount, running: job.countRunning() } : null;
  }
}
