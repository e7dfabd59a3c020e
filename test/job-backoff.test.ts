/** Backoff of jobs whose tasks fail. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { FailureAttribution } from "../src/core/agents/failure-attribution.js";
import { backOffIfSuspect, recordJobFailure } from "../src/core/agents/job-backoff.js";
import { ClusterState } from "../src/core/model/cluster-state.js";
import { Job } from "../src/core/model/job.js";
import { Machine } from "../src/core/model/machine.js";
import type { Placement } from "../src/core/model/placement.js";
import { AgentFleet, type FateOf } from "./support/agent-fleet.js";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";

const FAILS = { exitReason: "error", afterMs: 1000 } as const;
const IS_DONE = { exitReason: "done", afterMs: 8000 } as const;
const TEN_MACHINES = Object.fromEntries(Array.from({ length: 10 }, (_, i) => [`M${i}`, {}]));
const isFaultyMachine = (machine: string) => machine === "M0" || machine === "M1";
const failsOnFaultyMachines: FateOf = (_, machine) => (isFaultyMachine(machine) ? FAILS : IS_DONE);
/** Ten tasks fill a machine. */
const TENTH_OF_MACHINE = { cpu: 400, gpu: 0, ram: 100 };

/** Submits an array and returns for how long it has unfinished tasks of which none runs, in ms of the time until it is done. */
function pausedMsOf(fleet: AgentFleet, harness: ControllerHarness, uid: string, tasks: number): number {
  harness.submit(jobSpec(uid, { tasks, need: TENTH_OF_MACHINE }));
  let pausedMs = 0;
  const doneAfterMs = fleet.runUntil(() => {
    if (fleet.machinesOf(uid).length === 0) pausedMs += 500;
    return fleet.doneTasksOf(uid) === tasks;
  }, 120_000);
  assert.notEqual(doneAfterMs, null, `${uid} is done`);
  return pausedMs;
}

test("an array of which many tasks fail at once on two faulty machines is tried elsewhere after the first backoff", () => {
  // Failure guarded against (left waiting): each failed task doubled the backoff, so that twenty tasks that failed at once
  // on two faulty machines kept their array off eight sound ones for a minute.
  const harness = new ControllerHarness().becomeLeader();
  const fleet = new AgentFleet(harness, TEN_MACHINES, failsOnFaultyMachines);
  const pausedMs = pausedMsOf(fleet, harness, "j-1", 20);
  assert.ok(fleet.failures.length >= 20 && fleet.failures.every(({ machine }) => isFaultyMachine(machine)));
  assert.ok(pausedMs <= 6000, `nothing ran for ${pausedMs} ms`);
});

test("an array that runs on more machines than it fails on is not backed off", () => {
  // Failure guarded against (left waiting): the failures on two faulty machines kept all pending tasks of an array off for
  // up to a minute, although the others ran and were done.
  const harness = new ControllerHarness().becomeLeader();
  const fleet = new AgentFleet(harness, TEN_MACHINES, failsOnFaultyMachines);
  harness.submit(jobSpec("j-1", { tasks: 50, need: TENTH_OF_MACHINE }));
  assert.notEqual(
    fleet.runUntil(() => fleet.failures.length >= 20, 10_000),
    null,
  );
  const restartedAfterMs = fleet.runUntil(() => fleet.machinesOf("j-1").length === 50, 60_000);
  assert.ok(restartedAfterMs !== null && restartedAfterMs <= 2000, `restarted after ${restartedAfterMs} ms`);
});

test("jobs are not backed off for failures on a machine that is found to be faulty", () => {
  // Failure guarded against (left waiting): the same failures took the machines and the jobs out of scheduling.
  const harness = new ControllerHarness().becomeLeader();
  const fleet = new AgentFleet(harness, TEN_MACHINES, failsOnFaultyMachines);
  for (const uid of ["j-1", "j-2"])
    harness.submit(jobSpec(uid, { tasks: 10, need: { cpu: 800, gpu: 0, ram: 100 } }));
  const bothFail = () => new Set(fleet.failures.map(({ uid, machine }) => `${uid} ${machine}`)).size >= 2;
  assert.notEqual(fleet.runUntil(bothFail, 10_000), null);
  const doneAfterMs = fleet.runUntil(
    () => fleet.doneTasksOf("j-1") + fleet.doneTasksOf("j-2") === 20,
    60_000,
  );
  assert.ok(doneAfterMs !== null && doneAfterMs <= 15_000, `done after ${doneAfterMs} ms`);
});

test("a job that has failed on all machines that it may run on is tried there again", () => {
  // Failure guarded against (left waiting): a job avoided each machine on which it had ever failed, unless these were half
  // of all machines of the cluster; one failure on each of the two that it may run on kept it off both for good.
  const harness = new ControllerHarness().becomeLeader();
  const machines = { ...TEN_MACHINES, G0: { type: "gpu" }, G1: { type: "gpu" } };
  const tried = new Set<string>();
  const fleet = new AgentFleet(harness, machines, (_, machine) => {
    if (tried.has(machine)) return IS_DONE;
    tried.add(machine);
    return FAILS;
  });
  harness.admin({ kind: "changeSettings", values: { idle_s: 3600 } });
  harness.submit(jobSpec("j-1", { types: ["gpu"], need: { cpu: 4000, gpu: 1000, ram: 1000 } }));
  const doneAfterMs = fleet.runUntil(() => fleet.doneTasksOf("j-1") === 1, 90_000);
  assert.ok(doneAfterMs !== null, "it is done");
  assert.deepEqual([...tried], ["G0", "G1"]);
});

test("a job does not wait beside a free machine because it has failed there once, while all others are full", () => {
  // Failure guarded against (left waiting): nothing ended the avoidance of a machine.
  const harness = new ControllerHarness().becomeLeader();
  let hasFailed = false;
  const fleet = new AgentFleet(harness, TEN_MACHINES, (uid) => {
    if (uid !== "j-1") return null;
    if (hasFailed) return IS_DONE;
    hasFailed = true;
    return FAILS;
  });
  for (const [uid, team, tasks] of [
    ["j-red", "red", 6],
    ["j-blue", "blue", 3],
  ] as const)
    harness.submit(jobSpec(uid, { team, tasks, need: { cpu: 4000, gpu: 0, ram: 100 }, estimateS: 600 }));
  assert.notEqual(
    fleet.runUntil(() => fleet.machinesOf("j-red").length + fleet.machinesOf("j-blue").length === 9, 20_000),
    null,
  );
  harness.submit(jobSpec("j-1", { team: "blue" }));
  const doneAfterMs = fleet.runUntil(() => fleet.doneTasksOf("j-1") === 1, 90_000);
  assert.ok(doneAfterMs !== null, "it is done");
});

test("a service whose replicas have run for longer than the longest backoff does not inherit the backoff of earlier failures", () => {
  // Failure guarded against (left waiting): the failures of a service were never forgotten, as none of its tasks is ever
  // done, so that in the end each failure of a replica kept all pending replicas off for a minute.
  const { ctx, names } = new ControllerHarness().controller;
  const cluster = new ClusterState(names);
  const service = new Job(0, jobSpec("j-1", { shape: "service", tasks: 30 }), 0, 1);
  const fail = (machine: number, ranMs: number) => {
    const origin = { address: "", type: "small", zone: "a", spot: false };
    const placement = {
      job: service,
      machine: new Machine(machine, `M${machine}`, origin, 0),
      runningSince: ctx.now - ranMs,
    };
    recordJobFailure(ctx, placement as unknown as Placement);
    backOffIfSuspect(ctx, service, new FailureAttribution(ctx, cluster));
  };
  /** Lets the service fail on ten machines, each time as soon as its backoff has ended. */
  const failInTurn = (first: number) => {
    for (let machine = first; machine < first + 10; machine++) {
      ctx.now = Math.max(ctx.now, service.backoffUntil);
      fail(machine, 1000);
    }
  };
  ctx.now = 1_000_000;
  failInTurn(0);
  assert.equal(service.backoffUntil, ctx.now + 60_000, "it fails on machine after machine");

  ctx.now += 200_000;
  fail(11, 100_000);
  assert.ok(service.backoffUntil <= ctx.now, `${service.backoffUntil - ctx.now} ms after a long run`);

  failInTurn(20);
  assert.equal(service.backoffUntil, ctx.now + 60_000, "it fails on machine after machine again");
});
