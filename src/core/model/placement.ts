import type { Job } from "./job.js";
import type { Priority, TaskState } from "./job-spec.js";
import type { Machine } from "./machine.js";

/** Reserves the free capacity of a machine for a job until the job uses it or the reservation expires. */
export interface Reservation {
  readonly job: Job;
  /** True if it also keeps out jobs of a higher priority. */
  readonly isFirm: boolean;
  /** Expiry of the reservation. */
  readonly until: number;
}

/** A task bound to a machine. It occupies the task, quota, zone and capacity until it is proved to have ended (I3). */
export interface Placement {
  readonly job: Job;
  /** Task number within the job. */
  readonly task: number;
  readonly machine: Machine;
  /** The incarnation of the agent when the task was placed; a later one proves that the task has ended. */
  readonly incarnation: number;
  /** The attempt number, which contains the fencing token of the start. */
  readonly attempt: number;
  readonly placedAt: number;
  /** The effective priority of the job at the time of placement. */
  readonly priority: Priority;
  /** True once it is recorded in the key-value store; nothing is sent to the agent before that. */
  isRecorded: boolean;
  /** The job was not cancelled as of this time, which was a condition of the write of the record (I2). */
  notCancelledAsOf: number;
  /** The state last reported by the agent; null until a heartbeat lists the task. */
  observedState: TaskState | null;
  /** The highest fencing token under which this leader sent a start; 0 if it has sent none. */
  startSentUnder: number;
  /** When the start was last sent. */
  startSentAt: number;
  /** When the task was first observed running. */
  runningSince: number | null;
  /** The requested stop: the checkpoint grace period, when it was requested and last sent, and the reason. */
  stop: { graceS: number; at: number; sentAt: number; reason: string } | null;
}
