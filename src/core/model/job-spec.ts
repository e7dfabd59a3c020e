import type { Resources } from "./resources.js";

/** How the tasks of a job belong together: independent of each other, all at once, or kept running until cancelled. */
export type JobShape = "array" | "gang" | "service";

/** Higher numbers win: 3 is production, 0 is idle. */
export type Priority = 0 | 1 | 2 | 3;

/** The state of a task as its agent reports it. */
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
 * A job as its user described it. Names stand for themselves here, not as indices: this is the form in which a job is
 * stored, so no field may be renamed.
 */
export interface JobSpec {
  /** The job's id, which its user knows it by. */
  readonly uid: string;
  readonly jobClass: string;
  readonly team: string;
  readonly shape: JobShape;
  readonly priority: Priority;
  /** How many tasks it has. */
  readonly tasks: number;
  /** What each task needs. */
  readonly need: Resources;
  readonly image: string;
  readonly imageGb: number;
  /** The machine types it may run on; null for all. */
  readonly types: readonly string[] | null;
  /** The zone it must run in; null for any. */
  readonly zone: string | null;
  /** All of its tasks must run in one zone, whichever. */
  readonly oneZone: boolean;
  /** No zone may have more than half of its tasks, rounded up. */
  readonly spread: boolean;
  /** It may run on spot machines. */
  readonly spot: boolean;
  /** How long a task runs by its user's estimate. */
  readonly estimateS: number;
  /** The progress between two checkpoints; 0 if it writes none. */
  readonly checkpointS: number;
  /** How long a task takes to write a checkpoint when it is stopped. */
  readonly saveS: number;
  /** The time from submission by which it should be done. */
  readonly deadlineS: number | null;
  /** Its dependencies: the jobs that have to be done before a task of it starts; absent where there are none. */
  readonly awaits?: readonly string[];
}
