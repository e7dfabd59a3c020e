import type { ExitReason, TaskState } from "../model/job-spec.js";

/** Heartbeats of the machines' agents, and the commands that they are sent. Names have become indices. */

/** A task as an agent reports it. */
export interface ReportedTask {
  readonly job: number;
  readonly task: number;
  readonly attempt: number;
  readonly state: TaskState;
  readonly exitReason: ExitReason | null;
  readonly saved: boolean;
}

/** What an agent says of itself and of all tasks on its machine. */
export interface Heartbeat {
  readonly machine: number;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Rises each time the agent's lease expires. */
  readonly incarnation: number;
  /** Rises with every heartbeat and every reply to a direct command of the incarnation. */
  readonly sequence: number;
  /** The highest fencing token that the agent has seen. */
  readonly fencingToken: number;
  /** In how many seconds the cloud takes the machine back; null where no notice was given. */
  readonly reclaimNoticeS: number | null;
  readonly tasks: readonly ReportedTask[];
}

/** What an agent is told to do with one attempt of a task. */
export type AgentCommand =
  | { readonly kind: "start"; readonly job: number; readonly task: number; readonly attempt: number }
  | {
      readonly kind: "stop";
      readonly job: number;
      readonly task: number;
      readonly attempt: number;
      readonly graceS: number;
    }
  /** The end of the attempt is on record: the agent need not report it any more. */
  | { readonly kind: "acknowledge"; readonly job: number; readonly task: number; readonly attempt: number };

/** What a heartbeat is answered with. */
export type HeartbeatReply =
  | {
      readonly kind: "commands";
      readonly fencingToken: number;
      readonly commands: readonly AgentCommand[];
    }
  | { readonly kind: "redirect"; readonly node: string | null }
  | { readonly kind: "unavailable" };
