import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { allocate, type Claim } from "../src/admission/shares.js";

const RUNS = { numRuns: 500, seed: 20_261_202 };
const weight = fc.oneof(fc.constant(0), fc.integer({ min: 1, max: 5000 }));
const claim: fc.Arbitrary<Claim> = fc.record({ weight, demand: fc.nat({ max: 300 }) });
const claims = fc.array(claim, { maxLength: 9 });
const capacity = fc.nat({ max: 400 });

const sum = (list: readonly number[]) => list.reduce((total, n) => total + n, 0);

test("property: never above the capacity or a demand, and no room unused while somebody asks", () => {
  fc.assert(
    fc.property(capacity, claims, (room, list) => {
      const given = allocate(room, list);
      assert.equal(given.length, list.length);
      for (const [i, count] of given.entries()) {
        assert.ok(Number.isInteger(count) && count >= 0);
        assert.ok(count <= (list[i]?.demand ?? 0));
      }
      assert.equal(sum(given), Math.min(room, sum(list.map(({ demand }) => demand))));
    }),
    RUNS,
  );
});

test("property: each has its weighted part, or all it asks for, whatever the others ask", () => {
  fc.assert(
    fc.property(capacity, claims, (room, list) => {
      const weights = sum(list.map((one) => one.weight));
      for (const [i, count] of allocate(room, list).entries()) {
        const one = list[i];
        if (!one || one.weight === 0) continue;
        assert.ok(count >= Math.min(one.demand, Math.floor((room * one.weight) / weights)));
      }
    }),
    RUNS,
  );
});

test("property: what a flooder gains by asking for more it takes from nobody's own part", () => {
  fc.assert(
    fc.property(capacity, claims, fc.nat({ max: 8 }), fc.nat({ max: 100_000 }), (room, list, at, flood) => {
      const flooder = list[at];
      if (!flooder) return;
      const before = allocate(room, list);
      const weights = sum(list.map((one) => one.weight));
      const flooded = list.map((one, i) => (i === at ? { ...one, demand: one.demand + flood } : one));
      const after = allocate(room, flooded);
      assert.ok((after[at] ?? 0) >= (before[at] ?? 0));
      for (const [i, one] of list.entries()) {
        if (i === at || one.weight === 0) continue;
        // Who had more than its part had it because the others did not ask.
        const part = Math.floor((room * one.weight) / weights);
        assert.ok(
          (after[i] ?? 0) >= Math.min(before[i] ?? 0, part),
          `${before[i]} to ${after[i]}, part ${part}`,
        );
      }
    }),
    RUNS,
  );
});

test("property: more weight never brings less, and the same claims in another order bring the same sum", () => {
  fc.assert(
    fc.property(
      capacity,
      claims,
      fc.nat({ max: 8 }),
      fc.integer({ min: 1, max: 5000 }),
      (room, list, at, more) => {
        const one = list[at];
        if (!one) return;
        const heavier = list.map((other, i) =>
          i === at ? { ...other, weight: other.weight + more } : other,
        );
        assert.ok((allocate(room, heavier)[at] ?? 0) >= (allocate(room, list)[at] ?? 0));
        assert.equal(sum(allocate(room, [...list].reverse())), sum(allocate(room, list)));
      },
    ),
    RUNS,
  );
});

test("a claimant of weight 0 has what the others leave; large capacities take no more steps than small ones", () => {
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
