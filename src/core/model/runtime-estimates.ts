import type { JobSpec } from "./job-spec.js";

/** The least weight of a new observation in the mean, a pure number; the first few of a class weigh more. */
const MIN_OBSERVATION_WEIGHT = 0.05;
/** The largest factor between run time and estimate that counts, so that one odd task can't skew a class. */
const MAX_RATIO = 4;

interface ClassCorrection {
  /** The moving mean of the natural logarithm of actual over estimated run time. */
  meanLogRatio: number;
  observations: number;
}

/**
 * Corrects the run time estimates of job owners, class by class. They are often wrong by half, and on some
 * days mostly in one direction; the mean of the logarithms treats a factor too much and the same factor too
 * little alike.
 */
export class RuntimeEstimates {
  readonly #correctionByClass = new Map<string, ClassCorrection>();

  /** Takes in the run time of a task that is done, in seconds. */
  observe({ jobClass, estimateS }: JobSpec, actualS: number): void {
    if (estimateS <= 0 || actualS <= 0) return;
    const ratio = Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, actualS / estimateS));
    const correction = this.#correctionByClass.get(jobClass) ?? { meanLogRatio: 0, observations: 0 };
    correction.observations++;
    correction.meanLogRatio +=
      Math.max(MIN_OBSERVATION_WEIGHT, 1 / (correction.observations + 1)) *
      (Math.log(ratio) - correction.meanLogRatio);
    this.#correctionByClass.set(jobClass, correction);
  }

  /** The corrected estimate for the run time of one task of the job, in seconds. */
  estimateS({ jobClass, estimateS }: JobSpec): number {
    return estimateS * Math.exp(this.#correctionByClass.get(jobClass)?.meanLogRatio ?? 0);
  }
}
