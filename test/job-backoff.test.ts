/** Backoff of jobs whose tasks fail. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { recordJobFailure } from "../src/core/agents/job-backoff.js";
import { Job } from "../src/core/model/job.js";
import { Machine } from "../src/core/model/machine.js";
import type { Placement } from "../src/core/model/placement.js";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";

test("a service whose replicas have run for longer than the longest backoff does not inherit the backoff of earlier failures", () => {
  // Failure guarded against (left waiting): the failures of a service were never forgotten, as none of its tasks is ever
  // done, so that in the end each failure of a replica kept all pending replicas off for a minute.
  const { ctx } = new ControllerHarness().controller;
  const service = new Job(0, jobSpec("j-1", { shape: "service", tasks: 30 }), 0, 1);
  const fail = (machine: number, ranMs: number) => {
    const origin = { address: "", type: "small", zone: "a", spot: false };
    const placement = {
      job: service,
      machine: new Machine(machine, `M${machine}`, origin, 0),
      runningSince: ctx.now - ranMs,
    };
    recordJobFailure(ctx, placement as unknown as Placement);
  };
  ctx.now = 1_000_000;
  for (let machine = 0; machine < 10; machine++) fail(machine, 1000);
  assert.equal(service.backoffUntil, ctx.now + 60_000, "it fails on machine after machine");

  ctx.now += 200_000;
  fail(11, 100_000);
  assert.ok(service.backoffUntil <= ctx.now, `${service.backoffUntil - ctx.now} ms after a long run`);

  for (let machine = 20; machine < 30; machine++) fail(machine, 1000);
  assert.equal(service.backoffUntil, ctx.now + 60_000, "it fails on machine after machine again");
});
