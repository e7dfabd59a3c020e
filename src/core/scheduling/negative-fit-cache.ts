import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import { fits, type Resources } from "../model/resources.js";

/** A demand for which no feasible machines were found: the need per task and the number of tasks. */
interface FailedFit {
  readonly need: Resources;
  readonly tasks: number;
}

/**
 * Caches the demands that did not fit in this round. Free capacity only shrinks within a round, so a job that
 * needs at least as much as one that did not fit need not be tried.
 */
export class NegativeFitCache {
  readonly #ctx: Context;
  readonly #failedByConstraints = new Map<string, FailedFit[]>();

  constructor(ctx: Context) {
    this.#ctx = ctx;
  }

  /** Removes all results. Must be called whenever free capacity may have grown. */
  clear(): void {
    this.#failedByConstraints.clear();
  }

  /** True if this number of the job's tasks is known not to fit. */
  has(job: Job, tasks: number): boolean {
    // A job with failures or reservations has a different set of feasible machines than the job that failed to fit.
    if (job.failedOn.size > 0 || job.reservationUntil > this.#ctx.now) return false;
    const { need } = job.spec;
    return (this.#failedByConstraints.get(constraintsKey(job)) ?? []).some(
      (failed) => tasks >= failed.tasks && fits(failed.need, need),
    );
  }

  /** Records that this number of the job's tasks does not fit. */
  add(job: Job, tasks: number): void {
    // Earlier placements restrict the zones of this job only, so the result does not apply to other jobs.
    if (job.placements.size > 0 && (job.spec.spread || job.spec.oneZone)) return;
    const key = constraintsKey(job);
    const failedFit = { need: job.spec.need, tasks };
    const failedFits = this.#failedByConstraints.get(key);
    if (failedFits) failedFits.push(failedFit);
    else this.#failedByConstraints.set(key, [failedFit]);
  }
}

/** Identifies everything except the demand that determines a job's feasible machines. */
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
