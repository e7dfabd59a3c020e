import type { Controller } from "../../src/core/controller.js";
import type { Effect } from "../../src/core/messages/effects.js";
import { FakeStore } from "../support/fake-store.js";
import { Agents } from "./agents.js";
import { Cloud } from "./cloud.js";
import { ControllerLog } from "./controller-log.js";
import { type ControllerNode, Controllers } from "./controllers.js";
import { type FaultRates, NO_FAULTS } from "./fault-rates.js";
import { Faults } from "./faults.js";
import { SubmittedJobs } from "./jobs.js";
import type { SimulatedMachine } from "./machines.js";
import { PeerNetwork } from "./peer-network.js";
import { RuleChecks, type Violation } from "./rule-checks.js";
import { RunningTasks } from "./running-tasks.js";
import { Simulation } from "./simulation.js";
import { StoreNetwork } from "./store-network.js";
import { Users } from "./users.js";

/** How often the store looks for leases that are over. */
const LEASE_EXPIRY_STEP_MS = 50;
const STORE_LIMITS = { valueBytes: 8192, txnOps: 32, writeRps: 100 };
const STORE_LIMITS_AFTER_UPGRADE = { valueBytes: 2048, txnOps: 10, writeRps: 70 };

/** Called with everything that leaves a node, in order, with the node and the model's clock. */
export type EffectObserver = (core: Controller, node: string, now: number, effect: Effect) => void;

/** What a run of the model cluster is made from; the same options play the same day. */
export interface ModelClusterOptions {
  readonly seed: number;
  /** None unless given. */
  readonly faultRates?: FaultRates | undefined;
  /** At scale 1 there are eight machines to begin with; teams' quotas and the cloud grow with it. */
  readonly scale?: number | undefined;
  /** Followers keep a warm standby of the records. */
  readonly standby?: boolean | undefined;
  /** Submissions are admitted by the teams' shares. */
  readonly admission?: boolean | undefined;
  readonly observer?: EffectObserver | undefined;
}

/**
 * Three real controllers in a model of everything outside the core: key-value store, cloud, agents, users and network. It
 * plays in virtual time from a seed, injects faults at random, and checks the rules as it goes. This class wires the
 * parts, and routes the controllers' effects to them.
 */
export class ModelCluster {
  readonly simulation: Simulation;
  readonly jobs = new SubmittedJobs();
  readonly machines = new Map<string, SimulatedMachine>();
  readonly runningTasks = new RunningTasks();
  readonly store = new FakeStore();
  readonly controllers: Controllers;
  readonly log: ControllerLog;
  readonly rules: RuleChecks;
  readonly storeNetwork: StoreNetwork;
  readonly agents: Agents;
  readonly cloud: Cloud;
  readonly users: Users;
  readonly faults: Faults;
  readonly #peerNetwork: PeerNetwork;
  readonly #observer: EffectObserver | undefined;

  constructor(options: ModelClusterOptions) {
    const { seed, faultRates = NO_FAULTS, scale = 1, standby = false, admission = false, observer } = options;
    this.#observer = observer;
    this.simulation = new Simulation(seed);
    this.controllers = new Controllers(this.simulation, {
      scale,
      standby,
      admission,
      startWithPreviousVersion: faultRates.upgrade,
      onEffect: (node, epoch, effect) => this.#route(node, epoch, effect),
    });
    const { simulation, controllers, jobs, machines, runningTasks, store } = this;
    const shared = { simulation, controllers, jobs, machines };
    this.log = new ControllerLog(simulation);
    const rules = new RuleChecks({ ...shared, runningTasks, teams: controllers.teams });
    this.rules = rules;
    this.users = new Users({ ...shared, rules });
    this.storeNetwork = new StoreNetwork(simulation, controllers, store);
    const agents = new Agents({
      ...shared,
      runningTasks,
      rules,
      faultRates,
      onJobFinished: (uid) => this.faults.onJobFinished(uid),
    });
    this.agents = agents;
    this.#peerNetwork = new PeerNetwork(simulation, controllers, agents.network);
    this.cloud = new Cloud({
      ...shared,
      scale,
      onBooted: (machine) => agents.start(machine),
      onTerminated: (machine) => agents.terminate(machine),
    });
    this.faults = new Faults({ ...shared, faultRates, agents, users: this.users, store: this.storeNetwork });
    this.#start(faultRates);
  }

  /** Virtual time, in milliseconds: that of the last event played. */
  get now(): number {
    return this.simulation.now;
  }

  /** The controllers' nodes, in the order of their names. */
  get nodes(): readonly ControllerNode[] {
    return this.controllers.nodes;
  }

  /** The rules that were broken so far. */
  get violations(): readonly Violation[] {
    return this.rules.violations;
  }

  /** Plays on up to this time. */
  run(untilMs: number): void {
    this.simulation.run(untilMs);
  }

  /** Begins the day. The order matters: it is that of the draws and of events at the same moment. */
  #start({ upgrade }: FaultRates): void {
    this.controllers.startAll();
    this.cloud.createInitialMachines();
    this.simulation.every(LEASE_EXPIRY_STEP_MS, () => this.store.expire(this.now));
    this.store.limits = STORE_LIMITS;
    this.store.onWrite = (key, value) => {
      if (!this.controllers.areUpgraded) this.rules.checkReadableByProduction(key, value);
    };
    if (!upgrade) return;
    this.faults.scheduleUpgrade(() => {
      this.store.limits = STORE_LIMITS_AFTER_UPGRADE;
    });
  }

  #route(node: ControllerNode, epoch: number, effect: Effect): void {
    if (node.core) this.#observer?.(node.core, node.name, this.now, effect);
    switch (effect.kind) {
      case "respondToUser":
        this.users.respond(effect.requestId, effect.response);
        break;
      case "replyToAgent":
        this.agents.network.replyFrom(node, effect.requestId, effect.reply);
        break;
      case "forwardHeartbeat":
        this.#peerNetwork.forwardHeartbeat(node, effect);
        break;
      case "replyToForwardedHeartbeat":
        this.#peerNetwork.replyToForwarded(node, effect);
        break;
      case "respondToOperator":
        break;
      case "log":
        this.log.record(node, effect);
        break;
      case "callStore":
        this.storeNetwork.call(node, epoch, effect);
        break;
      case "callCloud":
        this.cloud.call(node, epoch, effect);
        break;
      case "sendToPeer":
        this.#peerNetwork.send(node, effect);
        break;
      case "sendAgentCommands":
        this.agents.network.sendCommands(node, epoch, effect);
        break;
      default:
        effect satisfies never;
    }
  }
}
