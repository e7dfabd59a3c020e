import type { MachineType } from "./deployment.js";
import type { NameRegistry } from "./interner.js";
import { Job } from "./job.js";
import type { JobSpec } from "./job-spec.js";
import { Machine, type MachineMode, type MachineOrigin } from "./machine.js";
import type { Placement } from "./placement.js";
import type { Resources } from "./resources.js";
import { add, NO_RESOURCES } from "./resources.js";

/**
 * The cluster state: unfinished jobs, machines and the placements of tasks on machines. Placements are added and
 * removed only here, so that job, machine and quota usage are always consistent (I3).
 */
export class ClusterState {
  /** Unfinished jobs by index. */
  readonly jobs = new Map<number, Job>();
  /** Machines by index. */
  readonly machines = new Map<number, Machine>();
  /** Resources used by the placements of each team, by team name. */
  readonly teamUsage = new Map<string, Resources>();
  /** The machine types of the cloud's catalog by name. */
  readonly machineTypes = new Map<string, MachineType>();
  /** Incremented with every placement added or removed: results computed earlier may be stale. */
  placementChanges = 0;
  /** When the cloud confirmed a termination, by machine name: late lists and heartbeats may still show the machine. */
  readonly terminatedMachines = new Map<string, number>();
  readonly names: NameRegistry;
  /** The modes set by operators, by machine name; machines that are not listed are open. */
  #operatorModes: Readonly<Record<string, MachineMode>> = {};

  constructor(names: NameRegistry) {
    this.names = names;
  }

  /** Returns the machine of this name, adding it if absent. An existing one gets the new address, if any. */
  ensureMachine(name: string, origin: MachineOrigin, createdAt: number): Machine {
    const index = this.names.machines.intern(name);
    const known = this.machines.get(index);
    if (known) {
      if (origin.address !== "") known.address = origin.address;
      return known;
    }
    const machine = new Machine(index, name, origin, createdAt);
    machine.type = this.machineTypes.get(origin.type) ?? null;
    machine.mode = this.#operatorModes[name] ?? "open";
    this.machines.set(index, machine);
    return machine;
  }

  /** Updates the machine types from the cloud's catalog. Types that it no longer lists are kept. */
  setMachineTypes(types: readonly MachineType[]): void {
    for (const type of types) this.machineTypes.set(type.name, type);
    for (const machine of this.machines.values())
      machine.type = this.machineTypes.get(machine.typeName) ?? null;
  }

  /** Sets the modes of all machines, also of those added later: an idle machine is in no record of earlier leaders. */
  setOperatorModes(modes: Readonly<Record<string, MachineMode>>): void {
    this.#operatorModes = modes;
    for (const machine of this.machines.values()) machine.mode = modes[machine.name] ?? "open";
  }

  /** Returns the unfinished job with this id, or undefined. */
  jobByUid(uid: string): Job | undefined {
    const index = this.names.jobs.find(uid);
    return index === undefined ? undefined : this.jobs.get(index);
  }

  /** Adds a job, which must not be present yet. */
  addJob(spec: JobSpec, acceptedAt: number, version: number): Job {
    const job = new Job(this.names.jobs.intern(spec.uid), spec, acceptedAt, version);
    this.jobs.set(job.index, job);
    return job;
  }

  /** Removes a machine, whose placements must have been removed first. */
  removeMachine(machine: Machine): void {
    this.machines.delete(machine.index);
  }

  /** Binds a task to a machine and adds its resources to the usage. */
  addPlacement(placement: Placement): void {
    const { job, machine } = placement;
    job.addPlacement(placement);
    machine.placements.add(placement);
    this.#countUsage(placement, 1);
    machine.idleSince = null;
  }

  /** Removes a placement that has ended. Has no effect if it was already removed. */
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
