import type { JobSpec } from "../../src/core/model/job-spec.js";
import type { Worker, WorkerTask } from "./truth.js";

/** What is on which machine at this moment, by job and team: the truth that starts are checked against. */
export class OnMachines {
  readonly #byJob = new Map<string, Map<number, Set<Worker>>>();
  readonly #teamUse = new Map<string, { cpu: number; gpu: number }>();
  readonly #entered = new Map<WorkerTask, { worker: Worker; spec: JobSpec }>();

  get size(): number {
    return this.#entered.size;
  }

  enter(worker: Worker, task: WorkerTask, spec: JobSpec): void {
    if (this.#entered.has(task)) return;
    this.#entered.set(task, { worker, spec });
    let tasks = this.#byJob.get(task.uid);
    if (!tasks) {
      tasks = new Map();
      this.#byJob.set(task.uid, tasks);
    }
    const workers = tasks.get(task.task);
    if (workers) workers.add(worker);
    else tasks.set(task.task, new Set([worker]));
    this.#count(spec, 1);
  }

  leave(task: WorkerTask): void {
    const entry = this.#entered.get(task);
    if (!entry) return;
    this.#entered.delete(task);
    const tasks = this.#byJob.get(task.uid);
    const workers = tasks?.get(task.task);
    workers?.delete(entry.worker);
    if (workers?.size === 0) tasks?.delete(task.task);
    this.#count(entry.spec, -1);
  }

  /** Everything on this worker is gone. */
  leaveAll(worker: Worker): void {
    for (const task of worker.tasks) this.leave(task);
  }

  /** The other machines that a task is on. */
  others(uid: string, task: number, worker: Worker): Worker[] {
    return [...(this.#byJob.get(uid)?.get(task) ?? [])].filter((other) => other !== worker);
  }

  /** The tasks of a job that are in each zone. */
  zones(uid: string): Map<string, Set<number>> {
    const zones = new Map<string, Set<number>>();
    for (const [task, workers] of this.#byJob.get(uid) ?? [])
      for (const { zone } of workers) zones.set(zone, (zones.get(zone) ?? new Set()).add(task));
    return zones;
  }

  teamUse(team: string): { readonly cpu: number; readonly gpu: number } {
    return this.#teamUse.get(team) ?? { cpu: 0, gpu: 0 };
  }

  #count({ team, need }: JobSpec, sign: 1 | -1): void {
    const use = this.#teamUse.get(team) ?? { cpu: 0, gpu: 0 };
    use.cpu += sign * need.cpu;
    use.gpu += sign * need.gpu;
    this.#teamUse.set(team, use);
  }
}
