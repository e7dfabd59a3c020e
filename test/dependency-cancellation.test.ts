/** The cancellation of a job cancels all jobs that depend on it, and every node reports it (I8). */

import assert from "node:assert/strict";
import { test } from "node:test";
import { readFinal } from "../src/core/store/records.js";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";
import { leaderWithDependentJob, phaseOf, reportDone, writesFinalRecord } from "./support/dependent-jobs.js";
import { STORE_OUTAGE } from "./support/store-outage.js";

test("when a cancellation races with completion, the first write to the store decides the outcome of the job and its dependents", () => {
  for (const cancelledFirst of [true, false]) {
    const { harness, runningTask } = leaderWithDependentJob();
    if (cancelledFirst) {
      // The other node's transaction precedes the leader's, and the leader's watch has not reported it yet.
      const otherNode = new ControllerHarness("n1", harness.store);
      otherNode.advance(300);
      harness.storeRule = (call) => (call.kind === "watch" ? STORE_OUTAGE : null);

      assert.equal(phaseOf(otherNode.cancel("j-1")), "cancelled");
      assert.equal(
        phaseOf(otherNode.poll("j-2")),
        "cancelled",
        "the node that confirmed the cancellation reports it at once",
      );

      reportDone(harness, runningTask);
      harness.advance(2000);
      assert.deepEqual(harness.startCommands("j-2"), []);
      assert.equal(phaseOf(harness.poll("j-2")), "cancelled");
    } else {
      reportDone(harness, runningTask);
      harness.advance(300);
      assert.equal(phaseOf(harness.cancel("j-1")), "done");

      harness.advance(500);
      assert.equal(
        harness.startCommands("j-2").length,
        1,
        "dependents start once the job is reported as done",
      );
      assert.equal(phaseOf(harness.poll("j-2")), "queued");
    }
  }
});

test("every node reports the dependents of a cancelled job as cancelled, even if the leader cannot reach the store and has not seen the cancellation", () => {
  const { harness } = leaderWithDependentJob();
  harness.submit(jobSpec("j-3", { awaits: ["j-2"] }));
  harness.advance(300);
  const otherNode = new ControllerHarness("n1", harness.store);
  otherNode.advance(300);

  // Both nodes report all three jobs as unfinished.
  for (const uid of ["j-1", "j-2", "j-3"]) {
    assert.notEqual(phaseOf(harness.poll(uid)), "cancelled");
    assert.notEqual(phaseOf(otherNode.poll(uid)), "cancelled");
  }

  harness.storeRule = () => STORE_OUTAGE;
  assert.equal(phaseOf(otherNode.cancel("j-1")), "cancelled");
  assert.equal(phaseOf(otherNode.poll("j-3")), "cancelled");
  assert.equal(
    phaseOf(otherNode.submit(jobSpec("j-3", { awaits: ["j-2"] }))),
    "cancelled",
    "a repeated submission",
  );
  assert.equal(
    phaseOf(otherNode.submit(jobSpec("j-4", { awaits: ["j-3"] }))),
    "cancelled",
    "a new submission is accepted and cancelled",
  );
  assert.equal(
    phaseOf(harness.poll("j-3")),
    "unavailable",
    "a node that cannot reach the store reports no stale state",
  );

  const thirdNode = new ControllerHarness("n2", harness.store);
  thirdNode.advance(300);
  assert.equal(phaseOf(thirdNode.poll("j-4")), "cancelled", "a node that has read no records yet");

  harness.storeRule = null;
  harness.advance(3000);
  for (const uid of ["j-2", "j-3", "j-4"]) {
    assert.equal(readFinal(harness.store.entries.get(`f/${uid}`)?.value)?.state, "cancelled", uid);
    assert.equal(phaseOf(harness.poll(uid)), "cancelled");
    assert.equal(phaseOf(harness.submit(jobSpec(uid, { awaits: ["j-1"] }))), "cancelled");
    assert.deepEqual(harness.startCommands(uid), []);
  }
  assert.equal(
    phaseOf(harness.submit(jobSpec("j-5", { awaits: ["j-2"] }))),
    "cancelled",
    "a submission after all dependents have been cancelled",
  );
});

test("a job that is accepted while a dependency is being cancelled is also cancelled, even if the leader fails", () => {
  const { harness } = leaderWithDependentJob();
  const otherNode = new ControllerHarness("n1", harness.store);
  otherNode.advance(300);

  assert.equal(phaseOf(otherNode.poll("j-1")), "queued");

  let isCancelInjected = false;
  otherNode.storeRule = (call) => {
    if (
      !isCancelInjected &&
      call.kind === "transaction" &&
      call.changes.some((change) => "put" in change && change.put === "j/j-9")
    ) {
      isCancelInjected = true;
      // The cancellation happens between the read of the dependencies and the write of j-9. The leader fails after it.
      assert.equal(phaseOf(harness.cancel("j-1")), "cancelled");
    }
    return null;
  };
  assert.equal(otherNode.submit(jobSpec("j-9", { awaits: ["j-1"] }))?.kind, "accepted");
  assert.ok(isCancelInjected);
  assert.equal(phaseOf(otherNode.poll("j-9")), "cancelled");
  assert.equal(phaseOf(new ControllerHarness("n2", harness.store).becomeLeader().poll("j-9")), "cancelled");
});

test("a job that its user cancels while the leader cancels it because of a dependency ends as cancelled", () => {
  const { harness } = leaderWithDependentJob();
  const otherNode = new ControllerHarness("n1", harness.store);
  otherNode.advance(300);
  let isCancelInjected = false;
  harness.storeRule = (call) => {
    if (!isCancelInjected && writesFinalRecord(call, "j-2")) {
      isCancelInjected = true;
      assert.equal(phaseOf(otherNode.cancel("j-2")), "cancelled");
    }
    return null;
  };
  harness.cancel("j-1");
  harness.advance(3000);

  assert.ok(isCancelInjected);
  assert.equal(readFinal(harness.store.entries.get("f/j-2")?.value)?.state, "cancelled");
  assert.ok(!harness.store.entries.has("j/j-2"));
});

test("during a store outage, a node reports the dependents of a job as cancelled if it has already seen the job's cancellation", () => {
  const { harness } = leaderWithDependentJob();
  harness.cancel("j-1");
  harness.storeRule = () => STORE_OUTAGE;
  assert.equal(phaseOf(harness.poll("j-2")), "cancelled");
});
