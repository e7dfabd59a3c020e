import { Fleet } from "./agents/agent-manager.js";
import { MachineModes } from "./agents/machine-modes.js";
import { noteOutcome } from "./agents/task-outcome.js";
import { Provisioner } from "./autoscaling/provisioner.js";
import type { Budget, Context } from "./context.js";
import type { Leadership } from "./election/election.js";
import type { Term } from "./election/leader-lease.js";
import { Pipelines } from "./jobs/dependency-graph.js";
import { ProgressReports } from "./jobs/progress-publisher.js";
import type { Heartbeat, HeartbeatReply } from "./messages/agents.js";
import type { StoreEntry } from "./messages/store.js";
import { Rebalancer } from "./migration/replica-migration.js";
import { Tables } from "./model/cluster-state.js";
import type { MachineType } from "./model/deployment.js";
import type { Job } from "./model/job.js";
import type { ExitReason } from "./model/job-spec.js";
import type { Placement } from "./model/placement.js";
import { Scheduler } from "./scheduling/scheduler.js";
import { longestWaits } from "./scheduling/team-load.js";
import type { ConfigView } from "./store/config-watch.js";
import type { FeatureGate } from "./store/feature-gate.js";
import { StateFeed } from "./store/job-watch.js";
import { TypesRecord } from "./store/machine-types-record.js";
import type { RecordSource, StoredRecords } from "./store/record-reader.js";
import { RecordRestore } from "./store/record-restore.js";
import { Recorder } from "./store/record-writer.js";
import { readJob } from "./store/records.js";
import { rereadJob } from "./store/reread-job.js";

const RETRY_MS = 300;
const ROUND_MS = 100;
/** What looks at every machine, whether or not anything happened there, is done this often. */
const SURVEY_MS = 500;
const IDLE_ROUND_MS = 1000;

/** One time in office: the leader's tables and all that works on them. It is dropped whole when it ends. */
export class LeaderTerm {
  readonly term: Term;
  readonly tables: Tables;
  readonly recorder: Recorder;
  readonly fleet: Fleet;
  readonly scheduler: Scheduler;
  readonly provisioner: Provisioner;
  readonly rebalancer: Rebalancer;
  readonly pipelines: Pipelines;
  over = false;
  readonly #feed: StateFeed;
  readonly #progress: ProgressReports;
  readonly #typesRecord: TypesRecord;
  readonly #modes: MachineModes;
  readonly #ctx: Context;
  readonly #view: ConfigView;
  readonly #leadership: Leadership;
  #dirty = true;
  #roundAt = 0;
  #surveyAt = Number.NEGATIVE_INFINITY;

  constructor(
    ctx: Context,
    view: ConfigView,
    leadership: Leadership,
    term: Term,
    gate: FeatureGate,
    /** Chooses where the records come from, given the source that reads all of them. */
    chooseSource: (cold: RecordSource) => RecordSource,
  ) {
    this.#ctx = ctx;
    this.#view = view;
    this.#leadership = leadership;
    this.term = term;
    this.tables = new Tables(ctx.directory);
    this.tables.setTypes(view.types);
    this.recorder = new Recorder(ctx, term, this.tables, view.move?.version ?? 0, {
      recorded: (placements) => this.#recorded(placements),
      jobChanged: (job) => this.#reread(job),
      finished: (job) => this.#finished(job),
      deposed: (why) => leadership.stepDown(why),
      tooLarge: () => gate.open("a record was too large"),
      layout: () => view.layout,
    });
    this.pipelines = new Pipelines(ctx, this.tables, {
      released: (job) => this.#released(job),
      cancelled: (job) => this.#cancelled(job),
    });
    this.fleet = new Fleet(ctx, leadership, term, this.tables, this.recorder, {
      gone: (placement, cause) => this.#gone(placement, cause),
      started: (placement) => this.#started(placement),
      changed: () => {
        this.#dirty = true;
      },
    });
    this.scheduler = new Scheduler(ctx, term, this.tables, this.fleet, this.recorder);
    this.provisioner = new Provisioner(
      ctx,
      term,
      this.tables,
      this.fleet,
      this.recorder,
      this.scheduler,
      (types) => this.#typesRead(types),
    );
    this.rebalancer = new Rebalancer(ctx, this.tables, this.fleet, this.recorder, this.scheduler);
    this.#progress = new ProgressReports(ctx, this.tables);
    this.#modes = new MachineModes(ctx, view, this.tables, this.fleet, this.scheduler);
    this.#typesRecord = new TypesRecord(ctx, view, term);
    this.#feed = new StateFeed(ctx, leadership, (item) => this.learnJob(item));
    this.#feed.load(chooseSource, (records) => this.#rebuild(records));
  }

  /** Every change of a job's key before this time has been applied here; null before the records are read. */
  get knownThrough(): number | null {
    return this.#feed.knownThrough;
  }

  end(): void {
    this.over = true;
    this.recorder.over = true;
    this.#feed.stop();
    this.provisioner.end();
  }

  /* ---- reading what earlier leaders left ---- */

  #rebuild({ machines, chunks, jobs }: StoredRecords): void {
    const { now } = this.#ctx;
    const restore = new RecordRestore(this.#ctx, this.tables, this.recorder, this.pipelines);
    for (const item of machines) restore.machines(item);
    for (const item of jobs) this.learnJob(item);
    const held = restore.placements(chunks);
    // When work that has begun last ran is not on record: its wait counts anew, else a new leader takes all that is
    // waiting for its next tasks for aged.
    for (const job of this.tables.jobs.values()) if (job.doneCount > 0) job.lastHeldAt = now;
    this.scheduler.turns?.restore(
      [...this.tables.jobs.values()].filter((job) => job.doneCount > 0 || job.held.size > 0),
    );
    this.applyModes();
    this.fleet.loaded = true;
    // Reports that came in while the records were being read are as good as new ones.
    for (const machine of this.tables.machines.values()) {
      if (machine.report) this.fleet.reconcile(machine);
      else if (machine.phase === "up") {
        for (const placement of machine.placements)
          machine.session = Math.max(machine.session, placement.session);
        this.fleet.fence(machine);
      }
    }
    for (const job of this.tables.jobs.values()) {
      if (job.state === "cancelled") this.#stopAll(job);
      this.#finishIfOver(job);
    }
    this.rebalancer.inherit(this.#view.move);
    this.#dirty = true;
    this.#ctx.log("info", "leader ready", {
      token: this.term.token,
      jobs: this.tables.jobs.size,
      machines: this.tables.machines.size,
      placements: held,
      after_ms: Math.round(now - this.term.since),
    });
  }

  /* ---- jobs ---- */

  /** Takes in a job's key, from the first read, from following, or straight from the node that wrote it. */
  learnJob(item: StoreEntry): void {
    const record = readJob(item.value);
    const uid = item.key.slice("j/".length);
    if (!record || record.spec.uid !== uid) {
      this.#ctx.log("error", "a record can't be read", { key: item.key });
      return;
    }
    const known = this.tables.jobByUid(uid);
    if (known) {
      if (item.version <= known.version) return;
      known.version = item.version;
      if (record.state === "cancelled") this.#cancelled(known);
      return;
    }
    // News of jobs that have ended in this term may still be on its way.
    if (this.pipelines.isOver(uid)) return;
    const job = this.tables.addJob(record.spec, record.acceptedAt, item.version);
    if (record.state === "cancelled") job.state = "cancelled";
    this.pipelines.add(job);
    if (job.state === "cancelled") this.pipelines.cancelled(job);
    if (this.fleet.loaded) this.#finishIfOver(job);
    this.#dirty = true;
  }

  #released(job: Job): void {
    this.#dirty = true;
    this.#ctx.log("debug", "job released", { job: job.uid });
  }

  #cancelled(job: Job): void {
    if (job.state !== "active") return;
    job.state = "cancelled";
    job.finishing = false;
    this.#stopAll(job);
    this.#finishIfOver(job);
    this.pipelines.cancelled(job);
    this.#dirty = true;
  }

  #stopAll(job: Job): void {
    for (const placement of [...job.held.values()]) this.fleet.stop(placement, 0, "cancelled");
  }

  /** The final state is written once nothing of the job is left anywhere. */
  #finishIfOver(job: Job): void {
    if (!this.fleet.loaded || job.finishing || job.held.size > 0) return;
    if (job.state === "cancelled" || (job.state === "active" && job.complete)) {
      job.finishing = true;
      this.recorder.finish(job);
    }
  }

  #finished(job: Job): void {
    if (job.state === "active") job.state = "done";
    this.tables.jobs.delete(job.ix);
    this.#progress.forget(job);
    const state = job.state === "cancelled" ? "cancelled" : "done";
    this.pipelines.ended(job, job.endedAt === null ? { state } : { state, at: job.endedAt });
  }

  /** A write has failed on the job's key: what is on record now? */
  #reread(job: Job): void {
    rereadJob(this.#ctx, job.uid, (found) => {
      if (this.over || !this.tables.jobs.has(job.ix)) return;
      switch (found.kind) {
        case "active":
          this.learnJob(found.item);
          // Whether or not it has changed after all, what is yet to be written is written on the version just read.
          if (job.state === "active")
            for (const p of job.held.values()) if (!p.durable) this.recorder.touch(job, p.task, true);
          if (job.finishing) this.recorder.finish(job);
          break;
        case "over":
          job.state = found.state;
          job.endedAt = found.at;
          this.#stopAll(job);
          if (job.held.size === 0) this.#finished(job);
          break;
        case "unknown":
          this.#feed.later(RETRY_MS, () => this.#reread(job));
          break;
      }
    });
  }

  #recorded(placements: readonly Placement[]): void {
    for (const placement of placements) {
      if (placement.machine.placements.has(placement) && placement.seen === null)
        this.fleet.want(placement.machine);
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
    this.recorder.touch(job, task, false);
    noteOutcome(this.#ctx, this.recorder, placement, cause);
    const orderly = cause === "done" || cause === "stopped";
    if (job.spec.shape === "gang" && !orderly && !job.complete) {
      for (const other of [...job.held.values()]) {
        if (!other.stop) this.fleet.stop(other, 0, "its gang is broken");
      }
    }
    if (!this.rebalancer.gone(placement)) this.#finishIfOver(job);
  }

  /* ---- the course of time ---- */

  report(report: Heartbeat): HeartbeatReply {
    return this.fleet.answer(report);
  }

  tick(budget: Budget): void {
    const { now } = this.#ctx;
    this.#feed.tick();
    if (!this.fleet.loaded) return;
    this.pipelines.tick();
    this.fleet.greet();
    if (now - this.#surveyAt >= SURVEY_MS) {
      this.#surveyAt = now;
      this.fleet.tick();
      this.#modes.drain();
      if (this.over) return;
      this.provisioner.tick(this.#leadership.confirmed);
      if (this.#leadership.confirmed) this.rebalancer.tick();
    }
    this.#decide(budget);
    this.#progress.tick();
  }

  /** What has become due in this batch: decisions, records, orders. */
  settle(budget: Budget): void {
    if (this.over || !this.fleet.loaded) return;
    this.#decide(budget);
    this.recorder.flush();
    this.fleet.sendWanted();
  }

  #decide(budget: Budget): void {
    const { now } = this.#ctx;
    if (!this.#leadership.confirmed) return;
    if (now - this.#roundAt < (this.#dirty ? ROUND_MS : IDLE_ROUND_MS)) return;
    this.#roundAt = now;
    this.#dirty = !this.scheduler.round(budget);
  }

  #typesRead(types: readonly MachineType[]): void {
    this.tables.setTypes(types);
    this.#dirty = true;
    this.#typesRecord.write(types);
  }

  /** Takes over what the operators have set machines to; those set aside for errors stay so. */
  applyModes(): void {
    this.#modes.apply();
    this.#dirty = true;
  }

  /** The indices in use, for the sweep of the name tables. */
  inUse(): { jobs: Set<number>; machines: Set<number> } {
    const jobs = new Set(this.tables.jobs.keys());
    for (const machine of this.tables.machines.values()) {
      for (const entry of machine.report?.tasks ?? []) jobs.add(entry.job);
    }
    return { jobs, machines: new Set(this.tables.machines.keys()) };
  }

  /** By team, how long the longest wait is; null where turns don't count. */
  longestWaits(): ReadonlyMap<string, number> | null {
    const { turns } = this.scheduler;
    const { deployment, wallMs } = this.#ctx;
    return turns && longestWaits(turns, this.tables.jobs.values(), deployment.teams, wallMs);
  }

  counts(uid: string): { done: number; running: number } | null {
    const job = this.tables.jobByUid(uid);
    return job ? { done: job.doneCount, running: job.running() } : null;
  }
}
