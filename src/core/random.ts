import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

export function seededRandom(seed: number): RandomGenerator {
  return xoroshiro128plus(seed);
}

export function randomInt(random: RandomGenerator, from: number, to: number): number {
  return uniformInt(random, from, to);
}

/** Draws an index with odds in proportion to the weights; null if they sum to nothing. */
export function weightedIndex(random: RandomGenerator, weights: readonly number[]): number | null {
  const sum = weights.reduce((a, b) => a + b, 0);
  if (!(sum > 0)) return null;
  let at = uniformFloat64(random) * sum;
  for (const [i, weight] of weights.entries()) {
    at -= weight;
    if (at < 0) return i;
  }
  return weights.length - 1;
}
