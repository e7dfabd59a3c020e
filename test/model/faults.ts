import type { Agents } from "./agents.js";
import { CompoundFaults, type FaultTargets } from "./compound-faults.js";
import type { ControllerNode, Controllers } from "./controllers.js";
import type { FaultRates } from "./fault-rates.js";
import type { SimulatedMachine } from "./machines.js";
import { SettingsChanges } from "./settings-changes.js";
import type { Simulation } from "./simulation.js";

const RECLAIM_NOTICE_MS = 10_000;

export interface FaultsOptions extends FaultTargets {
  readonly faultRates: FaultRates;
}

/** Injects random faults at the configured rates. */
export class Faults {
  readonly #faultRates: FaultRates;
  readonly #targets: FaultTargets;
  readonly #simulation: Simulation;
  readonly #controllers: Controllers;
  readonly #agents: Agents;
  readonly #compound: CompoundFaults;
  readonly #settingsChanges: SettingsChanges;

  constructor({ faultRates, ...targets }: FaultsOptions) {
    this.#faultRates = faultRates;
    this.#targets = targets;
    this.#simulation = targets.simulation;
    this.#controllers = targets.controllers;
    this.#agents = targets.agents;
    this.#compound = new CompoundFaults(targets);
    this.#settingsChanges = new SettingsChanges(targets);
  }

  /** Starts the faults drawn for one second. */
  injectForOneSecond(): void {
    const simulation = this.#simulation;
    const faultRates = this.#faultRates;
    const node = this.#controllers.nodes[simulation.between(0, 2)];
    const machines = [...this.#targets.machines.values()].filter(
      ({ alive, bootedAt }) => alive && bootedAt <= simulation.now,
    );
    const machine = machines[simulation.between(0, Math.max(0, machines.length - 1))];
    if (node) this.#injectIntoController(node);
    if (simulation.chance(faultRates.massFailure)) this.#failManyMachines(machines);
    if (simulation.chance(faultRates.compoundFault)) this.#compound.begin(machines);
    if (simulation.chance(faultRates.rollingRestart)) this.#rollingRestart();
    if (machine && simulation.chance(faultRates.oneWayPartition))
      machine.inboundPartitionedUntil = simulation.now + simulation.between(5000, 60_000);
    if (simulation.chance(faultRates.outage))
      this.#targets.store.startOutage(simulation.between(2000, 20_000));
    if (machine) this.#injectIntoMachine(machine);
    // No draws without these faults: the recorded digests of the other scenarios depend on their draws.
    if (machine && faultRates.faultyMachine > 0 && simulation.chance(faultRates.faultyMachine))
      machine.isFaulty = true;
    if (faultRates.settingsChange > 0 && simulation.chance(faultRates.settingsChange))
      this.#settingsChanges.begin();
  }

  /** Partitions the machines of a zone from all controllers. */
  partitionZone(zone: string, forMs: number): void {
    const until = this.#simulation.now + forMs;
    for (const machine of this.#targets.machines.values())
      if (machine.zone === zone) machine.partitionedUntil = until;
  }

  /** Called when a job finishes: its user may cancel and resubmit it at that moment. */
  onJobFinished(uid: string): void {
    const simulation = this.#simulation;
    const { users } = this.#targets;
    if (!simulation.chance(this.#faultRates.cancelAtCompletion)) return;
    simulation.after(simulation.between(0, 400), () => users.cancel(uid));
    simulation.after(simulation.between(0, 400), () => users.resubmit(uid));
  }

  /** Schedules a rolling upgrade of all nodes, and `onStoreLimitsFall` after it. */
  scheduleUpgrade(onStoreLimitsFall: () => void): void {
    const simulation = this.#simulation;
    // Transactions issued before the feature gate opens may be applied after later ones.
    if (simulation.chance(0.5)) {
      simulation.after(15_000, () => {
        this.#targets.store.lateTransactionsUntil = simulation.now + 60_000;
      });
    }
    for (const node of this.#controllers.nodes) {
      simulation.after(20_000 + node.index * simulation.between(6000, 14_000), () => {
        node.isPreviousVersion = false;
        this.#controllers.crash(node.index, simulation.between(100, 4000));
      });
    }
    simulation.after(simulation.between(50_000, 90_000), onStoreLimitsFall);
  }

  #injectIntoController(node: ControllerNode): void {
    const simulation = this.#simulation;
    const faultRates = this.#faultRates;
    if (simulation.chance(faultRates.crash))
      this.#controllers.crash(node.index, simulation.chance(0.3) ? 200 : 4000);
    if (simulation.chance(faultRates.crash / 4)) this.#crashAll(200, 4000);
    if (simulation.chance(faultRates.partition)) this.#partition(node);
    if (simulation.chance(faultRates.quickRestart)) this.#quickRestart(node);
    if (simulation.chance(faultRates.isolation)) {
      node.peersPartitionedUntil = simulation.now + simulation.between(5000, 40_000);
      node.storePartitionedUntil = node.peersPartitionedUntil;
    }
    if (simulation.chance(faultRates.pause))
      this.#controllers.pause(node.index, simulation.between(1000, 45_000));
  }

  #injectIntoMachine(machine: SimulatedMachine): void {
    const simulation = this.#simulation;
    const faultRates = this.#faultRates;
    if (simulation.chance(faultRates.hang))
      machine.hungUntil = simulation.now + simulation.between(2000, 30_000);
    if (simulation.chance(faultRates.hang))
      machine.partitionedUntil = simulation.now + simulation.between(2000, 30_000);
    if (!simulation.chance(faultRates.reclaim)) return;
    if (simulation.chance(0.5)) this.#agents.terminate(machine);
    else {
      machine.reclaimAt = simulation.now + RECLAIM_NOTICE_MS;
      simulation.after(RECLAIM_NOTICE_MS, () => this.#agents.terminate(machine));
    }
  }

  #crashAll(leastMs: number, mostMs: number): void {
    for (const { index } of this.#controllers.nodes)
      this.#controllers.crash(index, this.#simulation.between(leastMs, mostMs));
  }

  #partition(node: ControllerNode): void {
    const until = this.#simulation.now + this.#simulation.between(2000, 30_000);
    node.delaysPackets = this.#simulation.chance(0.5);
    switch (this.#simulation.between(0, 3)) {
      case 0:
        node.partitionedUntil = until;
        break;
      case 1:
        node.storePartitionedUntil = until;
        break;
      case 2:
        node.agentsPartitionedUntil = until;
        break;
      default:
        node.storeRefusesUntil = until;
    }
  }

  #quickRestart(node: ControllerNode): void {
    const simulation = this.#simulation;
    const nodes = simulation.chance(0.3) ? this.#controllers.nodes : [node];
    const downMs = simulation.between(20, 400);
    for (const { index } of nodes) {
      this.#controllers.crash(index, downMs);
      if (simulation.chance(0.4))
        simulation.after(downMs + simulation.between(50, 1500), () => this.#controllers.crash(index, downMs));
    }
  }

  /** Fails many machines at once, mostly together with a controller crash. */
  #failManyMachines(machines: readonly SimulatedMachine[]): void {
    const simulation = this.#simulation;
    const forMs = simulation.between(5000, 40_000);
    const kind = simulation.between(0, 3);
    const zone = simulation.chance(0.5) ? "a" : "b";
    for (const machine of machines) {
      if (kind === 0 && simulation.chance(0.2)) this.#agents.terminate(machine);
      if (kind === 1 && simulation.chance(0.3)) machine.hungUntil = simulation.now + forMs;
      if (kind === 2 && machine.spot && simulation.chance(0.5))
        simulation.after(simulation.between(0, 10_000), () => this.#agents.terminate(machine));
      if (kind === 3 && machine.zone === zone) machine.partitionedUntil = simulation.now + forMs;
    }
    if (simulation.chance(0.7)) {
      simulation.after(simulation.between(0, forMs), () =>
        this.#controllers.crash(simulation.between(0, 2), simulation.between(100, 4000)),
      );
    }
  }

  #rollingRestart(): void {
    const simulation = this.#simulation;
    const outageMs = simulation.between(5000, 15_000);
    this.#targets.store.startOutage(outageMs);
    simulation.after(outageMs - 1000, () => this.#crashAll(100, 4000));
    for (const { index } of this.#controllers.nodes) {
      simulation.after(outageMs + 8000 + index * 8000, () =>
        this.#controllers.crash(index, simulation.between(100, 4000)),
      );
    }
    simulation.after(outageMs + 35_000, () => this.#crashAll(100, 4000));
  }
}
