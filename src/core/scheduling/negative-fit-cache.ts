import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import type { Resources } from "../model/resources.js";
import { fits } from "../model/resources.js";

/** Demands that found no place in this call: what asks for as much or more need not look again. */
export class NegativeFitCache {
  readonly #ctx: Context;
  readonly #byKind = new Map<string, { need: Resources; tasks: number }[]>();

  constructor(ctx: Context) {
    this.#ctx = ctx;
  }

  clear(): void {
    this.#byKind.clear();
  }

  /** The kind of place a job asks for: jobs of one kind differ only in how much they need of it. */
  #kindOf({ spec, effectivePriority: priority }: Job): string {
    const { types, zone, spot, shape, oneZone, spread, checkpointS } = spec;
    return [
      types?.join() ?? "*",
      zone ?? "*",
      spot,
      priority,
      shape,
      oneZone,
      spread,
      checkpointS > 0,
    ].join();
  }

  has(job: Job, tasks: number): boolean {
    if (job.failedMachines.size > 0 || job.reservationUntil > this.#ctx.now) return false;
    const { need } = job.spec;
    return (this.#byKind.get(this.#kindOf(job)) ?? []).some((v) => tasks >= v.tasks && fits(v.need, need));
  }

  add(job: Job, tasks: number): void {
    // Fellow tasks narrow this job's choice alone: that tells nothing of others.
    if (job.placements.size > 0 && (job.spec.spread || job.spec.oneZone)) return;
    const kind = this.#kindOf(job);
    const entry = { need: job.spec.need, tasks };
    const known = this.#byKind.get(kind);
    if (known) known.push(entry);
    else this.#byKind.set(kind, [entry]);
  }
}
