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
import { OutlierCheck } from "./outlier-check.js";
import { PeerNetwork } from "./peer-network.js";
import { RuleChecks, type Violation } from "./rule-checks.js";
import { RunningTasks } from "./running-tasks.js";
import { Simulation } from "./simulation.js";
import { StoreNetwork } from "./store-network.js";
import { Users } from "./users.js";

/** How often the store revokes expired leases. */
const LEASE_EXPIRY_STEP_MS = 50;
const STORE_LIMITS = { valueBytes: 8192, txnOps: 32, writeRps: 100 };
const STORE_LIMITS_AFTER_UPGRADE = { valueBytes: 2048, txnOps: 10, writeRps: 70 };

/** Observes every effect of a node, in order, with the virtual time at which it is carried out. */
export type EffectObserver = (core: Controller, node: string, now: number, effect: Effect) => void;

/** Options of a model cluster; runs with the same options are identical. */
export interface ModelClusterOptions {
  readonly seed: number;
  /** No faults by default. */
  readonly faultRates?: FaultRates | undefined;
  /** Scales the initial machines (eight at scale 1), the teams' quotas and the cloud capacity. */
  readonly scale?: number | undefined;
  /** Enables the standby cache of records on followers. */
  readonly standby?: boolean | undefined;
  /** Enables fair admission of submissions by team shares. */
  readonly admission?: boolean | undefined;
  readonly observer?: EffectObserver | undefined;
}

/**
 * Runs three real controllers against a simulation of everything outside the core: key-value store, cloud, agents,
 * users and network. The simulation runs in virtual time from a seed, injects random faults and checks invariants
 * continuously. This class connects the parts and routes the controllers' effects to them.
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
  readonly outliers: OutlierCheck;
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
    this.outliers = new OutlierCheck({ ...shared, onViolation: (rule, text) => rules.report(rule, text) });
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

  /** Virtual time in milliseconds, as of the last event run. */
  get now(): number {
    return this.simulation.now;
  }

  /** The controller nodes, ordered by name. */
  get nodes(): readonly ControllerNode[] {
    return this.controllers.nodes;
  }

  /** Rule violations so far. */
  get violations(): readonly Violation[] {
    return this.rules.violations;
  }

  /** Runs the simulation up to `untilMs`. */
  run(untilMs: number): void {
    this.simulation.run(untilMs);
  }

  /** Starts the simulation. The order matters: it determines random draws and the order of simultaneous events. */
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
