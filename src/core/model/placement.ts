import type { Job } from "./job.js";
import type { Priority, TaskState } from "./job-spec.js";
import type { Machine } from "./machine.js";

/** Keeps a machine's free capacity for a job, until the job uses it or the reservation expires. */
export interface Reservation {
  readonly job: Job;
  /** True if it holds against jobs of any priority. */
  readonly isFirm: boolean;
  /** When it expires. */
  readonly until: number;
}

/** A task bound to a machine. It holds its task, quota, zone and capacity until it is proved to have ended (I3). */
export interface Placement {
  readonly job: Job;
  /** The task's number within its job. */
  readonly task: number;
  readonly machine: Machine;
  /** The agent's incarnation that the task was placed on: a later one proves that it has ended. */
  readonly incarnation: number;
  /** The attempt number, which carries the fencing token of its start. */
  readonly attempt: number;
  readonly placedAt: number;
  /** The effective priority of its job when it was placed. */
  readonly priority: Priority;
  /** True once it is on record in the key-value store: nothing is sent to the agent before. */
  isRecorded: boolean;
  /** Its job was not cancelled at this time: the write of its record depended on that (I2). */
  notCancelledAsOf: number;
  /** The state that its agent last reported; null while no heartbeat has listed it. */
  observedState: TaskState | null;
  /** The highest fencing token that this leader sent a start of it under; 0 if it has sent none. */
  startSentUnder: number;
  /** When the start was last sent. */
  startSentAt: number;
  /** When it was first observed running. */
  runningSince: number | null;
  /** The stop asked for: when, when it was last sent, and how many seconds the task has to write a checkpoint. */
  stop: { graceS: number; at: number; sentAt: number; reason: string } | null;
}
