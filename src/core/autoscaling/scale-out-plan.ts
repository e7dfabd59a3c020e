import type { Job } from "../model/job.js";
import { countFitting, fits, type Resources } from "../model/resources.js";
import { type Offer, offerKeyOf, offerSuits } from "./offer.js";

/** The free capacity of one machine, as tasks are booked on it. */
type Capacity = { -readonly [resource in keyof Resources]: Resources[resource] };

/** Machines of one offer that are booting, requested or planned. */
interface IncomingMachines {
  readonly offer: Offer;
  readonly capacities: Capacity[];
}

/** Machines of one offer that are to be created. */
export interface PlannedMachines {
  readonly offer: Offer;
  count: number;
}

/**
 * The plan of one scale-out: the machines that are coming up or will be created, with the blocked tasks booked on them,
 * so that no machine is created for a task that already has a place.
 */
export class ScaleOutPlan {
  readonly #incoming = new Map<string, IncomingMachines>();
  readonly #planned = new Map<string, PlannedMachines>();
  /** The machines there are, those requested and planned included. */
  machineCount = 0;

  /** Adds empty machines that are booting or requested. They have to be counted by the caller. */
  addIncoming(offer: Offer, count: number): void {
    const capacities = this.#capacitiesOf(offer);
    for (let i = 0; i < count; i++) capacities.push({ ...offer.type.size });
  }

  /** Plans machines for tasks of a job, books the tasks on them and counts them. */
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
      tasksLeft = bookTasks(job.spec.need, tasksLeft, capacity);
      capacities.push(capacity);
    }
  }

  /** Books tasks of a job on the machines coming up, in one zone unless it is null; returns how many found no place. */
  book(job: Job, tasks: number, zone: string | null): number {
    let tasksLeft = tasks;
    for (const { offer, capacities } of this.#incoming.values()) {
      if (!offerSuits(job, offer) || (zone !== null && offer.zone !== zone)) continue;
      for (const capacity of capacities) tasksLeft = bookTasks(job.spec.need, tasksLeft, capacity);
    }
    return tasksLeft;
  }

  /** Adds, zone by zone, how many tasks of a job the machines coming up have free capacity for. */
  addFreePlaces(job: Job, placesByZone: Map<string, number>): void {
    for (const { offer, capacities } of this.#incoming.values()) {
      if (!offerSuits(job, offer)) continue;
      for (const capacity of capacities)
        placesByZone.set(
          offer.zone,
          (placesByZone.get(offer.zone) ?? 0) + countFitting(job.spec.need, capacity),
        );
    }
  }

  /** The machines to create. */
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

/** Takes as many of the tasks as fit from the capacity; returns how many are left. */
function bookTasks(need: Resources, tasks: number, capacity: Capacity): number {
  let tasksLeft = tasks;
  while (tasksLeft > 0 && fits(need, capacity)) {
    capacity.cpu -= need.cpu;
    capacity.gpu -= need.gpu;
    capacity.ram -= need.ram;
    tasksLeft--;
  }
  return tasksLeft;
}
