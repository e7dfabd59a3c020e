import type { ExitReason, TaskState } from "../model/job-spec.js";

/** Heartbeats from agents and the commands sent to them. Names have already been replaced by interner indices. */

/** The state of a task as reported by an agent. */
export interface ReportedTask {
  readonly job: number;
  readonly task: number;
  readonly attempt: number;
  readonly state: TaskState;
  readonly exitReason: ExitReason | null;
  readonly saved: boolean;
}

/** An agent's report on its machine and on all tasks there. */
export interface Heartbeat {
  readonly machine: number;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Increases each time the agent's lease expires. */
  readonly incarnation: number;
  /** Increases with every heartbeat and every reply to a direct command within an incarnation. */
  readonly sequence: number;
  /** The highest fencing token that the agent has seen. */
  readonly fencingToken: number;
  /** Seconds until the cloud reclaims the machine; null if there was no interruption notice. */
  readonly interruptionNoticeS: number | null;
  readonly tasks: readonly ReportedTask[];
}

/** A command to an agent, concerning one attempt of a task. */
export type AgentCommand =
  | { readonly kind: "start"; readonly job: number; readonly task: number; readonly attempt: number }
  | {
      readonly kind: "stop";
      readonly job: number;
      readonly task: number;
      readonly attempt: number;
      readonly graceS: number;
    }
  /** The end of the attempt is recorded, so the agent can stop reporting it. */
  | { readonly kind: "acknowledge"; readonly job: number; readonly task: number; readonly attempt: number };

/** The reply to a heartbeat. */
export type HeartbeatReply =
  | {
      readonly kind: "commands";
      readonly fencingToken: number;
      readonly commands: readonly AgentCommand[];
    }
  | { readonly kind: "redirect"; readonly node: string | null }
  | { readonly kind: "unavailable" };
