import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import type { Machine } from "../model/machine.js";
import { countFitting } from "../model/resources.js";
import { anyMachine, type FeasibleMachines, type MachineFilter } from "./feasible-machines.js";
import type { MachineScoring } from "./machine-scoring.js";
import type { NegativeFitCache } from "./negative-fit-cache.js";
import { jobAgeS, startObjectiveS } from "./objectives.js";
import type { PlacementDependencies } from "./placement-dependencies.js";
import type { Preemption } from "./preemption.js";
import { mayPreempt } from "./preemption-policy.js";
import type { TaskPlacer } from "./task-placer.js";
import { maxTasksPerZone } from "./zone-spread.js";

/** A machine that must fetch a service's image gets at most one in this many of its replicas at a time. */
const FETCHING_MACHINE_DIVISOR = 4;

/** Places tasks of arrays and replicas of services individually, as many as fit. */
export class TaskScheduler {
  readonly #ctx: Context;
  readonly #feasibleMachines: FeasibleMachines;
  readonly #scoring: MachineScoring;
  readonly #negativeFits: NegativeFitCache;
  readonly #preemption: Preemption;
  readonly #placer: TaskPlacer;

  constructor(dependencies: PlacementDependencies) {
    this.#ctx = dependencies.ctx;
    this.#feasibleMachines = dependencies.feasibleMachines;
    this.#scoring = dependencies.scoring;
    this.#negativeFits = dependencies.negativeFits;
    this.#preemption = dependencies.preemption;
    this.#placer = dependencies.placer;
  }

  /** Places up to `count` tasks. Returns the number placed, plus those for which preemption is freeing capacity. */
  schedule(job: Job, count: number): number {
    const objectiveS = startObjectiveS(this.#ctx, job);
    if (objectiveS === null) return this.#placeOnAny(job, count);
    const remainingS = objectiveS - jobAgeS(this.#ctx, job);
    // The start objective can be met only on machines with the image in time, which justifies preemption.
    const hasImageInTime = (machine: Machine) => this.#scoring.imageWaitS(job, machine) <= objectiveS;
    let placed = this.#negativeFits.has(job, 1) ? 0 : this.#place(job, count, hasImageInTime);
    if (placed < count && mayPreempt(this.#ctx, job)) {
      placed += this.#preemption.preemptFor({
        job,
        count: count - placed,
        isWithinGuarantee: false,
        isSuitable: hasImageInTime,
        maxSaveS: Math.max(0, remainingS),
      });
    }
    if (placed < count) placed += this.#placeOnAny(job, count - placed);
    return placed;
  }

  #placeOnAny(job: Job, count: number): number {
    if (this.#negativeFits.has(job, 1)) return 0;
    const placed = this.#place(job, count, anyMachine);
    if (placed < count && !this.#feasibleMachines.wasSearchJobSpecific) this.#negativeFits.add(job, 1);
    return placed;
  }

  /** Packs up to `count` tasks onto the suitable machines, best first. Returns the number of tasks placed. */
  #place(job: Job, count: number, isSuitable: MachineFilter): number {
    const machines = this.#scoring.rank(job, this.#feasibleMachines.findFor(job)).filter(isSuitable);
    const zone = job.spec.oneZone ? zoneOf(job, machines) : null;
    let placed = 0;
    for (const machine of machines) {
      if (placed >= count) break;
      if (zone !== null && machine.zone !== zone) continue;
      // Placements made since the search may have used up the GPU headroom.
      if (placed > 0 && this.#feasibleMachines.wouldWasteGpus(job, machine)) continue;
      for (let slots = slotsOn(machine, job, count - placed); slots > 0; slots--) {
        const task = job.nextPending();
        if (task === null || !this.#placer.hasAttempts()) return placed;
        this.#placer.place(job, task, machine);
        placed++;
      }
    }
    return placed;
  }
}

/** Returns the zone for a job restricted to one: that of its placements, or of the best machine if it has none. */
function zoneOf(job: Job, ranked: readonly Machine[]): string | null {
  for (const placement of job.placements.values()) return placement.machine.zone;
  return ranked[0]?.zone ?? null;
}

/** Returns how many of `count` tasks to place on this machine. */
function slotsOn(machine: Machine, job: Job, count: number): number {
  const { need, tasks, spread, shape, image } = job.spec;
  let slots = Math.min(count, countFitting(need, machine.freeCapacity()));
  if (spread) slots = Math.min(slots, maxTasksPerZone(job.spec) - job.countInZone(machine.zone));
  if (shape === "service" && !machine.images.has(image)) {
    // Spread the fetch over several machines, so that the replicas do not all depend on a single one.
    slots = Math.min(slots, Math.ceil(tasks / FETCHING_MACHINE_DIVISOR));
  }
  return slots;
}
