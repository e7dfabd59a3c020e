import type { SimulatedMachine } from "./machines.js";
import type { RunningTasks } from "./running-tasks.js";
import type { Simulation } from "./simulation.js";

/** For how long an agent goes on without an answered heartbeat. */
const LEASE_MS = 12_000;

/** A lease that expired. */
export interface ExpiredLease {
  readonly machine: string;
  readonly zone: string;
  readonly at: number;
}

/** The agents' leases: one that expires ends every task on the machine and begins a new incarnation. */
export class AgentLeases {
  readonly expired: ExpiredLease[] = [];
  readonly #simulation: Simulation;
  readonly #runningTasks: RunningTasks;

  constructor(simulation: Simulation, runningTasks: RunningTasks) {
    this.#simulation = simulation;
    this.#runningTasks = runningTasks;
  }

  /** Ends what an agent has if its lease is over. Agents look before they do anything else. */
  expireIfDue(machine: SimulatedMachine): void {
    const { now } = this.#simulation;
    if (now - machine.leaseRenewedAt <= LEASE_MS) return;
    this.expired.push({ machine: machine.name, zone: machine.zone, at: now });
    this.#runningTasks.removeAll(machine);
    machine.tasks = [];
    machine.incarnation++;
    machine.leaseRenewedAt = now;
  }
}
