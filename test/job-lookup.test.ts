/** Which polls are answered from memory, and which require a comparison with the store first (I8). */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";
import { leaderWithDependentJob, phaseOf, reportDone } from "./support/dependent-jobs.js";
import { FakeStore } from "./support/fake-store.js";

test("a job is reported as not found only if the store confirms it, and as unavailable if the store does not respond", () => {
  const harness = new ControllerHarness().becomeLeader();
  assert.equal(harness.poll("j-5")?.kind, "notFound");
  harness.storeRule = () => ({ kind: "timeout" });
  assert.equal(harness.poll("j-5")?.kind, "unavailable");
});

test("polls in a batch are confirmed by one compare-only transaction, and are never answered with state that another node has changed", () => {
  const store = new FakeStore();
  const harness = new ControllerHarness("n0", store).becomeLeader();
  const otherNode = new ControllerHarness("n1", store);
  otherNode.now = harness.now;
  otherNode.advance(500);
  const uids = ["j-1", "j-2", "j-3"];
  for (const uid of uids) harness.submit(jobSpec(uid));
  const requestKinds: string[] = [];
  harness.storeRule = (call) => {
    requestKinds.push(call.kind);
    return null;
  };
  for (const [index, uid] of uids.entries()) harness.handle({ kind: "poll", requestId: 700 + index, uid });
  harness.handle({ kind: "tick" });

  assert.deepEqual(requestKinds, ["transaction"]);
  for (const index of uids.keys()) assert.equal(harness.userResponse(700 + index)?.kind, "status");
  assert.equal(otherNode.cancel("j-2")?.kind, "status");
  assert.deepEqual(harness.poll("j-1"), {
    kind: "status",
    status: { uid: "j-1", phase: "queued", done: 0, running: 0 },
  });

  const response = harness.poll("j-2");
  assert.ok(response?.kind === "status" && response.status.phase === "cancelled");

  harness.storeRule = () => ({ kind: "timeout" });
  assert.equal(
    harness.poll("j-1")?.kind,
    "unavailable",
    "no poll is answered from memory without a comparison",
  );
});

test("a poll whose job is found to have ended while the comparison is pending is answered with the ended state", () => {
  // Failure found in a benchmark: the comparing transaction had no conditions left and succeeded, so a job that was
  // done was reported as running.
  const { harness, runningTask } = leaderWithDependentJob();
  const otherNode = new ControllerHarness("n1", harness.store);
  otherNode.advance(300);

  assert.equal(phaseOf(otherNode.poll("j-1")), "queued");
  assert.equal(phaseOf(otherNode.poll("j-2")), "queued");

  reportDone(harness, runningTask);
  harness.advance(500);
  otherNode.handle(
    { kind: "poll", requestId: 901, uid: "j-1" },
    { kind: "poll", requestId: 902, uid: "j-2" },
  );

  // A repeated submission reads the records within the same tick.
  assert.equal(phaseOf(otherNode.submit(jobSpec("j-1"))), "done");

  otherNode.handle({ kind: "tick" });
  assert.equal(phaseOf(otherNode.userResponse(901)), "done");
  assert.equal(phaseOf(otherNode.userResponse(902)), "queued");
});

test("the compare-only transactions for polls of dependent jobs stay within the store's limit of conditions per transaction", () => {
  const harness = new ControllerHarness("n0", new FakeStore(), {
    settings: { txnOps: 4, nextStoreLimits: null },
  }).becomeLeader();
  for (let i = 1; i <= 30; i++)
    harness.submit(jobSpec(`j-${i}`, i > 1 ? { awaits: [`j-${i - 1}`, ...(i > 2 ? ["j-1"] : [])] } : {}));
  harness.advance(1000);
  const conditionCounts: number[] = [];
  harness.store.limits = { valueBytes: 8192, txnOps: 4, writeRps: 1000 };
  harness.storeRule = (call) => {
    if (call.kind === "transaction" && call.changes.length === 0)
      conditionCounts.push(call.conditions.length);
    return null;
  };

  for (let i = 1; i <= 30; i++) assert.equal(phaseOf(harness.poll(`j-${i}`)), "queued", `j-${i}`);
  // The store allows four conditions per change that a transaction may contain.
  assert.ok(conditionCounts.length > 0 && Math.max(...conditionCounts) <= 16, String(conditionCounts));
  assert.equal(harness.store.invalidTransactions, 0);
});
