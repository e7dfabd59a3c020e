import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Creates the generator of all random numbers in the core. The same seed produces the same sequence. */
export function seededRandom(seed: number): RandomGenerator {
  return xoroshiro128plus(seed);
}

/** Draws an integer between `from` and `to`, inclusive. */
export function randomInt(random: RandomGenerator, from: number, to: number): number {
  return uniformInt(random, from, to);
}

/** Draws an index with probability proportional to its weight. Returns null without a draw if the weights sum to 0. */
export function weightedIndex(random: RandomGenerator, weights: readonly number[]): number | null {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  if (!(total > 0)) return null;
  let remaining = uniformFloat64(random) * total;
  for (const [index, weight] of weights.entries()) {
    remaining -= weight;
    if (remaining < 0) return index;
  }
  // Floating-point rounding may leave a small remainder.
  return weights.length - 1;
}
