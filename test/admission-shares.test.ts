/** Weighted shares: properties of the allocation. */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { allocate, type Claim } from "../src/admission/shares.js";

const RUNS = { numRuns: 500, seed: 20_261_202 };
const weight = fc.oneof(fc.constant(0), fc.integer({ min: 1, max: 5000 }));
const anyClaim: fc.Arbitrary<Claim> = fc.record({ weight, demand: fc.nat({ max: 300 }) });
const anyClaims = fc.array(anyClaim, { maxLength: 9 });
const anyCapacity = fc.nat({ max: 400 });

const sum = (list: readonly number[]) => list.reduce((total, count) => total + count, 0);

test("property: an allocation exceeds neither capacity nor demand, and leaves no capacity unused while demand is unmet", () => {
  fc.assert(
    fc.property(anyCapacity, anyClaims, (capacity, list) => {
      const given = allocate(capacity, list);
      assert.equal(given.length, list.length);
      for (const [i, count] of given.entries()) {
        assert.ok(Number.isInteger(count) && count >= 0);
        assert.ok(count <= (list[i]?.demand ?? 0));
      }
      assert.equal(sum(given), Math.min(capacity, sum(list.map(({ demand }) => demand))));
    }),
    RUNS,
  );
});

test("property: each claimant gets its weighted share or its whole demand, whatever the others demand", () => {
  fc.assert(
    fc.property(anyCapacity, anyClaims, (capacity, list) => {
      const weights = sum(list.map((claim) => claim.weight));
      for (const [i, count] of allocate(capacity, list).entries()) {
        const claim = list[i];
        if (!claim || claim.weight === 0) continue;
        assert.ok(count >= Math.min(claim.demand, Math.floor((capacity * claim.weight) / weights)));
      }
    }),
    RUNS,
  );
});

test("property: a claimant that raises its demand takes nothing from the weighted share of another", () => {
  fc.assert(
    fc.property(
      anyCapacity,
      anyClaims,
      fc.nat({ max: 8 }),
      fc.nat({ max: 100_000 }),
      (capacity, list, flooderIndex, flood) => {
        const flooder = list[flooderIndex];
        if (!flooder) return;
        const before = allocate(capacity, list);
        const weights = sum(list.map((claim) => claim.weight));
        const flooded = list.map((claim, i) =>
          i === flooderIndex ? { ...claim, demand: claim.demand + flood } : claim,
        );
        const after = allocate(capacity, flooded);

        assert.ok((after[flooderIndex] ?? 0) >= (before[flooderIndex] ?? 0));

        for (const [i, claim] of list.entries()) {
          if (i === flooderIndex || claim.weight === 0) continue;
          // A claimant that had more than its share had it because the others asked for less.
          const part = Math.floor((capacity * claim.weight) / weights);
          assert.ok(
            (after[i] ?? 0) >= Math.min(before[i] ?? 0, part),
            `${before[i]} to ${after[i]}, part ${part}`,
          );
        }
      },
    ),
    RUNS,
  );
});

test("property: a higher weight never lowers an allocation, and the order of claims does not change the total", () => {
  fc.assert(
    fc.property(
      anyCapacity,
      anyClaims,
      fc.nat({ max: 8 }),
      fc.integer({ min: 1, max: 5000 }),
      (capacity, list, claimIndex, addedWeight) => {
        const claim = list[claimIndex];
        if (!claim) return;
        const heavier = list.map((other, i) =>
          i === claimIndex ? { ...other, weight: other.weight + addedWeight } : other,
        );

        assert.ok(
          (allocate(capacity, heavier)[claimIndex] ?? 0) >= (allocate(capacity, list)[claimIndex] ?? 0),
        );
        assert.equal(sum(allocate(capacity, [...list].reverse())), sum(allocate(capacity, list)));
      },
    ),
    RUNS,
  );
});

test("a claimant of weight 0 gets what the others leave over, and a huge capacity is allocated in full", () => {
  const list = [
    { weight: 3, demand: 10 },
    { weight: 1, demand: 10 },
    { weight: 0, demand: 10 },
  ];
  assert.deepEqual(allocate(12, list), [9, 3, 0]);
  assert.deepEqual(allocate(23, list), [10, 10, 3]);

  const huge = [
    { weight: 7, demand: Number.MAX_SAFE_INTEGER },
    { weight: 5, demand: 1e12 },
  ];
  assert.equal(sum(allocate(1e9, huge)), 1e9);
});
