/** What one of several claimants asks of a common capacity. */
export interface Claim {
  /** Relative to the others'; a claimant of weight 0 gets what the rest leaves. */
  readonly weight: number;
  /** It never gets more than this, in whole units. */
  readonly demand: number;
}

/**
 * Weighted max-min shares in whole units: no claimant gets more than its demand, nothing is left over while one asks for
 * more, and each gets at least its weighted part of the capacity, or its demand if that is less. Equals are served in the
 * order in which they come.
 *
 * The units go one by one to the claimant with the largest weight for each unit that it would then have (the divisor
 * method of D'Hondt), so that more weight never brings less. Whole parts are given out at once, only the rest one by one.
 */
export function allocate(capacity: number, claims: readonly Claim[]): number[] {
  const given = claims.map(() => 0);
  const weighted = claims.flatMap(({ weight }, i) => (weight > 0 ? [i] : []));
  const left = allocateAmong(Math.floor(capacity), claims, weighted, given);
  const unweighted = claims.map(({ demand }) => ({ weight: 1, demand }));
  const rest = claims.flatMap(({ weight }, i) => (weight > 0 ? [] : [i]));
  allocateAmong(left, unweighted, rest, given);
  return given;
}

/** Gives out a capacity among some of the claimants; returns what is left of it. */
function allocateAmong(
  capacity: number,
  claims: readonly Claim[],
  among: readonly number[],
  given: number[],
): number {
  let open = among.filter((i) => demandOf(claims, i) > 0);
  let left = Math.max(0, capacity);
  // Whole parts first: what the satisfied ones leave raises the others' parts.
  for (let before = open.length + 1; open.length < before && open.length > 0; ) {
    before = open.length;
    const fair = left + open.reduce((sum, i) => sum + (given[i] ?? 0), 0);
    const weights = open.reduce((sum, i) => sum + weightOf(claims, i), 0);
    for (const i of open) {
      const part = Math.floor((fair * weightOf(claims, i)) / weights);
      const most = Math.min(demandOf(claims, i), Math.max(given[i] ?? 0, part));
      left -= most - (given[i] ?? 0);
      given[i] = most;
    }
    open = open.filter((i) => (given[i] ?? 0) < demandOf(claims, i));
  }
  while (left > 0 && open.length > 0) {
    let next = open[0] ?? 0;
    for (const i of open) if (priority(claims, given, i) > priority(claims, given, next)) next = i;
    given[next] = (given[next] ?? 0) + 1;
    left--;
    open = open.filter((i) => (given[i] ?? 0) < demandOf(claims, i));
  }
  return left;
}

function priority(claims: readonly Claim[], given: readonly number[], i: number): number {
  return weightOf(claims, i) / ((given[i] ?? 0) + 1);
}

function weightOf(claims: readonly Claim[], i: number): number {
  return claims[i]?.weight ?? 0;
}

function demandOf(claims: readonly Claim[], i: number): number {
  return Math.floor(claims[i]?.demand ?? 0);
}
