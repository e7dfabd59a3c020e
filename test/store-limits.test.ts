/** Lowered store limits at run time: value size, operations per transaction and writes per second. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { parseSettings, SettingsError } from "../src/config/settings.js";
import type { StoreRequest } from "../src/core/messages/store.js";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";
import { FakeStore } from "./support/fake-store.js";
import { electNextLeader } from "./support/leaders.js";
import { receiveFromBothPeers } from "./support/peer-versions.js";
import { productionStore } from "./support/production-store.js";
import { countRunning, reportAllRunning, runFor } from "./support/running-agents.js";
import { SETTINGS } from "./support/settings.js";
import { SMALL_LIMITS } from "./support/small-limits.js";

/** The size in bytes of each stored value, by key. */
function valueSizes(store: FakeStore): [string, number][] {
  return [...store.entries].map(([key, { value }]) => [key, Buffer.byteLength(JSON.stringify(value))]);
}

/**
 * Returns a leader of 60 machines without peers, with or without the upcoming store limits in its settings. `refused`
 * collects the transactions that the store rejects as invalid.
 */
function leaderWithoutPeers(hasNextLimits: boolean): { harness: ControllerHarness; refused: string[] } {
  const settings = hasNextLimits ? {} : { nextStoreLimits: null };
  const harness = new ControllerHarness("n0", new FakeStore(), { settings }).becomeLeader();
  const refused: string[] = [];
  harness.storeRule = (call: StoreRequest) => {
    if (call.kind !== "transaction") return null;
    const response = harness.store.run(call, harness.now);
    if (response.kind === "invalid") refused.push(JSON.stringify(call));
    return response;
  };
  for (let i = 0; i < 60; i++) harness.sendHeartbeat(`i-${i}`);
  return { harness, refused };
}

test("after the store limits are lowered, all operations continue within them, even with production's large records stored", () => {
  const store = productionStore();
  const leader = new ControllerHarness("n0", store).becomeLeader();
  receiveFromBothPeers(leader);
  reportAllRunning(leader);
  leader.advance(500);
  store.limits = SMALL_LIMITS;
  reportAllRunning(leader);
  // Tasks in both of production's chunks end, and other tasks are placed.
  const job =
    leader.controller.leaderTerm?.cluster.jobByUid("j-000001") ?? assert.fail("the job was not restored");
  const endedPlacements = [...job.placements.values()].filter(({ task }) => task % 50 === 7);
  for (const { machine, task, attempt } of endedPlacements) {
    const otherTasks = [...machine.placements]
      .filter((placement) => placement.task !== task || placement.job !== job)
      .map((placement) => ({
        uid: placement.job.uid,
        task: placement.task,
        attempt: placement.attempt,
        state: "running" as const,
      }));
    leader.sendHeartbeat(machine.name, [
      { uid: job.uid, task, attempt, state: "ended", exitReason: "done" },
      ...otherTasks,
    ]);
  }
  leader.submit(jobSpec("j-8", { tasks: 60, team: "blue", need: { cpu: 100, gpu: 0, ram: 100 } }));
  leader.cancel("j-000002");
  runFor(leader, 15);

  assert.equal(countRunning(leader, "j-8"), 60);
  assert.equal(store.invalidTransactions, 0, "lowering the limits causes no invalid request");
  assert.equal(leader.controller.election.hasValidLease, true);

  const large = valueSizes(store).filter(([, bytes]) => bytes > SMALL_LIMITS.valueBytes);
  // Records that have not changed since are not rewritten.
  assert.deepEqual(
    large.map(([key]) => key),
    ["m/0", "p/j-000001/0"],
  );

  // The next leader restores the newest state from records of both sizes.
  const nextLeader = electNextLeader(leader);
  const restoredJob =
    nextLeader.controller.leaderTerm?.cluster.jobByUid("j-000001") ?? assert.fail("the job was not restored");

  assert.equal(restoredJob.doneCount, endedPlacements.length);
  assert.equal(restoredJob.placements.size, 150 - endedPlacements.length);
  for (const { task } of endedPlacements) assert.ok(restoredJob.isDone(task), `task ${task}`);
  assert.equal(nextLeader.controller.leaderTerm?.cluster.jobByUid("j-8")?.placements.size, 60);

  const machines = [...nextLeader.controller.leaderTerm.cluster.machines.values()];
  assert.ok(
    machines
      .filter((machine) => machine.placements.size > 0)
      .every((machine) => machine.address !== "" || machine.recordIndex === null),
  );

  // A job with chunks of both sizes ends, and all its chunks are removed.
  nextLeader.cancel("j-000001");
  for (const machine of machines) nextLeader.sendHeartbeat(machine.name, [], { incarnation: 2 });
  nextLeader.advance(15_000);
  for (const machine of machines) nextLeader.sendHeartbeat(machine.name, [], { incarnation: 2 });
  nextLeader.advance(15_000);

  assert.deepEqual(
    [...store.entries.keys()].filter((key) => key.startsWith("p/j-000001/")),
    [],
  );
});

test("if the store limits are lowered before every node has sent a heartbeat, a write refused with a 400 opens the feature gate and is never repeated unchanged", () => {
  const { harness, refused } = leaderWithoutPeers(true);
  harness.store.limits = SMALL_LIMITS;
  harness.submit(jobSpec("j-1", { tasks: 150, need: { cpu: 100, gpu: 0, ram: 100 } }));
  runFor(harness, 15);

  assert.equal(harness.controller.config.layout, 2);
  assert.equal(countRunning(harness, "j-1"), 150);
  assert.equal(new Set(refused).size, refused.length, "no refused transaction is sent again unchanged");
  assert.ok(refused.length > 0 && refused.length < 10, `${refused.length} refused`);
  assert.equal(harness.controller.election.hasValidLease, true);
});

test("a record that cannot be written delays neither other records nor lease keep-alives", () => {
  const { harness, refused } = leaderWithoutPeers(true);
  const name = `i-${"x".repeat(290)}`;
  harness.sendHeartbeat(name, [], { zone: "b" });
  harness.store.limits = SMALL_LIMITS;
  harness.submit(jobSpec("j-1", { tasks: 20, need: { cpu: 100, gpu: 0, ram: 100 }, priority: 2, zone: "b" }));
  for (let i = 2; i < 12; i++)
    harness.submit(jobSpec(`j-${i}`, { need: { cpu: 100, gpu: 0, ram: 100 }, zone: "a" }));
  runFor(harness, 20);

  for (let i = 2; i < 12; i++) assert.equal(countRunning(harness, `j-${i}`), 1, `j-${i}`);
  assert.deepEqual(harness.startCommands("j-1"), [], "nothing is started before its placement is stored");
  assert.equal(harness.controller.election.hasValidLease, true);
  assert.ok(refused.length < 10, `${refused.length} refused`);
  assert.ok(harness.errorLines.includes("record rejected by the store"));
});

test("a 429 from the store lowers the write rate and is not retried at once", () => {
  const { harness } = leaderWithoutPeers(true);
  receiveFromBothPeers(harness);
  harness.advance(1000);
  harness.store.limits = SMALL_LIMITS;
  for (let i = 0; i < 300; i++) harness.submit(jobSpec(`j-${i}`, { need: { cpu: 50, gpu: 0, ram: 50 } }));
  const throttledBefore = harness.store.throttledTransactions;
  runFor(harness, 30);

  assert.ok(
    harness.store.throttledTransactions - throttledBefore < 30,
    `${harness.store.throttledTransactions - throttledBefore} throttled in 30 s`,
  );

  const accepted = [...harness.store.entries.keys()].filter((key) => key.startsWith("j/")).length;
  assert.ok(accepted > 0);

  const started = Array.from({ length: 300 }, (_, i) => countRunning(harness, `j-${i}`)).filter(
    (tasks) => tasks > 0,
  ).length;
  assert.equal(started, accepted, "every accepted job is started");
});

test("a job with long lists is refused under the smaller value limit, and those stored earlier can still be cancelled and completed", () => {
  const types = ["small", ...Array.from({ length: 300 }, (_, i) => `another-type-${i}`)];
  const store = new FakeStore();
  const previousLeader = new ControllerHarness("n0", store, {
    settings: { nextStoreLimits: null },
  }).becomeLeader();
  previousLeader.sendHeartbeat("A");

  for (const uid of ["j-1", "j-2"])
    assert.equal(previousLeader.submit(jobSpec(uid, { types }))?.kind, "accepted");

  previousLeader.advance(300);
  store.limits = SMALL_LIMITS;
  const newLeader = electNextLeader(previousLeader);

  assert.match(JSON.stringify(newLeader.submit(jobSpec("j-3", { types }))), /invalid.*too large/);
  assert.equal(newLeader.submit(jobSpec("j-1", { types }))?.kind, "accepted", "a repeated submission");
  assert.equal(newLeader.cancel("j-1")?.kind, "status");
  assert.equal(store.invalidTransactions, 0);

  const starts = previousLeader.startCommands("j-2");
  assert.equal(starts.length, 1);

  const attempt = starts[0]?.attempt ?? 0;
  newLeader.sendHeartbeat("A", [{ uid: "j-2", task: 0, attempt, state: "ended", exitReason: "done" }], {
    fencingToken: 2,
  });
  newLeader.advance(3000);

  for (const uid of ["j-1", "j-2"]) assert.ok(store.entries.has(`f/${uid}`), uid);
});

test("operator changes whose record would exceed the value limit are refused", () => {
  const harness = new ControllerHarness().becomeLeader();
  let refused = 0;
  for (let i = 0; i < 120; i++) {
    const response = harness.admin({ kind: "setMachineMode", name: `machine-${i}`, mode: "drain" });
    if (response?.kind === "invalid") refused++;
  }

  assert.ok(refused > 0 && refused < 100, `${refused} refused`);
  assert.ok(valueSizes(harness.store).every(([, bytes]) => bytes <= SMALL_LIMITS.valueBytes));
});

test("settings: the upcoming store limits are optional, and an error names the invalid field", () => {
  const settingsWithNext = (nextLimits: string) =>
    SETTINGS.replace("[deployment.cloud]", `[deployment.state.next]\n${nextLimits}\n[deployment.cloud]`);
  assert.equal(parseSettings(SETTINGS).deployment.nextStoreLimits, null);
  assert.deepEqual(
    parseSettings(settingsWithNext("value_kb = 2.0\ntxn_ops = 10")).deployment.nextStoreLimits,
    {
      rps: 250,
      writeRps: 100,
      valueBytes: 2048,
      txnOps: 10,
    },
  );

  const invalidSettings: [string, RegExp][] = [
    ["value_kb = 0", /deployment\.state\.next\.value_kb/],
    ["value_kb = 0.25", /deployment\.state\.next\.value_kb/],
    ["txn_ops = 2", /deployment\.state\.next\.txn_ops/],
    ['write_rps = "28"', /deployment\.state\.next\.write_rps/],
    ["rps = -1", /deployment\.state\.next\.rps/],
  ];
  for (const [nextLimits, field] of invalidSettings)
    assert.throws(
      () => parseSettings(settingsWithNext(nextLimits)),
      (error) => error instanceof SettingsError && field.test(error.message),
      nextLimits,
    );
});
