import type { AdminResponse } from "../core/messages/administration.js";
import type { HeartbeatReply } from "../core/messages/agents.js";
import type { Command } from "../core/messages/commands.js";
import type { Effect } from "../core/messages/effects.js";
import type { ForwardedReply } from "../core/messages/peers.js";
import type { UserResponse } from "../core/messages/users.js";
import type { NameRegistry } from "../core/model/interner.js";
import { encodeHeartbeatReply } from "../protocol/agents.js";
import type { AgentClient, CloudClient, StoreClient } from "./clients.js";
import type { HeartbeatForwarder } from "./heartbeat-forwarder.js";
import type { Log } from "./log.js";
import { NodeBatches } from "./node-batches.js";
import type { PeerConnections } from "./peer-connections.js";
import type { PendingRequests } from "./pending-requests.js";

/** Unanswered client requests, by kind of client. */
export interface PendingClients {
  readonly users: PendingRequests<(response: UserResponse) => void>;
  readonly operators: PendingRequests<(response: AdminResponse) => void>;
  readonly agents: PendingRequests<(status: number, body: unknown) => void>;
}

/** The components that execute effects. */
export interface EffectTargets {
  readonly names: NameRegistry;
  readonly store: StoreClient;
  readonly cloud: CloudClient;
  readonly agents: AgentClient;
  readonly peers: PeerConnections;
  readonly forwarder: HeartbeatForwarder;
  readonly pending: PendingClients;
  readonly log: Log;
  /** Appends the outcome of an effect to the command queue. */
  readonly push: (command: Command) => void;
}

/** Executes the controller's effects. The response to a call becomes a command. */
export class EffectRunner {
  readonly #targets: EffectTargets;
  /** Replies to heartbeats forwarded by peers, sent at the end of the batch. */
  readonly #forwardedReplies = new NodeBatches<ForwardedReply>();

  constructor(targets: EffectTargets) {
    this.#targets = targets;
  }

  /** Executes the effects of one batch of commands, in order. */
  runBatch(effects: readonly Effect[]): void {
    for (const effect of effects) this.#runIsolated(effect);
    this.#forwardedReplies.sendAll((node, replies) =>
      this.#targets.peers.send(node, { kind: "forwardedReplies", replies }),
    );
  }

  /** An effect that throws is lost without ending the process; a caller that awaits its outcome times out. */
  #runIsolated(effect: Effect): void {
    try {
      this.#run(effect);
    } catch (error) {
      const stack = error instanceof Error ? error.stack : String(error);
      this.#targets.log.error({ effect: effect.kind, error: stack }, "effect failed");
    }
  }

  #run(effect: Effect): void {
    const { pending, peers, forwarder, log } = this.#targets;
    switch (effect.kind) {
      case "respondToUser":
        pending.users.take(effect.requestId)?.(effect.response);
        break;
      case "respondToOperator":
        pending.operators.take(effect.requestId)?.(effect.response);
        break;
      case "replyToAgent":
        this.#replyToAgent(effect.requestId, effect.reply);
        break;
      case "replyToForwardedHeartbeat":
        this.#replyToPeer(effect.to, effect.id, effect.reply);
        break;
      case "forwardHeartbeat":
        forwarder.forward(effect.requestId, effect.to, effect.body);
        break;
      case "sendAgentCommands":
      case "callStore":
      case "callCloud":
        this.#callService(effect);
        break;
      case "sendToPeer":
        peers.send(effect.to, effect.message);
        break;
      case "log":
        log[effect.level](effect.data, effect.text);
        break;
      default:
        effect satisfies never;
    }
  }

  #replyToAgent(requestId: number, reply: HeartbeatReply): void {
    const { status, body } = encodeHeartbeatReply(reply, this.#targets.names);
    this.#targets.pending.agents.take(requestId)?.(status, body);
  }

  #replyToPeer(node: string, id: number, reply: HeartbeatReply): void {
    const { status, body } = encodeHeartbeatReply(reply, this.#targets.names);
    this.#forwardedReplies.append(node, { id, status, body });
  }

  #callService(
    effect: Extract<Effect, { readonly kind: "sendAgentCommands" | "callStore" | "callCloud" }>,
  ): void {
    const { store, cloud, agents, push } = this.#targets;
    const { id } = effect;
    switch (effect.kind) {
      case "sendAgentCommands":
        agents.send(effect, (heartbeat, executed) => push({ kind: "agentReplied", id, heartbeat, executed }));
        break;
      case "callStore":
        store.call(effect.request, effect.timeoutMs, (response) =>
          push({ kind: "storeResponded", id, response }),
        );
        break;
      case "callCloud":
        cloud.call(effect.request, (response) => push({ kind: "cloudResponded", id, response }));
        break;
    }
  }
}
