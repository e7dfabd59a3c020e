/**
 * Attempt numbers carry the fencing token that they were made under: token * 2^20 + counter, below 2^53. So none is
 * ever used twice, and anyone can tell under which token a start may still be on its way.
 */
const ATTEMPTS_PER_TOKEN = 2 ** 20;

/** The attempt number of a fencing token and a counter that `isValidCounter` accepts. */
export function attemptNumber(fencingToken: number, counter: number): number {
  return fencingToken * ATTEMPTS_PER_TOKEN + counter;
}

/** The fencing token that an attempt was made under. */
export function fencingTokenOf(attempt: number): number {
  return Math.floor(attempt / ATTEMPTS_PER_TOKEN);
}

/** False once a fencing token's attempt numbers are used up. */
export function isValidCounter(counter: number): boolean {
  return counter < ATTEMPTS_PER_TOKEN;
}
