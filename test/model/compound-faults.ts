import type { Agents } from "./agents.js";
import type { ControllerNode, Controllers } from "./controllers.js";
import type { SubmittedJobs } from "./jobs.js";
import type { SimulatedMachine } from "./machines.js";
import type { Simulation } from "./simulation.js";
import type { StoreNetwork } from "./store-network.js";
import type { Users } from "./users.js";

/** The parts of the simulation that faults act on. */
export interface FaultTargets {
  readonly simulation: Simulation;
  readonly controllers: Controllers;
  readonly machines: ReadonlyMap<string, SimulatedMachine>;
  readonly jobs: SubmittedJobs;
  readonly store: StoreNetwork;
  readonly agents: Agents;
  readonly users: Users;
}

/** Starts a fault. */
type Fault = () => void;

/**
 * Combines faults with worst-case timing: one or two faults affect the leader, many machines or the network; users
 * cancel jobs shortly afterwards; meanwhile controllers crash, or the store has an outage, possibly longer than
 * `cancel_s`.
 */
export class CompoundFaults {
  readonly #targets: FaultTargets;
  readonly #simulation: Simulation;
  readonly #controllers: Controllers;

  constructor(targets: FaultTargets) {
    this.#targets = targets;
    this.#simulation = targets.simulation;
    this.#controllers = targets.controllers;
  }

  /** Starts one compound fault; `machines` are those that are up. */
  begin(machines: readonly SimulatedMachine[]): void {
    const simulation = this.#simulation;
    const leader = this.#controllers.leader ?? this.#controllers.nodes[0];
    if (!leader) return;
    const forMs = simulation.between(2000, 40_000);
    const affected = machines.filter(() => simulation.chance(0.3));
    const lastingFaults = [
      ...this.#leaderFaults(leader, forMs),
      ...this.#machineFaults(affected, forMs),
      ...this.#networkFaults(forMs),
    ];
    const outagesAndCrashes = this.#outagesAndCrashes(leader);
    const first = this.#pick(lastingFaults);
    const second = simulation.chance(0.4) ? this.#pick(lastingFaults) : undefined;
    const outageOrCrash = this.#pick(outagesAndCrashes);
    first?.();
    second?.();
    const cancelAfterMs = simulation.between(0, 3500);
    simulation.after(cancelAfterMs, () =>
      this.#cancelRunning(
        simulation.between(1, 3),
        simulation.chance(0.5) ? simulation.between(2000, 30_000) : 0,
      ),
    );
    if (simulation.chance(0.3) || !outageOrCrash) return;
    const outageOrCrashAfterMs = simulation.chance(0.7)
      ? cancelAfterMs + simulation.between(0, 1500)
      : simulation.between(0, forMs);
    simulation.after(outageOrCrashAfterMs, outageOrCrash);
  }

  #pick(faults: readonly Fault[]): Fault | undefined {
    return faults[this.#simulation.between(0, faults.length - 1)];
  }

  #leaderFaults(leader: ControllerNode, forMs: number): Fault[] {
    const simulation = this.#simulation;
    const until = simulation.now + forMs;
    return [
      () => {
        leader.storeRefusesUntil = until;
      },
      () => {
        leader.storePartitionedUntil = until;
        leader.peersPartitionedUntil = until;
        leader.delaysPackets = simulation.chance(0.5);
      },
      () => {
        leader.peersPartitionedUntil = until;
        leader.storeRefusesUntil = until;
      },
      () => {
        leader.agentsPartitionedUntil = until;
        leader.delaysPackets = true;
      },
      () => {
        // The leader keeps renewing its lease but receives no changes.
        leader.watchesHangUntil = simulation.now + 50_000;
        leader.peersPartitionedUntil = leader.watchesHangUntil;
      },
      () => this.#controllers.pause(leader.index, forMs),
    ];
  }

  #machineFaults(machines: readonly SimulatedMachine[], forMs: number): Fault[] {
    const until = this.#simulation.now + forMs;
    return [
      () => {
        for (const machine of machines) machine.hungUntil = until;
      },
      () => {
        for (const machine of machines) machine.inboundPartitionedUntil = until;
      },
      () => {
        for (const machine of machines) machine.outboundPartitionedUntil = until;
      },
      () => {
        for (const machine of this.#targets.machines.values())
          if (machine.zone === "a") machine.partitionedUntil = until;
      },
    ];
  }

  #networkFaults(forMs: number): Fault[] {
    const { store, agents } = this.#targets;
    const until = this.#simulation.now + forMs;
    return [
      () => {
        store.lateTransactionsUntil = until;
      },
      () => {
        agents.network.manyDuplicatesUntil = until;
      },
      () => {
        store.slowUntil = until;
      },
    ];
  }

  #outagesAndCrashes(leader: ControllerNode): Fault[] {
    const simulation = this.#simulation;
    const controllers = this.#controllers;
    const { store } = this.#targets;
    return [
      () => store.startOutage(simulation.between(2000, 60_000)),
      () => store.startOutage(simulation.between(41_000, 60_000)),
      () => controllers.crash(leader.index, simulation.between(50, 4000)),
      () => {
        for (const node of controllers.nodes) controllers.crash(node.index, simulation.between(50, 16_000));
      },
      () => {
        for (let i = 0; i < 10; i++) simulation.after(i * 4000, () => this.#crashLeader());
      },
    ];
  }

  #crashLeader(): void {
    const { leader } = this.#controllers;
    if (leader) this.#controllers.crash(leader.index, this.#simulation.between(50, 3000));
  }

  /** Cancels running jobs, services first; their machines may hang from that moment. */
  #cancelRunning(count: number, hangMs: number): void {
    const { machines, jobs, users } = this.#targets;
    const machinesByJob = new Map<string, SimulatedMachine[]>();
    for (const machine of machines.values()) {
      if (!machine.alive) continue;
      for (const { uid, state } of machine.tasks)
        if (state !== "ended") machinesByJob.set(uid, [...(machinesByJob.get(uid) ?? []), machine]);
    }
    const rank = (uid: string) => (jobs.get(uid)?.spec.shape === "service" ? 0 : 1);
    const running = [...machinesByJob].sort(([uid], [otherUid]) => rank(uid) - rank(otherUid));
    for (const [uid, jobMachines] of running.slice(0, count)) {
      users.cancel(uid);
      if (hangMs === 0) continue;
      for (const machine of jobMachines.slice(0, 4)) machine.hungUntil = this.#simulation.now + hangMs;
    }
  }
}
