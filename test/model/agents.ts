import type { AgentLeases } from "./agent-leases.js";
import type { AgentNetwork } from "./agent-network.js";
import type { AgentTasks } from "./agent-tasks.js";
import { isHung, type SimulatedMachine } from "./machines.js";
import type { RunningTasks } from "./running-tasks.js";
import type { Simulation } from "./simulation.js";

const STEP_MS = 100;

/** What the agents are built from. */
export interface AgentsOptions {
  readonly simulation: Simulation;
  readonly runningTasks: RunningTasks;
  readonly leases: AgentLeases;
  readonly tasks: AgentTasks;
  readonly network: AgentNetwork;
}

/** The agents on the machines, from boot to termination. */
export class Agents {
  readonly #simulation: Simulation;
  readonly #runningTasks: RunningTasks;
  readonly #leases: AgentLeases;
  readonly #tasks: AgentTasks;
  readonly #network: AgentNetwork;

  constructor({ simulation, runningTasks, leases, tasks, network }: AgentsOptions) {
    this.#simulation = simulation;
    this.#runningTasks = runningTasks;
    this.#leases = leases;
    this.#tasks = tasks;
    this.#network = network;
  }

  /** Starts the agent of a machine that has booted. */
  start(machine: SimulatedMachine): void {
    const step = () => {
      if (!machine.alive) return;
      this.#step(machine);
      this.#simulation.after(STEP_MS, step);
    };
    step();
  }

  /** Ends a machine, and with it the agent and all tasks. */
  terminate(machine: SimulatedMachine): void {
    machine.alive = false;
    this.#runningTasks.removeAll(machine);
  }

  #step(machine: SimulatedMachine): void {
    this.#leases.expireIfDue(machine);
    if (isHung(machine, this.#simulation.now)) return;
    this.#tasks.step(machine);
    const isHeartbeatDue = this.#simulation.now >= machine.nextHeartbeatAt;
    if (isHeartbeatDue && machine.pendingHeartbeat === 0) this.#network.sendHeartbeat(machine);
  }
}
