import type { AdminResponse } from "./administration.js";
import type { AgentCommand, HeartbeatReply } from "./agents.js";
import type { CloudRequest } from "./cloud.js";
import type { PeerMessage } from "./peers.js";
import type { StoreRequest } from "./store.js";
import type { UserResponse } from "./users.js";

/** The severity of a log line. */
export type LogLevel = "error" | "info" | "debug";

/** Sends commands directly to an agent, outside of a heartbeat reply. */
export interface SendAgentCommands {
  readonly kind: "sendAgentCommands";
  readonly id: number;
  readonly machine: number;
  readonly address: string;
  readonly fencingToken: number;
  readonly incarnation: number;
  readonly commands: readonly AgentCommand[];
}

/** An output of a controller: an action for the shell to execute. */
export type Effect =
  | { readonly kind: "respondToUser"; readonly requestId: number; readonly response: UserResponse }
  | { readonly kind: "respondToOperator"; readonly requestId: number; readonly response: AdminResponse }
  | { readonly kind: "replyToAgent"; readonly requestId: number; readonly reply: HeartbeatReply }
  | {
      readonly kind: "replyToForwardedHeartbeat";
      readonly to: string;
      readonly id: number;
      readonly reply: HeartbeatReply;
    }
  | {
      readonly kind: "forwardHeartbeat";
      readonly requestId: number;
      readonly to: string;
      readonly body: unknown;
    }
  | SendAgentCommands
  | {
      readonly kind: "callStore";
      readonly id: number;
      readonly request: StoreRequest;
      readonly timeoutMs: number;
    }
  | { readonly kind: "callCloud"; readonly id: number; readonly request: CloudRequest }
  | { readonly kind: "sendToPeer"; readonly to: string; readonly message: PeerMessage }
  | {
      readonly kind: "log";
      readonly level: LogLevel;
      readonly text: string;
      readonly data: Record<string, unknown>;
    };
