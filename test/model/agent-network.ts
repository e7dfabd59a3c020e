import type { AgentCommand, Heartbeat, HeartbeatReply } from "../../src/core/messages/agents.js";
import type { SendAgentCommands } from "../../src/core/messages/effects.js";
import type { AgentLeases } from "./agent-leases.js";
import type { AgentTasks } from "./agent-tasks.js";
import type { ControllerNode, Controllers } from "./controllers.js";
import { isHung, type SimulatedMachine } from "./machines.js";
import { SentHeartbeat } from "./sent-heartbeat.js";
import type { Simulation } from "./simulation.js";

const HEARTBEAT_TIMEOUT_MS = 4000;
const HEARTBEAT_INTERVAL_MS = 2000;
const COMMAND_TIMEOUT_MS = 1500;

export interface AgentNetworkOptions {
  readonly simulation: Simulation;
  readonly controllers: Controllers;
  readonly machines: ReadonlyMap<string, SimulatedMachine>;
  readonly leases: AgentLeases;
  readonly tasks: AgentTasks;
  /** Fraction of heartbeats of which a duplicate arrives late. */
  readonly duplicateRate: number;
}

/** The network between agents and controllers: heartbeats, their replies, and direct commands. */
export class AgentNetwork {
  /** Until this time half of all heartbeats are duplicated, with the duplicate arriving late. */
  manyDuplicatesUntil = 0;
  readonly #simulation: Simulation;
  readonly #controllers: Controllers;
  readonly #machines: ReadonlyMap<string, SimulatedMachine>;
  readonly #leases: AgentLeases;
  readonly #tasks: AgentTasks;
  readonly #duplicateRate: number;
  readonly #onReply = new Map<number, (reply: HeartbeatReply) => void>();
  /** Job uid of each command; the command itself holds a job index that is only valid at its sender. */
  readonly #jobOfCommand = new WeakMap<AgentCommand, string>();

  constructor(options: AgentNetworkOptions) {
    this.#simulation = options.simulation;
    this.#controllers = options.controllers;
    this.#machines = options.machines;
    this.#leases = options.leases;
    this.#tasks = options.tasks;
    this.#duplicateRate = options.duplicateRate;
  }

  /** Sends a heartbeat to the agent's current controller; if there is no reply, the agent switches to the next one. */
  sendHeartbeat(machine: SimulatedMachine): void {
    const simulation = this.#simulation;
    const node = this.#controllers.nodes[machine.controllerIndex];
    const id = simulation.nextRequestId();
    machine.pendingHeartbeat = id;
    const fail = () => {
      if (machine.pendingHeartbeat === id) this.#tryNextController(machine);
    };
    if (!node?.core) {
      simulation.after(2, fail);
      return;
    }
    if (simulation.now < Math.max(this.#partitionEnd(node, machine), machine.outboundPartitionedUntil)) {
      simulation.after(HEARTBEAT_TIMEOUT_MS, fail);
      return;
    }
    const requestId = simulation.nextRequestId();
    const sentAt = simulation.now;
    const { incarnation } = machine;
    this.#onReply.set(requestId, (reply) => {
      simulation.after(simulation.between(1, 6), () => {
        if (!machine.alive || machine.pendingHeartbeat !== id || isHung(machine, simulation.now)) return;
        if (simulation.now < Math.max(this.#partitionEnd(node, machine), machine.inboundPartitionedUntil))
          return;
        this.#receiveReply(machine, reply, { sentAt, incarnation });
      });
    });
    simulation.after(HEARTBEAT_TIMEOUT_MS, fail);
    const { epoch } = node;
    simulation.after(simulation.between(1, 6), () => {
      if (node.epoch === epoch && node.core) this.#deliverHeartbeat(node, machine, requestId);
    });
  }

  /** Delivers a node's reply to the waiting agent; duplicate replies are dropped. */
  replyFrom(node: ControllerNode, requestId: number, reply: HeartbeatReply): void {
    if (!this.#onReply.has(requestId)) return;
    this.recordJobs(node, reply);
    this.deliverReply(requestId, reply);
  }

  /** Records the job uids of the commands in a reply, while the sending node's indices are still valid. */
  recordJobs(node: ControllerNode, reply: HeartbeatReply): void {
    if (reply.kind === "commands") this.#recordCommandJobs(node, reply.commands);
  }

  /** Delivers a reply whose job uids have been recorded. */
  deliverReply(requestId: number, reply: HeartbeatReply): void {
    this.#onReply.get(requestId)?.(reply);
    this.#onReply.delete(requestId);
  }

  /** Delivers direct commands and returns the reply. Either may be lost; commands may also be late or duplicated. */
  sendCommands(node: ControllerNode, epoch: number, effect: SendAgentCommands): void {
    const simulation = this.#simulation;
    this.#recordCommandJobs(node, effect.commands);
    const machine = node.core
      ? this.#machines.get(node.core.names.machines.nameOf(effect.machine))
      : undefined;
    const fail = () => this.#answerCommands(node, epoch, effect.id, COMMAND_TIMEOUT_MS, null);
    if (!machine?.alive || simulation.now < machine.inboundPartitionedUntil) {
      fail();
      return;
    }
    const execute = () => this.#executeBatch(machine, effect);
    const blockedUntil = Math.max(this.#partitionEnd(node, machine), machine.hungUntil);
    if (simulation.now < blockedUntil) {
      // The agent executes the commands after its hang, or after a partition that delays packets, unless fencing token
      // or incarnation are outdated by then.
      if (node.delaysPackets || machine.hungUntil > simulation.now)
        simulation.after(blockedUntil - simulation.now + simulation.between(1, 100), execute);
      fail();
      return;
    }
    // A duplicate of an executed command may arrive much later.
    if (simulation.chance(0.01)) simulation.after(simulation.between(500, 60_000), execute);
    const isAnswerLost = simulation.chance(0.01);
    simulation.after(simulation.between(1, 6), () => {
      const { sent, executed } = execute();
      if (isAnswerLost || !sent) fail();
      else {
        const heartbeat = node.epoch === epoch && node.core ? sent.decodeFor(node) : null;
        this.#answerCommands(node, epoch, effect.id, simulation.between(1, 6), { heartbeat, executed });
      }
    });
  }

  #recordCommandJobs(node: ControllerNode, commands: readonly AgentCommand[]): void {
    for (const command of commands)
      this.#jobOfCommand.set(command, node.core?.names.jobs.nameOf(command.job) ?? "?");
  }

  #tryNextController(machine: SimulatedMachine): void {
    machine.pendingHeartbeat = 0;
    machine.controllerIndex = (machine.controllerIndex + 1) % this.#controllers.nodes.length;
    machine.nextHeartbeatAt = this.#simulation.now + 1000;
  }

  #deliverHeartbeat(node: ControllerNode, machine: SimulatedMachine, requestId: number): void {
    const simulation = this.#simulation;
    const sent = this.#makeHeartbeat(machine);
    this.#controllers.deliver(node, {
      kind: "heartbeat",
      requestId,
      heartbeat: sent.decodeFor(node),
      body: sent,
    });
    const duplicateRate = simulation.now < this.manyDuplicatesUntil ? 0.5 : this.#duplicateRate;
    if (!simulation.chance(duplicateRate)) return;
    // The duplicate arrives up to several lease durations later, at any node, possibly after the machine's termination.
    simulation.after(simulation.between(500, 60_000), () => {
      const receiver = this.#controllers.nodes[simulation.between(0, this.#controllers.nodes.length - 1)];
      if (!receiver?.core) return;
      this.#controllers.deliver(receiver, {
        kind: "heartbeat",
        requestId: simulation.nextRequestId(),
        heartbeat: sent.decodeFor(receiver),
        body: sent,
      });
    });
  }

  #receiveReply(
    machine: SimulatedMachine,
    reply: HeartbeatReply,
    sent: { readonly sentAt: number; readonly incarnation: number },
  ): void {
    switch (reply.kind) {
      case "redirect":
        this.#followRedirect(machine, reply.node);
        break;
      case "unavailable":
        this.#tryNextController(machine);
        break;
      case "commands":
        machine.pendingHeartbeat = 0;
        machine.nextHeartbeatAt =
          this.#simulation.now + HEARTBEAT_INTERVAL_MS * (this.#simulation.between(75, 125) / 100);
        this.#leases.expireIfDue(machine);
        if (sent.incarnation !== machine.incarnation || reply.fencingToken < machine.fencingToken) return;
        if (reply.fencingToken > machine.fencingToken) {
          machine.fencingToken = reply.fencingToken;
          machine.nextHeartbeatAt = this.#simulation.now + 500;
        }
        machine.leaseRenewedAt = sent.sentAt;
        this.#execute(machine, reply.commands);
        break;
    }
  }

  #followRedirect(machine: SimulatedMachine, leaderName: string | null): void {
    const index = this.#controllers.nodes.findIndex(({ name }) => name === leaderName);
    if (index < 0 || index === machine.controllerIndex) {
      this.#tryNextController(machine);
      return;
    }
    machine.pendingHeartbeat = 0;
    machine.controllerIndex = index;
    machine.nextHeartbeatAt = this.#simulation.now + this.#simulation.between(0, 500);
  }

  /** The agent rejects commands with an outdated fencing token or for another incarnation. */
  #executeBatch(
    machine: SimulatedMachine,
    { fencingToken, incarnation, commands }: SendAgentCommands,
  ): { sent: SentHeartbeat | null; executed: boolean } {
    if (!machine.alive || this.#simulation.now < machine.bootedAt) return { sent: null, executed: false };
    this.#leases.expireIfDue(machine);
    const executed = fencingToken >= machine.fencingToken && incarnation === machine.incarnation;
    if (executed) {
      machine.fencingToken = fencingToken;
      this.#execute(machine, commands);
    }
    return { sent: this.#makeHeartbeat(machine), executed };
  }

  #execute(machine: SimulatedMachine, commands: readonly AgentCommand[]): void {
    for (const command of commands)
      this.#tasks.execute(machine, command, this.#jobOfCommand.get(command) ?? "?");
  }

  #answerCommands(
    node: ControllerNode,
    epoch: number,
    id: number,
    delayMs: number,
    answer: { readonly heartbeat: Heartbeat | null; readonly executed: boolean } | null,
  ): void {
    const { heartbeat, executed } = answer ?? { heartbeat: null, executed: false };
    this.#controllers.deliverAfter(node, epoch, delayMs, () => ({
      kind: "agentReplied",
      id,
      heartbeat,
      executed,
    }));
  }

  #makeHeartbeat(machine: SimulatedMachine): SentHeartbeat {
    machine.sequence++;
    return new SentHeartbeat(machine, this.#simulation.now);
  }

  /** Returns when a two-way partition between a machine and a controller ends. */
  #partitionEnd(node: ControllerNode, machine: SimulatedMachine): number {
    let until = Math.max(node.partitionedUntil, node.agentsPartitionedUntil, machine.partitionedUntil);
    for (const other of this.#controllers.nodes) {
      const { zonePartition } = other;
      if (zonePartition && (other === node) !== (machine.zone === zonePartition.zone))
        until = Math.max(until, zonePartition.until);
    }
    return until;
  }
}
