import type { Context } from "../context.js";
import type { Election } from "../election/election.js";
import type { AgentCommand, Heartbeat, ReportedTask } from "../messages/agents.js";
import { fencingTokenOf } from "../model/attempt-number.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { Machine } from "../model/machine.js";
import type { Placement } from "../model/placement.js";
import type { RecordWriter } from "../store/record-writer.js";

/** A command that shows no effect is sent again after this. */
const RESEND_INTERVAL_MS = 1000;
/** I2: starts rest on knowledge of their job's cancellation no older than this, a few rounds of the job watch. */
const CANCELLATION_KNOWLEDGE_MAX_AGE_MS = 6000;

/** What the planner works with. */
export interface CommandPlannerDependencies {
  readonly ctx: Context;
  readonly election: Election;
  readonly lease: LeaderLease;
  readonly cluster: ClusterState;
  readonly recordWriter: RecordWriter;
  /** The start of a placement can no longer be sent under the fencing token of its attempt: it has to be removed. */
  onStartAbandoned(placement: Placement): void;
}

/** Decides what an agent is to do: which tasks to start and to stop, which ended attempts it need no longer report. */
export class CommandPlanner {
  readonly #ctx: Context;
  readonly #election: Election;
  readonly #lease: LeaderLease;
  readonly #cluster: ClusterState;
  readonly #recordWriter: RecordWriter;
  readonly #onStartAbandoned: (placement: Placement) => void;

  constructor(dependencies: CommandPlannerDependencies) {
    this.#ctx = dependencies.ctx;
    this.#election = dependencies.election;
    this.#lease = dependencies.lease;
    this.#cluster = dependencies.cluster;
    this.#recordWriter = dependencies.recordWriter;
    this.#onStartAbandoned = (placement) => dependencies.onStartAbandoned(placement);
  }

  /**
   * The commands that are due for a machine, in a heartbeat's reply or in a batch sent directly. They count as sent:
   * until the resend interval is over they are not returned again.
   */
  commandsFor(machine: Machine): AgentCommand[] {
    const commands: AgentCommand[] = [];
    const { heartbeat } = machine;
    const canStart = this.#election.hasValidLease;
    for (const placement of machine.placements) {
      if (!placement.isRecorded || placement.incarnation !== machine.incarnation) continue;
      if (placement.observedState === null) {
        if (this.#isAbandoned(placement)) {
          this.#abandonStart(placement);
          continue;
        }
        if (!canStart || !this.#maySendStart(placement)) continue;
        this.#planStart(placement, commands);
      }
      this.#planStop(placement, commands);
    }
    if (heartbeat && heartbeat.incarnation === machine.incarnation)
      this.#planForUnknownTasks(machine, heartbeat, commands);
    return commands;
  }

  /** True for a placement of this term whose fencing token was advanced before its start was ever sent. */
  #isAbandoned({ startSentUnder, attempt }: Placement): boolean {
    if (startSentUnder !== 0) return false;
    const fencingToken = fencingTokenOf(attempt);
    return fencingToken >= this.#lease.firstFencingToken && fencingToken < this.#lease.fencingToken;
  }

  #abandonStart(placement: Placement): void {
    this.#recordWriter.markDirty(placement.job, placement.task, false);
    this.#onStartAbandoned(placement);
  }

  /**
   * A start is only ever sent under the fencing token that its attempt carries: acknowledging ended attempts relies on
   * it. A start, or its repeat, also rests on recent knowledge that its job is not cancelled (I2), unless the task is
   * being stopped anyway.
   */
  #maySendStart(placement: Placement): boolean {
    if (fencingTokenOf(placement.attempt) !== this.#lease.fencingToken) return false;
    return placement.stop !== null || this.#isKnownNotCancelled(placement);
  }

  #isKnownNotCancelled({ notCancelledAsOf }: Placement): boolean {
    const knownAt = Math.max(notCancelledAsOf, this.#election.cancellationsKnownThrough);
    return this.#ctx.now - knownAt < CANCELLATION_KNOWLEDGE_MAX_AGE_MS;
  }

  #planStart(placement: Placement, commands: AgentCommand[]): void {
    const { now } = this.#ctx;
    const { job, task, attempt } = placement;
    // A stop is sent behind the start, so that the attempt exists, ended, and a late copy of the start has no effect.
    const resendIntervalMs = placement.stop ? 0 : RESEND_INTERVAL_MS;
    if (now - placement.startSentAt < resendIntervalMs) return;
    placement.startSentAt = now;
    placement.startSentUnder = this.#lease.fencingToken;
    commands.push({ kind: "start", job: job.index, task, attempt });
  }

  #planStop({ job, task, attempt, stop, observedState }: Placement, commands: AgentCommand[]): void {
    if (!stop || this.#ctx.now - stop.sentAt < RESEND_INTERVAL_MS) return;
    const isWritingCheckpoint = observedState === "saving" && stop.graceS > 0;
    if (isWritingCheckpoint) return;
    stop.sentAt = this.#ctx.now;
    commands.push({ kind: "stop", job: job.index, task, attempt, graceS: stop.graceS });
  }

  /** True while starts are under way that agents would refuse if this leader advanced its fencing token. */
  hasStartsInFlight(): boolean {
    for (const machine of this.#cluster.machines.values()) {
      if (machine.isLeaseExpired || machine.phase !== "up") continue;
      for (const { observedState, attempt } of machine.placements)
        if (observedState === null && fencingTokenOf(attempt) === this.#lease.fencingToken) return true;
    }
    return false;
  }

  /** Reported tasks without a placement here are stopped; ended attempts are acknowledged once that is safe. */
  #planForUnknownTasks(machine: Machine, heartbeat: Heartbeat, commands: AgentCommand[]): void {
    for (const reported of heartbeat.tasks) {
      const { job: jobIndex, task, attempt, state } = reported;
      const job = this.#cluster.jobs.get(jobIndex);
      if (job && mayBelongHere(machine, job, reported)) continue;
      if (state !== "ended") {
        commands.push({ kind: "stop", job: jobIndex, task, attempt, graceS: 0 });
      } else if (this.#canAcknowledge(machine, job, reported)) {
        commands.push({ kind: "acknowledge", job: jobIndex, task, attempt });
      }
    }
  }

  /**
   * An ended attempt is acknowledged only when the agent would refuse a late copy of its start by the fencing token,
   * and when its end is on record (I6).
   */
  #canAcknowledge({ fencingToken }: Machine, job: Job | undefined, { task, attempt }: ReportedTask): boolean {
    if (fencingTokenOf(attempt) >= fencingToken || fencingToken !== this.#lease.fencingToken) return false;
    return !(job && this.#recordWriter.isDirty(job, task));
  }
}

/** True for a task that is placed here, or may be: a job with an unreadable record may have any placement. */
function mayBelongHere(machine: Machine, job: Job, { task, attempt }: ReportedTask): boolean {
  const placement = job.placements.get(task);
  if (placement?.machine === machine && placement.attempt === attempt) return true;
  return job.hasUnreadableRecord && job.state === "active";
}
