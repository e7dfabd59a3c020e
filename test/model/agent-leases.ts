import type { SimulatedMachine } from "./machines.js";
import type { RunningTasks } from "./running-tasks.js";
import type { Simulation } from "./simulation.js";

/** How long an agent keeps its tasks running without an acknowledged heartbeat. */
const LEASE_MS = 12_000;

/** An agent lease that has expired. */
export interface ExpiredLease {
  readonly machine: string;
  readonly zone: string;
  readonly at: number;
}

/** Agent leases. When a lease expires, all tasks on the machine are ended and a new incarnation begins. */
export class AgentLeases {
  readonly expired: ExpiredLease[] = [];
  readonly #simulation: Simulation;
  readonly #runningTasks: RunningTasks;

  constructor(simulation: Simulation, runningTasks: RunningTasks) {
    this.#simulation = simulation;
    this.#runningTasks = runningTasks;
  }

  /** Expires an agent's lease if it is due. Must be called before the agent takes any other action. */
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
