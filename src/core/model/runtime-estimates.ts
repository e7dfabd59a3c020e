import type { JobSpec } from "./job-spec.js";

/** Minimum weight of a new observation in the mean (dimensionless); the first few of a class have a higher weight. */
const MIN_OBSERVATION_WEIGHT = 0.05;
/** Ratios of run time to estimate are clamped to this factor, so that one outlier cannot skew a class. */
const MAX_RATIO = 4;

interface ClassCorrection {
  /** Moving mean of the natural logarithm of the ratio of actual to estimated run time. */
  meanLogRatio: number;
  observations: number;
}

/**
 * Corrects users' run time estimates per job class. The estimates are often wrong by half, on some days mostly in one
 * direction. The mean of logarithms gives equal weight to overestimates and underestimates by the same factor.
 */
export class RuntimeEstimates {
  readonly #correctionByClass = new Map<string, ClassCorrection>();

  /** Records the run time of a completed task, in seconds. */
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

  /** Returns the corrected estimate of the run time of one task of the job, in seconds. */
  estimateS({ jobClass, estimateS }: JobSpec): number {
    return estimateS * Math.exp(this.#correctionByClass.get(jobClass)?.meanLogRatio ?? 0);
  }
}
