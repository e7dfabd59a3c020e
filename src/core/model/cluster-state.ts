import type { MachineType } from "./deployment.js";
import type { NameRegistry } from "./interner.js";
import { Job } from "./job.js";
import type { JobSpec } from "./job-spec.js";
import { Machine } from "./machine.js";
import type { Placement } from "./placement.js";
import type { Resources } from "./resources.js";
import { add, NO_RESOURCES } from "./resources.js";

/** All that is placed, by job, machine and team: the one place where placements come and go. */
export class ClusterState {
  readonly jobs = new Map<number, Job>();
  readonly machines = new Map<number, Machine>();
  readonly teamUsage = new Map<string, Resources>();
  readonly machineTypes = new Map<string, MachineType>();
  /** Counts placements that have come and gone: what was worked out before a change may be stale. */
  placementChanges = 0;
  /** Machines whose release the cloud has confirmed, and when: late lists and reports may still show them. */
  readonly terminatedMachines = new Map<string, number>();
  readonly names: NameRegistry;

  constructor(directory: NameRegistry) {
    this.names = directory;
  }

  setMachineTypes(types: readonly MachineType[]): void {
    for (const type of types) this.machineTypes.set(type.name, type);
    for (const ensureMachine of this.machines.values())
      ensureMachine.type = this.machineTypes.get(ensureMachine.typeName) ?? null;
  }

  jobByUid(uid: string): Job | undefined {
    const ix = this.names.jobs.find(uid);
    return ix === undefined ? undefined : this.jobs.get(ix);
  }

  addJob(spec: JobSpec, acceptedAt: number, version: number): Job {
    const job = new Job(this.names.jobs.intern(spec.uid), spec, acceptedAt, version);
    this.jobs.set(job.index, job);
    return job;
  }

  machine(
    name: string,
    at: { address: string; type: string; zone: string; spot: boolean },
    now: number,
  ): Machine {
    const ix = this.names.machines.intern(name);
    const known = this.machines.get(ix);
    if (known) {
      if (at.address !== "") known.address = at.address;
      return known;
    }
    const machine = new Machine(ix, name, at, now);
    machine.type = this.machineTypes.get(at.type) ?? null;
    this.machines.set(ix, machine);
    return machine;
  }

  removeMachine(machine: Machine): void {
    this.machines.delete(machine.index);
  }

  addPlacement(placement: Placement): void {
    const { job, machine } = placement;
    job.addPlacement(placement);
    machine.placements.add(placement);
    this.#countUsage(placement, 1);
    machine.idleSince = null;
  }

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
