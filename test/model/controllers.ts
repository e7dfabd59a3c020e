import { Controller } from "../../src/core/controller.js";
import type { Command } from "../../src/core/messages/commands.js";
import type { Effect } from "../../src/core/messages/effects.js";
import type { Deployment } from "../../src/core/model/deployment.js";
import type { Resources } from "../../src/core/model/resources.js";
import { deployment, NODES } from "../support/deployment.js";
import type { Simulation } from "./simulation.js";

const STANDBY_BYTES = 8 * 1024 * 1024;
const TICK_MS = 100;

/** A node of the cluster: the controller on it, its clock, and what it can reach. */
export interface ControllerNode {
  readonly index: number;
  readonly name: string;
  /** It is yet to be upgraded: it neither says nor hears which protocol others speak. */
  isPreviousVersion: boolean;
  /** Null while the process is down. */
  core: Controller | null;
  /** Rises with each start and end of the process: what was under way for an earlier one is dropped. */
  epoch: number;
  /** Its clock runs that much faster than virtual time, and ahead of it. */
  readonly clockRate: number;
  readonly clockOffsetMs: number;
  /** Nothing reaches it or leaves it. */
  partitionedUntil: number;
  /** Neither call nor answer passes between it and the store. */
  storePartitionedUntil: number;
  peersPartitionedUntil: number;
  agentsPartitionedUntil: number;
  /** The store answers that it is unavailable. */
  storeRefusesUntil: number;
  /** Watches get no answer, while all other calls to the store do. */
  watchesHangUntil: number;
  /** Packets of a partition are delivered when it ends, not lost. */
  delaysPackets: boolean;
  /** The process stands still until then, while its clock runs on. */
  pausedUntil: number;
  /** The freeze falls between deciding and writing: effects of the next command leave it when it goes on. */
  pausesBeforeSending: boolean;
  /** Commands that came while it stood still, and effects that it had decided on. */
  readonly pendingCommands: Command[];
  readonly unsentEffects: Effect[];
}

/** Carries out an effect of a node; the epoch is that of the process that asked for it. */
export type EffectHandler = (node: ControllerNode, epoch: number, effect: Effect) => void;

/** What the controllers of a run have in common. */
export interface ControllersOptions {
  /** The teams' quotas are that many times those of the small deployment. */
  readonly scale: number;
  /** Followers keep a warm standby of the records. */
  readonly standby: boolean;
  /** Submissions are admitted by the teams' shares. */
  readonly admission: boolean;
  readonly startWithPreviousVersion: boolean;
  readonly onEffect: EffectHandler;
}

/** The controllers' side of the model: processes that start, end and stand still, each with a clock of its own. */
export class Controllers {
  readonly nodes: readonly ControllerNode[];
  readonly #simulation: Simulation;
  readonly #options: ControllersOptions;

  constructor(simulation: Simulation, options: ControllersOptions) {
    this.#simulation = simulation;
    this.#options = options;
    this.nodes = NODES.map((name, index) => ({
      index,
      name,
      isPreviousVersion: options.startWithPreviousVersion,
      core: null,
      epoch: 0,
      clockRate: 1 + (simulation.between(-50, 50) / 50) * 0.0005,
      clockOffsetMs: simulation.between(0, 100_000),
      partitionedUntil: 0,
      storePartitionedUntil: 0,
      peersPartitionedUntil: 0,
      agentsPartitionedUntil: 0,
      storeRefusesUntil: 0,
      watchesHangUntil: 0,
      delaysPackets: false,
      pausedUntil: 0,
      pausesBeforeSending: false,
      pendingCommands: [],
      unsentEffects: [],
    }));
  }

  /** The teams, with their quotas at the scale of this run. */
  get teams(): Deployment["teams"] {
    return scaledDeployment(NODES[0], this.#options.scale).teams;
  }

  /** True once every node runs the new version: from then on users ask for what is new. */
  get areUpgraded(): boolean {
    return this.nodes.every((node) => !node.isPreviousVersion);
  }

  /** The first node that holds itself to be the leader. */
  get leader(): ControllerNode | undefined {
    return this.nodes.find((node) => node.core?.leaderTerm);
  }

  /** The node of this name. */
  find(name: string): ControllerNode | undefined {
    return this.nodes.find((node) => node.name === name);
  }

  /** Starts all processes. */
  startAll(): void {
    for (const node of this.nodes) this.#start(node);
  }

  /** Ends a process; it is started again after a while. */
  crash(index: number, downMs: number): void {
    const node = this.nodes[index];
    if (!node?.core) return;
    node.core = null;
    node.epoch++;
    this.#simulation.after(downMs, () => this.#start(node));
  }

  /** A process does nothing for a while; what reaches it waits, and so may what it has just decided. */
  pause(index: number, forMs: number): void {
    const node = this.nodes[index];
    if (!node?.core || this.#simulation.now < node.pausedUntil) return;
    node.pausedUntil = this.#simulation.now + forMs;
    node.pausesBeforeSending = this.#simulation.chance(0.5);
    const { epoch } = node;
    this.#simulation.after(forMs, () => {
      if (node.epoch !== epoch) return;
      node.pausesBeforeSending = false;
      for (const effect of node.unsentEffects.splice(0)) this.#options.onEffect(node, epoch, effect);
      const commands = node.pendingCommands.splice(0);
      if (commands.length > 0) this.#handle(node, commands);
    });
  }

  /** Hands a command to the process; one that stands still gets it later. */
  deliver(node: ControllerNode, command: Command): void {
    if (this.#simulation.now >= node.pausedUntil) this.#handle(node, [command]);
    else if (node.pausesBeforeSending && node.core) {
      node.pausesBeforeSending = false;
      node.unsentEffects.push(...this.#computeEffects(node, node.core, [command]));
    } else node.pendingCommands.push(command);
  }

  /** Delivers a command after a while, unless the process of that epoch has ended meanwhile. */
  deliverAfter(node: ControllerNode, epoch: number, delayMs: number, makeCommand: () => Command): void {
    this.#simulation.after(delayMs, () => {
      if (node.epoch === epoch && node.core) this.deliver(node, makeCommand());
    });
  }

  #start(node: ControllerNode): void {
    node.epoch++;
    const { epoch } = node;
    const { scale, standby, admission } = this.#options;
    node.pendingCommands.length = 0;
    node.unsentEffects.length = 0;
    node.pausedUntil = 0;
    node.core = new Controller(scaledDeployment(node.name, scale), {
      incarnation: `${node.name}-${epoch}`,
      seed: node.index * 1000 + epoch,
      epochMs: 1_000_000_000,
      standbyBytes: standby && !node.isPreviousVersion ? STANDBY_BYTES : 0,
      admission: admission && !node.isPreviousVersion,
    });
    for (const peer of this.nodes) {
      if (peer !== node) this.deliver(node, { kind: "peerLinkChanged", node: peer.name, up: true });
    }
    const tick = () => {
      if (node.epoch !== epoch || !node.core) return;
      this.deliver(node, { kind: "tick" });
      this.#simulation.after(TICK_MS, tick);
    };
    this.#simulation.after(this.#simulation.between(200, 900), tick);
  }

  #handle(node: ControllerNode, commands: readonly Command[]): void {
    const { core, epoch } = node;
    if (!core) return;
    for (const effect of this.#computeEffects(node, core, commands))
      this.#options.onEffect(node, epoch, effect);
  }

  #computeEffects(node: ControllerNode, core: Controller, commands: readonly Command[]): Effect[] {
    const nodeNow = this.#simulation.now * node.clockRate + node.clockOffsetMs;
    return core.handle(commands, nodeNow, { isSpent: () => this.#simulation.chance(0.02) });
  }
}

/** The small deployment, with quotas that many times as large. */
function scaledDeployment(nodeName: string, scale: number): Deployment {
  const { teams, ...rest } = deployment(nodeName);
  const scaled = ({ cpu, gpu, ram }: Resources) => ({ cpu: cpu * scale, gpu: gpu * scale, ram: ram * scale });
  return {
    ...rest,
    teams: teams.map((team) => ({
      ...team,
      guarantee: scaled(team.guarantee),
      limit: scaled(team.limit),
    })),
  };
}
