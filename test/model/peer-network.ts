import type { Effect } from "../../src/core/messages/effects.js";
import type { PeerMessage } from "../../src/core/messages/peers.js";
import type { AgentNetwork } from "./agent-network.js";
import type { ControllerNode, Controllers } from "./controllers.js";
import { SentHeartbeat } from "./sent-heartbeat.js";
import type { Simulation } from "./simulation.js";

/** What passes between controllers: messages of their own, and heartbeats of agents that a follower forwards. */
export class PeerNetwork {
  readonly #simulation: Simulation;
  readonly #controllers: Controllers;
  readonly #agents: AgentNetwork;

  constructor(simulation: Simulation, controllers: Controllers, agents: AgentNetwork) {
    this.#simulation = simulation;
    this.#controllers = controllers;
    this.#agents = agents;
  }

  /** Sends a message; nodes of the old version neither say nor hear what came with the new one. */
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

  /** Forwards an agent's heartbeat to another node. */
  forwardHeartbeat(
    sender: ControllerNode,
    { to, requestId, body }: Extract<Effect, { kind: "forwardHeartbeat" }>,
  ): void {
    if (!(body instanceof SentHeartbeat)) throw new Error("the body is not the one that was delivered");
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

  /** Carries the reply to a forwarded heartbeat back; now and then it is late. */
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
