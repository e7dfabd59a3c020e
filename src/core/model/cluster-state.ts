import type { MachineType } from "./deployment.js";
import type { NameRegistry } from "./interner.js";
import { Job } from "./job.js";
import type { JobSpec } from "./job-spec.js";
import { Machine, type MachineOrigin } from "./machine.js";
import type { Placement } from "./placement.js";
import type { Resources } from "./resources.js";
import { add, NO_RESOURCES } from "./resources.js";

/**
 * The cluster state: unfinished jobs, machines and the placements between them. Placements come and go here alone, so
 * that job, machine and quota usage always agree (I3).
 */
export class ClusterState {
  /** Unfinished jobs by index. */
  readonly jobs = new Map<number, Job>();
  /** Machines by index. */
  readonly machines = new Map<number, Machine>();
  /** What the placements of each team use, by its name. */
  readonly teamUsage = new Map<string, Resources>();
  /** The cloud's catalogue by name. */
  readonly machineTypes = new Map<string, MachineType>();
  /** Rises with every placement added or removed: what was computed before may be stale. */
  placementChanges = 0;
  /** When the cloud confirmed a machine's termination, by its name: late lists and heartbeats may still show it. */
  readonly terminatedMachines = new Map<string, number>();
  readonly names: NameRegistry;

  constructor(names: NameRegistry) {
    this.names = names;
  }

  /** The machine of this name, which is added if it is not known; one that is known gets the address, if there is one. */
  ensureMachine(name: string, origin: MachineOrigin, createdAt: number): Machine {
    const index = this.names.machines.intern(name);
    const known = this.machines.get(index);
    if (known) {
      if (origin.address !== "") known.address = origin.address;
      return known;
    }
    const machine = new Machine(index, name, origin, createdAt);
    machine.type = this.machineTypes.get(origin.type) ?? null;
    this.machines.set(index, machine);
    return machine;
  }

  /** Takes in the cloud's catalogue; types that it no longer lists stay known. */
  setMachineTypes(types: readonly MachineType[]): void {
    for (const type of types) this.machineTypes.set(type.name, type);
    for (const machine of this.machines.values())
      machine.type = this.machineTypes.get(machine.typeName) ?? null;
  }

  /** The unfinished job of this id, if there is one. */
  jobByUid(uid: string): Job | undefined {
    const index = this.names.jobs.find(uid);
    return index === undefined ? undefined : this.jobs.get(index);
  }

  /** Adds a job that is not there yet. */
  addJob(spec: JobSpec, acceptedAt: number, version: number): Job {
    const job = new Job(this.names.jobs.intern(spec.uid), spec, acceptedAt, version);
    this.jobs.set(job.index, job);
    return job;
  }

  /** Removes a machine whose placements have been removed before. */
  removeMachine(machine: Machine): void {
    this.machines.delete(machine.index);
  }

  /** Binds a task to a machine, and counts what it uses. */
  addPlacement(placement: Placement): void {
    const { job, machine } = placement;
    job.addPlacement(placement);
    machine.placements.add(placement);
    this.#countUsage(placement, 1);
    machine.idleSince = null;
  }

  /** Removes a placement that has ended; one that was removed before is left as it is. */
  removePlacement(placement: Placement, now: number): void {
    const { job, machine } = placement;
    if (!machine.placements.delete(placement)) return;
    if (job.placements.get(placement.task) === placement) job.removePlacement(placement, now);
    this.#countUsage(placement, -1);
  }

  #countUsage({ job, machine, priority }: Placement, sign: 1 | -1): void {
    const { need, team } = job.spec;
    machine.used = add(machine.used, need, sign);
    machine.usedByPriority[priority] = add(machine.usedByPriority[priority] ?? NO_RESOURCES, need, sign);
    this.teamUsage.set(team, add(this.teamUsage.get(team) ?? NO_RESOURCES, need, sign));
    this.placementChanges++;
  }
}
