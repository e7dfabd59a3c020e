import type { MachineType } from "./deployment.js";
import type { Directory } from "./interner.js";
import { Job } from "./job.js";
import type { JobSpec } from "./job-spec.js";
import { Machine } from "./machine.js";
import type { Placement } from "./placement.js";
import type { Resources } from "./resources.js";
import { add, ZERO } from "./resources.js";

/** All that is placed, by job, machine and team: the one place where placements come and go. */
export class Tables {
  readonly jobs = new Map<number, Job>();
  readonly machines = new Map<number, Machine>();
  readonly teamUse = new Map<string, Resources>();
  readonly types = new Map<string, MachineType>();
  /** Counts placements that have come and gone: what was worked out before a change may be stale. */
  changes = 0;
  /** Machines whose release the cloud has confirmed, and when: late lists and reports may still show them. */
  readonly released = new Map<string, number>();
  readonly directory: Directory;

  constructor(directory: Directory) {
    this.directory = directory;
  }

  setTypes(types: readonly MachineType[]): void {
    for (const type of types) this.types.set(type.name, type);
    for (const machine of this.machines.values()) machine.type = this.types.get(machine.typeName) ?? null;
  }

  jobByUid(uid: string): Job | undefined {
    const ix = this.directory.jobs.find(uid);
    return ix === undefined ? undefined : this.jobs.get(ix);
  }

  addJob(spec: JobSpec, acceptedAt: number, version: number): Job {
    const job = new Job(this.directory.jobs.intern(spec.uid), spec, acceptedAt, version);
    this.jobs.set(job.ix, job);
    return job;
  }

  machine(
    name: string,
    at: { address: string; type: string; zone: string; spot: boolean },
    now: number,
  ): Machine {
    const ix = this.directory.machines.intern(name);
    const known = this.machines.get(ix);
    if (known) {
      if (at.address !== "") known.address = at.address;
      return known;
    }
    const machine = new Machine(ix, name, at, now);
    machine.type = this.types.get(at.type) ?? null;
    this.machines.set(ix, machine);
    return machine;
  }

  removeMachine(machine: Machine): void {
    this.machines.delete(machine.ix);
  }

  place(placement: Placement): void {
    const { job, machine } = placement;
    job.hold(placement);
    machine.placements.add(placement);
    this.#count(placement, 1);
    machine.idleSince = null;
  }

  unplace(placement: Placement, now: number): void {
    const { job, machine } = placement;
    if (!machine.placements.delete(placement)) return;
    if (job.held.get(placement.task) === placement) job.letGo(placement, now);
    this.#count(placement, -1);
  }

  #count({ job, machine, priority }: Placement, sign: 1 | -1): void {
    const { need, team } = job.spec;
    machine.used = add(machine.used, need, sign);
    machine.usedBy[priority] = add(machine.usedBy[priority] ?? ZERO, need, sign);
    this.teamUse.set(team, add(this.teamUse.get(team) ?? ZERO, need, sign));
    this.changes++;
  }
}
