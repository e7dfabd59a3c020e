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
  readonly uid: string;
  readonly jobClass: string;
  readonly team: string;
  readonly shape: JobShape;
  readonly priority: Priority;
  readonly tasks: number;
  readonly need: Resources;
  readonly image: string;
  readonly imageGb: number;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly oneZone: boolean;
  readonly spread: boolean;
  readonly spot: boolean;
  readonly estimateS: number;
  readonly checkpointS: number;
  readonly saveS: number;
  readonly deadlineS: number | null;
  /** The jobs that have to be done before any task of this one starts; absent where there are none. */
  readonly awaits?: readonly string[];
}
