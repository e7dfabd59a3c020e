/** Task failures per machine, and draining of machines on which tasks of several jobs fail. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { recordFailure } from "../src/core/agents/failure-tracking.js";
import { Job } from "../src/core/model/job.js";
import { Machine } from "../src/core/model/machine.js";
import type { Placement } from "../src/core/model/placement.js";
import { AgentFleet } from "./support/agent-fleet.js";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";
import { exclusionOf } from "./support/machine-status.js";

const FAILS = { exitReason: "error", afterMs: 500 } as const;

test("a machine on which tasks of different jobs fail gets no more tasks", () => {
  const harness = new ControllerHarness().becomeLeader();
  const fleet = new AgentFleet(harness, { A: {} }, () => FAILS);
  harness.submit(jobSpec("j-1"));
  fleet.runFor(5000);
  assert.ok(fleet.starts.length > 1, "a single job that fails is tried again");
  assert.equal(exclusionOf(harness, "A"), null);

  harness.submit(jobSpec("j-2"));
  const foundAfterMs = fleet.runUntil(() => exclusionOf(harness, "A") === "faulty", 5000);
  assert.ok(foundAfterMs !== null && foundAfterMs <= 1500, `found after ${foundAfterMs} ms`);
  harness.submit(jobSpec("j-3"));
  fleet.starts.splice(0);
  fleet.runFor(5000);
  assert.deepEqual(fleet.starts, []);
});

test("an operator's mode neither hides nor outlives the verdict on a faulty machine, and a task that is done there ends it", () => {
  // Failure guarded against (left waiting): the verdict was kept in the operator's mode. A machine that failed while it was
  // cordoned stayed cordoned after it was opened, and a drained one stayed drained after tasks were done on it.
  const harness = new ControllerHarness().becomeLeader();
  const fleet = new AgentFleet(harness, { A: {} }, (uid) =>
    uid === "j-0" ? { exitReason: "done", afterMs: 10_000 } : { exitReason: "error", afterMs: 2000 },
  );
  for (const uid of ["j-0", "j-1", "j-2"]) harness.submit(jobSpec(uid));
  fleet.runFor(1000);
  harness.admin({ kind: "setMachineMode", name: "A", mode: "cordon" });
  fleet.runFor(3000);
  assert.equal(exclusionOf(harness, "A"), "cordoned");

  harness.admin({ kind: "setMachineMode", name: "A", mode: "open" });
  fleet.runFor(1000);
  assert.equal(exclusionOf(harness, "A"), "faulty");

  fleet.runUntil(
    () => harness.poll("j-0")?.kind === "status" && fleet.machinesOf("j-0").length === 0,
    10_000,
  );
  fleet.runFor(1000);
  assert.equal(exclusionOf(harness, "A"), null);
});

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
    recordFailure(ctx, placement as unknown as Placement);
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
