/** Negative fit cache: a request that found no feasible machines is not retried until something changes. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { Job } from "../src/core/model/job.js";
import { Machine } from "../src/core/model/machine.js";
import { NegativeFitCache } from "../src/core/scheduling/negative-fit-cache.js";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";

test("a gang at least as large as one without feasible machines is skipped, unless it has a reservation or failed machines of its own", () => {
  const { ctx } = new ControllerHarness().controller;
  const cache = new NegativeFitCache(ctx);
  const gangOf = (uid: string, cpu: number, tasks = 1) =>
    new Job(0, jobSpec(uid, { shape: "gang", tasks, need: { cpu, gpu: 0, ram: 0 } }), 0, 1);
  cache.add(gangOf("j-1", 2000, 2), 2);

  assert.equal(cache.has(gangOf("j-2", 3000, 2), 2), true);
  assert.equal(cache.has(gangOf("j-3", 1000, 2), 2), false, "smaller tasks may fit");
  assert.equal(cache.has(gangOf("j-4", 2000), 1), false, "fewer tasks may fit");

  const reserved = gangOf("j-5", 3000, 2);
  reserved.reservationUntil = ctx.now + 1;
  assert.equal(cache.has(reserved, 2), false);

  const failedBefore = gangOf("j-6", 3000, 2);
  failedBefore.failedOn.set(
    new Machine(1, "M1", { address: "", type: "small", zone: "a", spot: false }, 0),
    0,
  );
  assert.equal(cache.has(failedBefore, 2), false, "its feasible machines differ");

  cache.clear();
  assert.equal(cache.has(gangOf("j-2", 3000, 2), 2), false);
});
