import type { Effect } from "../../src/core/messages/effects.js";
import type { PeerMessage } from "../../src/core/messages/peers.js";
import type { AgentNetwork } from "./agent-network.js";
import type { ControllerNode, Controllers } from "./controllers.js";
import { SentHeartbeat } from "./sent-heartbeat.js";
import type { Simulation } from "./simulation.js";

/** The network between controllers: peer messages, and agent heartbeats forwarded by followers. */
export class PeerNetwork {
  readonly #simulation: Simulation;
  readonly #controllers: Controllers;
  readonly #agents: AgentNetwork;

  constructor(simulation: Simulation, controllers: Controllers, agents: AgentNetwork) {
    this.#simulation = simulation;
    this.#controllers = controllers;
    this.#agents = agents;
  }

  /** Sends a peer message, without the new fields if either node runs the previous version. */
  send(sender: ControllerNode, { to, message }: Extract<Effect, { kind: "sendToPeer" }>): void {
    const receiver = this.#reachable(sender, to);
    if (!receiver) return;
    const received = stripNewFields(
      structuredClone(message),
      sender.isPreviousVersion || receiver.isPreviousVersion,
    );
    this.#controllers.deliverAfter(receiver, receiver.epoch, this.#latencyMs(), () => ({
      kind: "peerMessage",
      from: sender.name,
      message: received,
    }));
  }

  forwardHeartbeat(
    sender: ControllerNode,
    { to, requestId, body }: Extract<Effect, { kind: "forwardHeartbeat" }>,
  ): void {
    if (!(body instanceof SentHeartbeat)) throw new Error("forwarded heartbeat body is not a SentHeartbeat");
    const receiver = this.#reachable(sender, to);
    if (!receiver) return;
    this.#simulation.after(this.#latencyMs(), () => {
      if (!receiver.core) return;
      const heartbeat = body.decodeFor(receiver);
      this.#controllers.deliver(receiver, {
        kind: "forwardedHeartbeat",
        from: sender.name,
        id: requestId,
        heartbeat,
      });
    });
  }

  /** Returns the reply to a forwarded heartbeat, occasionally with a long delay. */
  replyToForwarded(
    sender: ControllerNode,
    { to, id, reply }: Extract<Effect, { kind: "replyToForwardedHeartbeat" }>,
  ): void {
    if (!this.#reachable(sender, to)) return;
    this.#agents.recordJobs(sender, reply);
    const delayMs = this.#simulation.chance(0.01) ? this.#simulation.between(1000, 3000) : this.#latencyMs();
    this.#simulation.after(delayMs, () => this.#agents.deliverReply(id, reply));
  }

  #reachable(sender: ControllerNode, name: string): ControllerNode | undefined {
    const receiver = this.#controllers.find(name);
    if (!receiver) return undefined;
    const partitionedUntil = Math.max(
      sender.partitionedUntil,
      receiver.partitionedUntil,
      sender.peersPartitionedUntil,
      receiver.peersPartitionedUntil,
    );
    return this.#simulation.now < partitionedUntil ? undefined : receiver;
  }

  #latencyMs(): number {
    return this.#simulation.between(1, 8);
  }
}

function stripNewFields(message: PeerMessage, isPreviousVersion: boolean): PeerMessage {
  return message.kind === "heartbeat" && isPreviousVersion
    ? { ...message, protocol: undefined, standby: undefined, admission: undefined }
    : message;
}
