import { Controller } from "../../src/core/controller.js";
import type { Command } from "../../src/core/messages/commands.js";
import type { Effect } from "../../src/core/messages/effects.js";
import type { Deployment } from "../../src/core/model/deployment.js";
import type { Resources } from "../../src/core/model/resources.js";
import { deployment, NODES } from "../support/deployment.js";
import type { Simulation } from "./simulation.js";

const STANDBY_BYTES = 8 * 1024 * 1024;
const TICK_MS = 100;

/** A node with its controller process, clock and connectivity. */
export interface ControllerNode {
  readonly index: number;
  readonly name: string;
  /** True until the node is upgraded; the previous version neither sends nor receives the protocol version. */
  isPreviousVersion: boolean;
  /** Null while the process is down. */
  core: Controller | null;
  /** Incremented with each process start and exit; messages for an earlier epoch are dropped. */
  epoch: number;
  /** Rate and offset of its clock relative to virtual time. */
  readonly clockRate: number;
  readonly clockOffsetMs: number;
  /** The node is partitioned from everything. */
  partitionedUntil: number;
  /** The node is partitioned from the store. */
  storePartitionedUntil: number;
  peersPartitionedUntil: number;
  agentsPartitionedUntil: number;
  /** The agents of this zone reach only this node, and no other agents reach it; null if there was no such partition. */
  zonePartition: { readonly zone: string; readonly until: number } | null;
  /** The store responds to this node that it is unavailable. */
  storeRefusesUntil: number;
  /** Watches get no response, while all other store calls do. */
  watchesHangUntil: number;
  /** Packets sent during a partition are delivered after it ends instead of being lost. */
  delaysPackets: boolean;
  /** The process is paused until this time, while its clock keeps running. */
  pausedUntil: number;
  /** The next command is still handled, but its effects are only sent when the process resumes. */
  pausesBeforeSending: boolean;
  /** Commands received and effects held back during a pause. */
  readonly pendingCommands: Command[];
  readonly unsentEffects: Effect[];
}

/** Executes an effect of a node; `epoch` identifies the process that produced it. */
export type EffectHandler = (node: ControllerNode, epoch: number, effect: Effect) => void;

/** Options that apply to all controllers of a run. */
export interface ControllersOptions {
  /** Multiplier for the teams' quotas of the small deployment. */
  readonly scale: number;
  /** Enables the standby cache of records on followers. */
  readonly standby: boolean;
  /** Enables fair admission of submissions by team shares. */
  readonly admission: boolean;
  readonly startWithPreviousVersion: boolean;
  readonly onEffect: EffectHandler;
}

/** The controller processes: start, crash and pause, each with its own clock. */
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
      zonePartition: null,
      storeRefusesUntil: 0,
      watchesHangUntil: 0,
      delaysPackets: false,
      pausedUntil: 0,
      pausesBeforeSending: false,
      pendingCommands: [],
      unsentEffects: [],
    }));
  }

  /** The teams, with quotas scaled for this run. */
  get teams(): Deployment["teams"] {
    return scaledDeployment(NODES[0], this.#options.scale).teams;
  }

  /** True once every node runs the current version; users only use its new features from then on. */
  get areUpgraded(): boolean {
    return this.nodes.every((node) => !node.isPreviousVersion);
  }

  /** The first node that considers itself leader. */
  get leader(): ControllerNode | undefined {
    return this.nodes.find((node) => node.core?.leaderTerm);
  }

  find(name: string): ControllerNode | undefined {
    return this.nodes.find((node) => node.name === name);
  }

  startAll(): void {
    for (const node of this.nodes) this.#start(node);
  }

  /** Crashes a process and restarts it after `downMs`. */
  crash(index: number, downMs: number): void {
    const node = this.nodes[index];
    if (!node?.core) return;
    node.core = null;
    node.epoch++;
    this.#simulation.after(downMs, () => this.#start(node));
  }

  /** Pauses a process. Commands are queued meanwhile; one may still be handled, but with its effects held back. */
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

  /** Delivers a command to the process, after it resumes if it is paused. */
  deliver(node: ControllerNode, command: Command): void {
    if (this.#simulation.now >= node.pausedUntil) this.#handle(node, [command]);
    else if (node.pausesBeforeSending && node.core) {
      node.pausesBeforeSending = false;
      node.unsentEffects.push(...this.#computeEffects(node, node.core, [command]));
    } else node.pendingCommands.push(command);
  }

  /** Delivers a command after a delay, unless the process of that epoch has exited by then. */
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

/** Returns the small deployment with all quotas multiplied by `scale`. */
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
