/**
 * Attempt numbers contain the fencing token under which they were created: token * 2^20 + counter, below 2^53. They are
 * therefore never reused, and show under which token a start may still be in flight.
 */
const ATTEMPTS_PER_TOKEN = 2 ** 20;

/** Combines a fencing token and a counter that `isValidCounter` accepts. */
export function attemptNumber(fencingToken: number, counter: number): number {
  return fencingToken * ATTEMPTS_PER_TOKEN + counter;
}

/** Returns the fencing token under which an attempt was created. */
export function fencingTokenOf(attempt: number): number {
  return Math.floor(attempt / ATTEMPTS_PER_TOKEN);
}

/** False once the attempt numbers of a fencing token are exhausted. */
export function isValidCounter(counter: number): boolean {
  return counter < ATTEMPTS_PER_TOKEN;
}
