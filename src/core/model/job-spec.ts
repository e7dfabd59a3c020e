import type { Resources } from "./resources.js";

/** Execution mode of the tasks of a job: independent, all at the same time, or running until cancelled. */
export type JobShape = "array" | "gang" | "service";

/** Higher values take precedence: 3 is production, 0 is idle. */
export type Priority = 0 | 1 | 2 | 3;

/** The state of a task as reported by its agent. */
export type TaskState = "fetching" | "waiting" | "running" | "saving" | "ended";

/** Why a task has ended, or why an agent refused to start it. */
export type ExitReason =
  | "done"
  | "stopped"
  | "peers"
  | "incomplete"
  | "error"
  | "no_room"
  | "busy"
  | "unknown";

/**
 * A job as submitted by its user. Contains names rather than interner indices. Jobs are stored in this form, so no
 * field may be renamed.
 */
export interface JobSpec {
  /** The job id used by the user. */
  readonly uid: string;
  readonly jobClass: string;
  readonly team: string;
  readonly shape: JobShape;
  readonly priority: Priority;
  /** Number of tasks. */
  readonly tasks: number;
  /** Resources required by each task. */
  readonly need: Resources;
  readonly image: string;
  readonly imageGb: number;
  /** Allowed machine types; null for all. */
  readonly types: readonly string[] | null;
  /** Required zone; null for any. */
  readonly zone: string | null;
  /** All tasks must run in the same zone, which may be any zone. */
  readonly oneZone: boolean;
  /** No zone may run more than half of the tasks, rounded up. */
  readonly spread: boolean;
  /** The job may run on spot machines. */
  readonly spot: boolean;
  /** The user's estimate of the run time of a task. */
  readonly estimateS: number;
  /** The task progress between two checkpoints; 0 if it writes none. */
  readonly checkpointS: number;
  /** Time a task needs to write a checkpoint when it is stopped. */
  readonly saveS: number;
  /** Deadline, relative to submission. */
  readonly deadlineS: number | null;
  /** Dependencies: jobs that must be done before any task of this job starts. Absent if there are none. */
  readonly awaits?: readonly string[];
}
