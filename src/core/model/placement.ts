import type { Job } from "./job.js";
import type { Priority, TaskState } from "./job-spec.js";
import type { Machine } from "./machine.js";

/** Keeps a machine's room for a job until it is used, or for so long. */
export interface Reservation {
  readonly job: Job;
  /** Kept from work of any priority. */
  readonly isFirm: boolean;
  readonly until: number;
}

/** A task on a machine: holds its task, quota, zone and room until it is proved gone. */
export interface Placement {
  readonly job: Job;
  readonly task: number;
  readonly machine: Machine;
  readonly incarnation: number;
  readonly attempt: number;
  readonly placedAt: number;
  /** What its job counted as when it was placed. */
  readonly priority: Priority;
  /** Recorded in the state service; nothing is sent before. */
  isRecorded: boolean;
  /** Its job was not cancelled at this time: its record depended on that. */
  notCancelledAsOf: number;
  /** What the worker last said of it; null while no report has shown it. */
  observedState: TaskState | null;
  /** The highest token a start for it was sent under by this node; 0 for those of earlier leaders. */
  startSentUnder: number;
  startSentAt: number;
  runningSince: number | null;
  stop: { graceS: number; at: number; sentAt: number; reason: string } | null;
}
