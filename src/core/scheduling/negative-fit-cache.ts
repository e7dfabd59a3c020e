import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import { fits, type Resources } from "../model/resources.js";

/** A demand for which no feasible machines were found: so much for each of so many tasks. */
interface FailedFit {
  readonly need: Resources;
  readonly tasks: number;
}

/**
 * Negative-result cache of a round: within it free capacity only shrinks, so a job that asks for as much as
 * one that did not fit, or for more, need not be tried.
 */
export class NegativeFitCache {
  readonly #ctx: Context;
  readonly #failedByConstraints = new Map<string, FailedFit[]>();

  constructor(ctx: Context) {
    this.#ctx = ctx;
  }

  /** Forgets all results: to be called where free capacity may have grown. */
  clear(): void {
    this.#failedByConstraints.clear();
  }

  /** Is it known that so many tasks of the job don't fit? */
  has(job: Job, tasks: number): boolean {
    // Its own failures or reservations give such a job another choice of machines than the one that failed.
    if (job.failedMachines.size > 0 || job.reservationUntil > this.#ctx.now) return false;
    const { need } = job.spec;
    return (this.#failedByConstraints.get(constraintsKey(job)) ?? []).some(
      (failed) => tasks >= failed.tasks && fits(failed.need, need),
    );
  }

  /** Records that so many tasks of the job don't fit. */
  add(job: Job, tasks: number): void {
    // Tasks placed before narrow the zones for this job alone: that says nothing of other jobs.
    if (job.placements.size > 0 && (job.spec.spread || job.spec.oneZone)) return;
    const key = constraintsKey(job);
    const failedFit = { need: job.spec.need, tasks };
    const failedFits = this.#failedByConstraints.get(key);
    if (failedFits) failedFits.push(failedFit);
    else this.#failedByConstraints.set(key, [failedFit]);
  }
}

/** All that decides on feasible machines but the demand: jobs with the same key differ in nothing else. */
function constraintsKey({ spec, effectivePriority }: Job): string {
  const { types, zone, spot, shape, oneZone, spread, checkpointS } = spec;
  return [
    types?.join() ?? "*",
    zone ?? "*",
    spot,
    effectivePriority,
    shape,
    oneZone,
    spread,
    checkpointS > 0,
  ].join();
}
