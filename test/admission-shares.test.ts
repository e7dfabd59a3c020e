/** Properties of the weighted allocation of admission capacity. */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { allocate, type Claim } from "../src/admission/shares.js";

const RUNS = { numRuns: 500, seed: 20_261_202 };
const anyWeight = fc.oneof(fc.constant(0), fc.integer({ min: 1, max: 5000 }));
const anyClaim: fc.Arbitrary<Claim> = fc.record({ weight: anyWeight, demand: fc.nat({ max: 300 }) });
const anyClaims = fc.array(anyClaim, { maxLength: 9 });
const anyCapacity = fc.nat({ max: 400 });

const sum = (counts: readonly number[]) => counts.reduce((total, count) => total + count, 0);

test("property: an allocation exceeds neither the capacity nor the demand, and leaves no capacity unused while there is unmet demand", () => {
  fc.assert(
    fc.property(anyCapacity, anyClaims, (capacity, claims) => {
      const allocation = allocate(capacity, claims);
      assert.equal(allocation.length, claims.length);
      for (const [i, count] of allocation.entries()) {
        assert.ok(Number.isInteger(count) && count >= 0);
        assert.ok(count <= (claims[i]?.demand ?? 0));
      }
      assert.equal(sum(allocation), Math.min(capacity, sum(claims.map(({ demand }) => demand))));
    }),
    RUNS,
  );
});

test("property: each claimant gets at least the smaller of its weighted share and its demand, regardless of the demand of the others", () => {
  fc.assert(
    fc.property(anyCapacity, anyClaims, (capacity, claims) => {
      const weights = sum(claims.map((claim) => claim.weight));
      for (const [i, count] of allocate(capacity, claims).entries()) {
        const claim = claims[i];
        if (!claim || claim.weight === 0) continue;
        assert.ok(count >= Math.min(claim.demand, Math.floor((capacity * claim.weight) / weights)));
      }
    }),
    RUNS,
  );
});

test("property: a higher demand never reduces the claimant's own allocation, and never reduces another's to below its weighted share", () => {
  fc.assert(
    fc.property(
      anyCapacity,
      anyClaims,
      fc.nat({ max: 8 }),
      fc.nat({ max: 100_000 }),
      (capacity, claims, increasedIndex, addedDemand) => {
        const increasedClaim = claims[increasedIndex];
        if (!increasedClaim) return;
        const before = allocate(capacity, claims);
        const weights = sum(claims.map((claim) => claim.weight));
        const withIncrease = claims.map((claim, i) =>
          i === increasedIndex ? { ...claim, demand: claim.demand + addedDemand } : claim,
        );
        const after = allocate(capacity, withIncrease);

        assert.ok((after[increasedIndex] ?? 0) >= (before[increasedIndex] ?? 0));

        for (const [i, claim] of claims.entries()) {
          if (i === increasedIndex || claim.weight === 0) continue;
          // Capacity beyond a claimant's weighted share came from unused shares of others and may be taken back.
          const weightedShare = Math.floor((capacity * claim.weight) / weights);
          assert.ok(
            (after[i] ?? 0) >= Math.min(before[i] ?? 0, weightedShare),
            `allocation changed from ${before[i]} to ${after[i]}, weighted share ${weightedShare}`,
          );
        }
      },
    ),
    RUNS,
  );
});

test("property: a higher weight never reduces an allocation, and the order of the claims does not affect the total", () => {
  fc.assert(
    fc.property(
      anyCapacity,
      anyClaims,
      fc.nat({ max: 8 }),
      fc.integer({ min: 1, max: 5000 }),
      (capacity, claims, claimIndex, addedWeight) => {
        const claim = claims[claimIndex];
        if (!claim) return;
        const withHigherWeight = claims.map((other, i) =>
          i === claimIndex ? { ...other, weight: other.weight + addedWeight } : other,
        );

        assert.ok(
          (allocate(capacity, withHigherWeight)[claimIndex] ?? 0) >=
            (allocate(capacity, claims)[claimIndex] ?? 0),
        );
        assert.equal(sum(allocate(capacity, [...claims].reverse())), sum(allocate(capacity, claims)));
      },
    ),
    RUNS,
  );
});

test("a claimant with weight 0 gets only capacity that the others leave unused, and a very large capacity is allocated in full", () => {
  const claims = [
    { weight: 3, demand: 10 },
    { weight: 1, demand: 10 },
    { weight: 0, demand: 10 },
  ];
  assert.deepEqual(allocate(12, claims), [9, 3, 0]);
  assert.deepEqual(allocate(23, claims), [10, 10, 3]);

  const largeClaims = [
    { weight: 7, demand: Number.MAX_SAFE_INTEGER },
    { weight: 5, demand: 1e12 },
  ];
  assert.equal(sum(allocate(1e9, largeClaims)), 1e9);
});
