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

/** A command without an observed effect is sent again after this time. */
const RESEND_INTERVAL_MS = 1000;
/**
 * A start is sent only if its job was known not to be cancelled at most this long ago (I2), which is a few rounds of
 * the job watch.
 */
const CANCELLATION_KNOWLEDGE_MAX_AGE_MS = 6000;

/** The dependencies and the callback of {@link CommandPlanner}. */
export interface CommandPlannerDependencies {
  readonly ctx: Context;
  readonly election: Election;
  readonly lease: LeaderLease;
  readonly cluster: ClusterState;
  readonly recordWriter: RecordWriter;
  /** The start can no longer be sent under the fencing token of its attempt, so the placement must be removed. */
  onStartAbandoned(placement: Placement): void;
}

/** Decides which commands an agent receives: starts, stops, and acknowledgements of ended attempts. */
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
   * Returns the commands that are due for a machine, to be sent in a heartbeat reply or in a direct batch. Commands for
   * placements then count as sent and are not returned again until the resend interval has passed.
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

  /** True if the fencing token was advanced within this term before the placement's start was first sent. */
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
   * A start is sent only under the fencing token in its attempt number; the acknowledgement of ended attempts relies on
   * this. Sending or resending a start also requires that the job was recently known not to be cancelled (I2), unless
   * the task is being stopped.
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
    // The stop follows the start in the same batch, so that the agent keeps the attempt as ended and ignores a delayed
    // copy of the start.
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

  /**
   * True while starts under the current fencing token have shown no effect yet. If this leader advanced the token,
   * agents would refuse those in flight, and those not sent yet would be abandoned.
   */
  hasUnacknowledgedStarts(): boolean {
    for (const machine of this.#cluster.machines.values()) {
      if (machine.isLeaseExpired || machine.phase !== "up") continue;
      for (const { observedState, attempt } of machine.placements)
        if (observedState === null && fencingTokenOf(attempt) === this.#lease.fencingToken) return true;
    }
    return false;
  }

  /** Stops reported tasks that have no placement on this machine, and acknowledges ended attempts once that is safe. */
  #planForUnknownTasks(machine: Machine, heartbeat: Heartbeat, commands: AgentCommand[]): void {
    for (const reported of heartbeat.tasks) {
      const { job: jobIndex, task, attempt, state } = reported;
      const job = this.#cluster.jobs.get(jobIndex);
      if (job && mayBePlacedHere(machine, job, reported)) continue;
      if (state !== "ended") {
        commands.push({ kind: "stop", job: jobIndex, task, attempt, graceS: 0 });
      } else if (this.#canAcknowledge(machine, job, reported)) {
        commands.push({ kind: "acknowledge", job: jobIndex, task, attempt });
      }
    }
  }

  /**
   * An ended attempt is acknowledged only if the agent would refuse a delayed copy of its start because of the fencing
   * token, and if its end is recorded in the store (I6).
   */
  #canAcknowledge({ fencingToken }: Machine, job: Job | undefined, { task, attempt }: ReportedTask): boolean {
    if (fencingTokenOf(attempt) >= fencingToken || fencingToken !== this.#lease.fencingToken) return false;
    return !(job && this.#recordWriter.isDirty(job, task));
  }
}

/** True if the reported task is or may be placed on the machine: an unreadable record may contain any placement. */
function mayBePlacedHere(machine: Machine, job: Job, { task, attempt }: ReportedTask): boolean {
  const placement = job.placements.get(task);
  if (placement?.machine === machine && placement.attempt === attempt) return true;
  return job.hasUnreadableRecord && job.state === "active";
}
