/** What one of several claimants asks of a common capacity. */
export interface Claim {
  /** Relative to the others'; a claimant of weight 0 gets what the others leave. */
  readonly weight: number;
  /** The most that it gets, in whole units. */
  readonly demand: number;
}

/**
 * Weighted max-min fair shares in whole units, in the order of the claims. No claimant gets more than its demand; nothing
 * is left over while one has unmet demand; and each gets at least its weighted part of the capacity, rounded down, or its
 * demand if that is less. Equals are served in the order of the claims.
 *
 * Units go one by one to the claimant with the largest weight for each unit that it would then have (the divisor method
 * of D'Hondt), so that more weight never brings less. Weighted parts are given at once and only the rest one by one.
 */
export function allocate(capacity: number, claims: readonly Claim[]): number[] {
  const shares = claims.map(() => 0);
  const weighted = claims.flatMap(({ weight }, index) => (weight > 0 ? [index] : []));
  const left = allocateAmong(Math.floor(capacity), claims, weighted, shares);
  const equalClaims = claims.map(({ demand }) => ({ weight: 1, demand }));
  const unweighted = claims.flatMap(({ weight }, index) => (weight > 0 ? [] : [index]));
  allocateAmong(left, equalClaims, unweighted, shares);
  return shares;
}

/** Adds to the shares of the claimants with the given indices; returns what is left of the capacity. */
function allocateAmong(
  capacity: number,
  claims: readonly Claim[],
  claimants: readonly number[],
  shares: number[],
): number {
  const hasUnmetDemand = (index: number) => shareOf(shares, index) < demandOf(claims, index);
  let unmet = claimants.filter((index) => demandOf(claims, index) > 0);
  let left = Math.max(0, capacity);
  // Until no claimant is satisfied: what satisfied ones leave raises the weighted parts of the others.
  for (let before = unmet.length + 1; unmet.length < before && unmet.length > 0; ) {
    before = unmet.length;
    left = allocateWeightedParts(left, claims, unmet, shares);
    unmet = unmet.filter(hasUnmetDemand);
  }
  while (left > 0 && unmet.length > 0) {
    const next = nextClaimant(claims, unmet, shares);
    shares[next] = shareOf(shares, next) + 1;
    left--;
    unmet = unmet.filter(hasUnmetDemand);
  }
  return left;
}

/** Raises each share to its weighted part, rounded down, or to the demand if that is less; returns what is left. */
function allocateWeightedParts(
  capacity: number,
  claims: readonly Claim[],
  claimants: readonly number[],
  shares: number[],
): number {
  const total = capacity + claimants.reduce((sum, index) => sum + shareOf(shares, index), 0);
  const totalWeight = claimants.reduce((sum, index) => sum + weightOf(claims, index), 0);
  let left = capacity;
  for (const index of claimants) {
    const part = Math.floor((total * weightOf(claims, index)) / totalWeight);
    const share = Math.min(demandOf(claims, index), Math.max(shareOf(shares, index), part));
    left -= share - shareOf(shares, index);
    shares[index] = share;
  }
  return left;
}

/** The claimant that the next unit goes to. */
function nextClaimant(
  claims: readonly Claim[],
  claimants: readonly number[],
  shares: readonly number[],
): number {
  let first = claimants[0] ?? 0;
  for (const index of claimants)
    if (quotient(claims, shares, index) > quotient(claims, shares, first)) first = index;
  return first;
}

/** D'Hondt's quotient: the weight for each unit, with one unit more. */
function quotient(claims: readonly Claim[], shares: readonly number[], index: number): number {
  return weightOf(claims, index) / (shareOf(shares, index) + 1);
}

function shareOf(shares: readonly number[], index: number): number {
  return shares[index] ?? 0;
}

function weightOf(claims: readonly Claim[], index: number): number {
  return claims[index]?.weight ?? 0;
}

function demandOf(claims: readonly Claim[], index: number): number {
  return Math.floor(claims[index]?.demand ?? 0);
}
