import type { Job } from "../model/job.js";
import { countFitting, fits, type Resources } from "../model/resources.js";
import { type Offer, offerKeyOf, offerSuits } from "./offer.js";

/** The free capacity of one machine, reduced as tasks are assigned to it. */
type Capacity = { -readonly [resource in keyof Resources]: Resources[resource] };

/** Machines of one offer that are booting, requested or planned. */
interface IncomingMachines {
  readonly offer: Offer;
  readonly capacities: Capacity[];
}

/** Machines of one offer to create. */
export interface PlannedMachines {
  readonly offer: Offer;
  count: number;
}

/**
 * The plan of one scale-out: the machines that are incoming or will be created, and the capacity left on them after
 * blocked tasks are assigned, so that no machine is created for a task that already fits on another one.
 */
export class ScaleOutPlan {
  readonly #incoming = new Map<string, IncomingMachines>();
  readonly #planned = new Map<string, PlannedMachines>();
  /** The number of machines, including those requested and planned. */
  machineCount = 0;

  /** Adds empty machines that are booting or requested. The caller must update `machineCount`. */
  addIncoming(offer: Offer, count: number): void {
    const capacities = this.#capacitiesOf(offer);
    for (let i = 0; i < count; i++) capacities.push({ ...offer.type.size });
  }

  /** Plans new machines for tasks of a job, assigns the tasks to them and updates `machineCount`. */
  addPlanned(offer: Offer, count: number, job: Job, tasks: number): void {
    const key = offerKeyOf(offer);
    const planned = this.#planned.get(key);
    if (planned) planned.count += count;
    else this.#planned.set(key, { offer, count });
    this.machineCount += count;
    const capacities = this.#capacitiesOf(offer);
    let tasksLeft = tasks;
    for (let i = 0; i < count; i++) {
      const capacity = { ...offer.type.size };
      tasksLeft = packTasks(job.spec.need, tasksLeft, capacity);
      capacities.push(capacity);
    }
  }

  /** Assigns a job's tasks to incoming machines, in the given zone or, if null, in any. Returns the number left. */
  assign(job: Job, tasks: number, zone: string | null): number {
    let tasksLeft = tasks;
    for (const { offer, capacities } of this.#incoming.values()) {
      if (!offerSuits(job, offer) || (zone !== null && offer.zone !== zone)) continue;
      for (const capacity of capacities) tasksLeft = packTasks(job.spec.need, tasksLeft, capacity);
    }
    return tasksLeft;
  }

  /** Adds, per zone, the number of the job's tasks that fit on incoming machines. */
  addFreeSlots(job: Job, slotsByZone: Map<string, number>): void {
    for (const { offer, capacities } of this.#incoming.values()) {
      if (!offerSuits(job, offer)) continue;
      for (const capacity of capacities)
        slotsByZone.set(
          offer.zone,
          (slotsByZone.get(offer.zone) ?? 0) + countFitting(job.spec.need, capacity),
        );
    }
  }

  /** Returns the machines to create. */
  planned(): IterableIterator<PlannedMachines> {
    return this.#planned.values();
  }

  #capacitiesOf(offer: Offer): Capacity[] {
    const key = offerKeyOf(offer);
    let incoming = this.#incoming.get(key);
    if (!incoming) {
      incoming = { offer, capacities: [] };
      this.#incoming.set(key, incoming);
    }
    return incoming.capacities;
  }
}

/** Packs as many tasks as fit into the capacity. Returns the number left over. */
function packTasks(need: Resources, tasks: number, capacity: Capacity): number {
  let tasksLeft = tasks;
  while (tasksLeft > 0 && fits(need, capacity)) {
    capacity.cpu -= need.cpu;
    capacity.gpu -= need.gpu;
    capacity.ram -= need.ram;
    tasksLeft--;
  }
  return tasksLeft;
}
