/** Record writes of a leader: each is conditional on the versions that it replaces (I5). */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { StoreRequest } from "../src/core/messages/store.js";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";
import { FakeStore } from "./support/fake-store.js";
import { electNextLeader, leaderWithRunningTask, onlyElement } from "./support/leaders.js";

test("a previous leader's transaction that reaches the store late changes nothing", () => {
  const store = new FakeStore();
  const leader = new ControllerHarness("n0", store).becomeLeader();
  leader.sendHeartbeat("A");
  leader.storeRule = (call) =>
    call.kind === "transaction" && JSON.stringify(call).includes("p/j-1") ? "hang" : null;
  leader.submit(jobSpec("j-1"));
  leader.advance(300);
  const { call } = onlyElement(leader.hangingCalls);

  assert.ok(call.kind === "transaction");

  const nextLeader = electNextLeader(leader);

  assert.ok(nextLeader.controller.leaderTerm);
  assert.equal(store.run(call, nextLeader.now).kind, "conflict");
  assert.equal(store.entries.has("p/j-1/0"), false);
});

test("a machine is stored no later than the first placement on it", () => {
  const { harness } = leaderWithRunningTask();
  const machinesRecord = harness.store.entries.get("m/0");
  assert.ok(JSON.stringify(machinesRecord?.value).includes('"A"'));
  assert.equal(
    machinesRecord?.version,
    harness.store.entries.get("p/j-1/0")?.version,
    "in the same transaction",
  );
});

test("every write of a leader is conditional on the version it replaces, so that a late write never overwrites a newer one", () => {
  const harness = new ControllerHarness().becomeLeader();
  const transactions: StoreRequest[] = [];
  harness.storeRule = (call) => {
    if (call.kind === "transaction" && call.changes.length > 0) transactions.push(call);
    return null;
  };
  // Covers task starts and ends, a terminated machine, changed machine types, a raised fencing token and a migration.
  harness.sendHeartbeat("A");
  harness.submit(jobSpec("j-1"));
  harness.submit(jobSpec("j-2", { shape: "service", priority: 3, estimateS: 0 }));
  harness.advance(300);
  const runningTasks = () =>
    harness.startCommands("j-2").map((start) => ({ ...start, uid: "j-2", state: "running" as const }));
  const endedTasks = harness
    .startCommands("j-1")
    .map((start) => ({ ...start, uid: "j-1", state: "ended" as const, exitReason: "done" as const }));
  harness.replyToCommands("A", [...runningTasks(), ...endedTasks]);
  harness.types = harness.types.map((type) => ({
    ...type,
    size: { ...type.size, ram: type.size.ram + 1000 },
  }));
  for (let i = 0; i < 70; i++) {
    harness.sendHeartbeat("A", [...runningTasks(), ...endedTasks]);
    harness.advance(1000);
  }
  harness.controller.leaderTerm?.recordWriter.writeMigration(
    { job: "j-2", task: 0, from: "A", to: "B", startedAt: 1 },
    () => {},
  );
  harness.advance(300);
  harness.controller.leaderTerm?.recordWriter.writeMigration(null, () => {});
  harness.advance(300);
  const writtenKeys = new Set(
    transactions.flatMap((call) =>
      call.kind === "transaction"
        ? call.changes.map((change) => ("put" in change ? change.put : change.remove))
        : [],
    ),
  );

  for (const key of ["c/move", "c/types", "c/epoch", "j/j-1", "f/j-1", "p/j-2/0", "m/0"])
    assert.ok(writtenKeys.has(key), `${key} was written`);

  harness.storeRule = null;
  const entriesBefore = JSON.stringify([...harness.store.entries]);
  for (const call of transactions) if (call.kind !== "watch") harness.store.run(call, harness.now);

  assert.equal(JSON.stringify([...harness.store.entries]), entriesBefore);
});
