/**
 * Attempts carry the token they were made under, so that none is ever used twice and anyone can tell
 * under which token a start may still be on its way: attempt = token * 2^20 + counter (below 2^53).
 */
const ATTEMPTS_PER_TOKEN = 2 ** 20;

export function attemptNumber(token: number, counter: number): number {
  return token * ATTEMPTS_PER_TOKEN + counter;
}
export function fencingTokenOf(attempt: number): number {
  return Math.floor(attempt / ATTEMPTS_PER_TOKEN);
}
export function isValidCounter(counter: number): boolean {
  return counter < ATTEMPTS_PER_TOKEN;
}
