import { AgentLeases } from "./agent-leases.js";
import { AgentNetwork } from "./agent-network.js";
import { AgentTasks } from "./agent-tasks.js";
import type { Controllers } from "./controllers.js";
import type { FaultRates } from "./fault-rates.js";
import type { SubmittedJobs } from "./jobs.js";
import { isHung, type SimulatedMachine } from "./machines.js";
import type { RuleChecks } from "./rule-checks.js";
import type { RunningTasks } from "./running-tasks.js";
import type { Simulation } from "./simulation.js";

const STEP_MS = 100;

export interface AgentsOptions {
  readonly simulation: Simulation;
  readonly controllers: Controllers;
  readonly machines: ReadonlyMap<string, SimulatedMachine>;
  readonly jobs: SubmittedJobs;
  readonly runningTasks: RunningTasks;
  readonly rules: RuleChecks;
  readonly faultRates: FaultRates;
  /** Called when all tasks of a job are done. */
  readonly onJobFinished: (uid: string) => void;
}

/** The agents on all machines, from boot to termination, with their leases, tasks and network. */
export class Agents {
  readonly leases: AgentLeases;
  readonly tasks: AgentTasks;
  readonly network: AgentNetwork;
  readonly #simulation: Simulation;
  readonly #runningTasks: RunningTasks;

  constructor(options: AgentsOptions) {
    const { simulation, controllers, machines, runningTasks, faultRates } = options;
    this.#simulation = simulation;
    this.#runningTasks = runningTasks;
    this.leases = new AgentLeases(simulation, runningTasks);
    this.tasks = new AgentTasks({ ...options, errorRate: faultRates.taskError });
    this.network = new AgentNetwork({
      simulation,
      controllers,
      machines,
      leases: this.leases,
      tasks: this.tasks,
      duplicateRate: faultRates.lateDuplicates,
    });
  }

  /** Starts the agent of a booted machine. */
  start(machine: SimulatedMachine): void {
    const step = () => {
      if (!machine.alive) return;
      this.#step(machine);
      this.#simulation.after(STEP_MS, step);
    };
    step();
  }

  /** Terminates a machine with its agent and all tasks. */
  terminate(machine: SimulatedMachine): void {
    machine.alive = false;
    this.#runningTasks.removeAll(machine);
  }

  #step(machine: SimulatedMachine): void {
    this.leases.expireIfDue(machine);
    if (isHung(machine, this.#simulation.now)) return;
    this.tasks.step(machine);
    const isHeartbeatDue = this.#simulation.now >= machine.nextHeartbeatAt;
    if (isHeartbeatDue && machine.pendingHeartbeat === 0) this.network.sendHeartbeat(machine);
  }
}
