import type { JobSpec } from "../../src/core/model/job-spec.js";
import type { AgentTask, SimulatedMachine } from "./machines.js";

/** The tasks actually running on machines, by job and team, against which every start is checked. */
export class RunningTasks {
  readonly #machinesByJob = new Map<string, Map<number, Set<SimulatedMachine>>>();
  readonly #teamUse = new Map<string, { cpu: number; gpu: number }>();
  readonly #placements = new Map<AgentTask, { machine: SimulatedMachine; spec: JobSpec }>();

  /** Number of running tasks. */
  get size(): number {
    return this.#placements.size;
  }

  /** Adds a task that starts on a machine. */
  add(machine: SimulatedMachine, task: AgentTask, spec: JobSpec): void {
    if (this.#placements.has(task)) return;
    this.#placements.set(task, { machine, spec });
    let machinesByTask = this.#machinesByJob.get(task.uid);
    if (!machinesByTask) {
      machinesByTask = new Map();
      this.#machinesByJob.set(task.uid, machinesByTask);
    }
    const machines = machinesByTask.get(task.task);
    if (machines) machines.add(machine);
    else machinesByTask.set(task.task, new Set([machine]));
    this.#countUse(spec, 1);
  }

  /** Removes a task that ends; no effect if it never started. */
  remove(task: AgentTask): void {
    const placement = this.#placements.get(task);
    if (!placement) return;
    this.#placements.delete(task);
    const machinesByTask = this.#machinesByJob.get(task.uid);
    const machines = machinesByTask?.get(task.task);
    machines?.delete(placement.machine);
    if (machines?.size === 0) machinesByTask?.delete(task.task);
    this.#countUse(placement.spec, -1);
  }

  removeAll(machine: SimulatedMachine): void {
    for (const task of machine.tasks) this.remove(task);
  }

  /** Returns the machines that run a task, except the given one. */
  otherMachines(uid: string, task: number, machine: SimulatedMachine): SimulatedMachine[] {
    return [...(this.#machinesByJob.get(uid)?.get(task) ?? [])].filter((other) => other !== machine);
  }

  /** Returns the running tasks of a job by zone. */
  tasksByZone(uid: string): Map<string, Set<number>> {
    const tasksByZone = new Map<string, Set<number>>();
    for (const [task, machines] of this.#machinesByJob.get(uid) ?? [])
      for (const { zone } of machines)
        tasksByZone.set(zone, (tasksByZone.get(zone) ?? new Set<number>()).add(task));
    return tasksByZone;
  }

  /** Returns the CPU and GPU usage of a team. */
  teamUse(team: string): { readonly cpu: number; readonly gpu: number } {
    return this.#teamUse.get(team) ?? { cpu: 0, gpu: 0 };
  }

  #countUse({ team, need }: JobSpec, sign: 1 | -1): void {
    const use = this.#teamUse.get(team) ?? { cpu: 0, gpu: 0 };
    use.cpu += sign * need.cpu;
    use.gpu += sign * need.gpu;
    this.#teamUse.set(team, use);
  }
}
