import type { JobSpec } from "../model/job-spec.js";

/** What a new observation weighs, at least; the first few weigh more. */
const WEIGHT = 0.05;
/** One odd task, or a class that was never what it said, must not turn decisions upside down. */
const MOST = 4;

/**
 * Owners' estimates are often wrong by half, and on some days mostly in one direction: they are corrected by class,
 * by the mean of the logarithm of what tasks took against what was said.
 */
export class RuntimeEstimates {
  readonly #byClass = new Map<string, { log: number; seen: number }>();

  observe({ jobClass, estimateS }: JobSpec, tookS: number): void {
    if (estimateS <= 0 || tookS <= 0) return;
    const ratio = Math.min(MOST, Math.max(1 / MOST, tookS / estimateS));
    const entry = this.#byClass.get(jobClass) ?? { log: 0, seen: 0 };
    entry.seen++;
    entry.log += Math.max(WEIGHT, 1 / (entry.seen + 1)) * (Math.log(ratio) - entry.log);
    this.#byClass.set(jobClass, entry);
  }

  estimateS({ jobClass, estimateS }: JobSpec): number {
    return estimateS * Math.exp(this.#byClass.get(jobClass)?.log ?? 0);
  }
}
