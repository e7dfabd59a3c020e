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
import type { TaskPlacer } from "./task-placer.js";
import { maxTasksPerZone } from "./zone-spread.js";

/** Safety factor on the image fetch time computed from the catalog's rate. */
const FETCH_TIME_FACTOR = 1.35;
/** Cost of each feasible machine in a zone when a gang's zone is chosen, in seconds of delay. */
const FREE_MACHINE_WEIGHT_S = 0.5;

/**
 * The outcome of a scheduling round for a gang: all tasks placed; waiting for preemption to free machines that
 * will have its image in time; or no feasible set of machines.
 */
export type GangOutcome = "placed" | "awaitingPreemption" | "noCapacity";

/** An assignment of a gang's tasks to machines. */
interface GangFit {
  /** One entry per task; a machine appears once for each task assigned to it. */
  readonly machines: readonly Machine[];
  /** In seconds of delay; lower is better. */
  readonly cost: number;
}

/** Schedules gangs: places all tasks of a job at once, or none. */
export class GangScheduler {
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

  /**
   * Places a gang that has no placements and whose total demand is within its team's quota limit.
   *
   * Gang images are large, and fetching one can take longer than the start objective allows. While the
   * objective can still be met, machines that will have the image in time are tried first, if necessary by
   * preemption; any other machine is a fallback.
   */
  schedule(job: Job, isWithinGuarantee: boolean): GangOutcome {
    const objectiveS = startObjectiveS(this.#ctx, job);
    const remainingS = objectiveS === null ? 0 : objectiveS - jobAgeS(this.#ctx, job);
    const isKnownNotToFit = this.#negativeFits.has(job, job.spec.tasks);
    if (remainingS > 0) {
      const hasImageInTime = (machine: Machine) =>
        this.#scoring.imageWaitS(job, machine) * FETCH_TIME_FACTOR <= remainingS;
      if (!isKnownNotToFit && this.#place(job, hasImageInTime)) return "placed";
      if (this.#awaitsMachinesWithImage(job, isWithinGuarantee, hasImageInTime)) return "awaitingPreemption";
    }
    if (!isKnownNotToFit) {
      if (this.#place(job, anyMachine)) return "placed";
      if (!this.#feasibleMachines.wasSearchJobSpecific) this.#negativeFits.add(job, job.spec.tasks);
    }
    return "noCapacity";
  }

  /**
   * Preempts on machines that will have the image in time, at most once before the gang is placed. Returns true
   * while the gang waits for these machines.
   */
  #awaitsMachinesWithImage(job: Job, isWithinGuarantee: boolean, hasImageInTime: MachineFilter): boolean {
    if (job.imageWaitUntil !== null) return job.imageWaitUntil > this.#ctx.now;
    const freed = this.#preemption.preemptFor({
      job,
      count: job.spec.tasks,
      isWithinGuarantee,
      isSuitable: hasImageInTime,
      maxSaveS: null,
    });
    if (freed === 0) return false;
    job.imageWaitUntil = job.preemptionUntil;
    return true;
  }

  /** Places all tasks on the cheapest fit of suitable machines. Returns false if there is none. */
  #place(job: Job, isSuitable: MachineFilter): boolean {
    const fit = this.#findFit(job, isSuitable);
    if (!fit || !this.#placer.hasAttempts()) return false;
    const attempt = this.#placer.nextAttempt();
    job.imageWaitUntil = null;
    for (const machine of fit.machines) {
      const task = job.nextPending();
      if (task !== null) this.#placer.place(job, task, machine, attempt);
    }
    return true;
  }

  /** Returns the cheapest fit. For a gang restricted to one zone, compares the fits of all zones. */
  #findFit(job: Job, isSuitable: MachineFilter): GangFit | null {
    const ranked = this.#scoring.rank(job, this.#feasibleMachines.findFor(job)).filter(isSuitable);
    const zones = job.spec.oneZone ? new Set(ranked.map((machine) => machine.zone)) : [null];
    let best: GangFit | null = null;
    for (const zone of zones) {
      const fit = this.#fitInZone(job, ranked, zone);
      if (fit && (best === null || fit.cost < best.cost)) best = fit;
    }
    return best;
  }

  /** Packs the gang onto the ranked machines, best first, in the given zone or, if null, in all zones. */
  #fitInZone(job: Job, ranked: readonly Machine[], zone: string | null): GangFit | null {
    const { need, tasks } = job.spec;
    const zoneLimit = maxTasksPerZone(job.spec);
    const machines: Machine[] = [];
    const tasksByZone = new Map<string, number>();
    let cost = 0;
    let feasibleInZone = 0;
    for (const machine of ranked) {
      if (zone !== null && machine.zone !== zone) continue;
      feasibleInZone++;
      const inZone = tasksByZone.get(machine.zone) ?? 0;
      const slots = Math.min(
        tasks - machines.length,
        countFitting(need, machine.freeCapacity()),
        zoneLimit - inZone,
      );
      if (slots <= 0) continue;
      tasksByZone.set(machine.zone, inZone + slots);
      cost = Math.max(cost, this.#scoring.score(job, machine));
      for (let i = 0; i < slots; i++) machines.push(machine);
    }
    if (machines.length < tasks) return null;
    // Prefer the zone with the fewest feasible machines, to leave the larger zones to larger gangs.
    if (zone !== null) cost += feasibleInZone * FREE_MACHINE_WEIGHT_S;
    return { machines, cost };
  }
}
