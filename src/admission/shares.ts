/** The claim of one of several claimants on a shared capacity. */
export interface Claim {
  /** Relative to the other weights. A claimant of weight 0 only gets what the others leave over. */
  readonly weight: number;
  /** Upper limit on the share, in whole units. */
  readonly demand: number;
}

/**
 * Computes weighted max-min fair shares in whole units, in the order of the claims. No claimant gets more than its
 * demand. No capacity is left over while a claimant has unmet demand. Each claimant gets at least its weighted part of
 * the capacity, rounded down, or its demand if that is less. Ties are broken by the order of the claims.
 *
 * Units are assigned one by one to the claimant with the largest quotient of its weight and the units that it would
 * then have (the D'Hondt method), so a higher weight never results in a smaller share. The weighted parts are assigned
 * at once, and only the rest one by one.
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

/** Increases the shares of the claimants with the given indices. Returns the remaining capacity. */
function allocateAmong(
  capacity: number,
  claims: readonly Claim[],
  claimants: readonly number[],
  shares: number[],
): number {
  const hasUnmetDemand = (index: number) => shareOf(shares, index) < demandOf(claims, index);
  let unmet = claimants.filter((index) => demandOf(claims, index) > 0);
  let left = Math.max(0, capacity);
  // Repeats until no further claimant is satisfied: capacity that satisfied claimants leave raises the others' parts.
  for (let previousCount = unmet.length + 1; unmet.length < previousCount && unmet.length > 0; ) {
    previousCount = unmet.length;
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

/**
 * Raises each share to its weighted part, rounded down, or to the demand if that is less. Returns the remaining
 * capacity.
 */
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

/** Returns the claimant that gets the next unit. */
function nextClaimant(
  claims: readonly Claim[],
  claimants: readonly number[],
  shares: readonly number[],
): number {
  let next = claimants[0] ?? 0;
  for (const index of claimants)
    if (quotient(claims, shares, index) > quotient(claims, shares, next)) next = index;
  return next;
}

/** Returns the D'Hondt quotient: the weight divided by the share plus one unit. */
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
