/** Cancellation of a job reaches all that depend on it, on every node (I8). */

import assert from "node:assert/strict";
import { test } from "node:test";
import { readFinal } from "../src/core/store/records.js";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";
import { leaderWithDependentJob, phaseOf, reportDone, writesFinalRecord } from "./support/dependent-jobs.js";
import { STORE_OUTAGE } from "./support/store-outage.js";

test("when a cancellation races with completion, one write decides for the job and its dependents", () => {
  for (const cancelledFirst of [true, false]) {
    const { harness, runningTask } = leaderWithDependentJob();
    if (cancelledFirst) {
      // The other node's transaction comes before the leader's, and the leader has not seen it yet.
      const otherNode = new ControllerHarness("n1", harness.store);
      otherNode.advance(300);
      harness.storeRule = (call) => (call.kind === "watch" ? STORE_OUTAGE : null);

      assert.equal(phaseOf(otherNode.cancel("j-1")), "cancelled");
      assert.equal(phaseOf(otherNode.poll("j-2")), "cancelled", "at once, on the node that confirmed it");

      reportDone(harness, runningTask);
      harness.advance(2000);
      assert.deepEqual(harness.startCommands("j-2"), []);
      assert.equal(phaseOf(harness.poll("j-2")), "cancelled");
    } else {
      reportDone(harness, runningTask);
      harness.advance(300);
      assert.equal(phaseOf(harness.cancel("j-1")), "done");

      harness.advance(500);
      assert.equal(harness.startCommands("j-2").length, 1, "a response of done lets dependents start");
      assert.equal(phaseOf(harness.poll("j-2")), "queued");
    }
  }
});

test("every node reports the dependents of a cancelled job as cancelled, though the leader can't reach the store, has ended or has not seen it", () => {
  const { harness } = leaderWithDependentJob();
  harness.submit(jobSpec("j-3", { awaits: ["j-2"] }));
  harness.advance(300);
  const otherNode = new ControllerHarness("n1", harness.store);
  otherNode.advance(300);

  // To both nodes all three jobs are unfinished.
  for (const uid of ["j-1", "j-2", "j-3"]) {
    assert.notEqual(phaseOf(harness.poll(uid)), "cancelled");
    assert.notEqual(phaseOf(otherNode.poll(uid)), "cancelled");
  }

  harness.storeRule = () => STORE_OUTAGE;
  assert.equal(phaseOf(otherNode.cancel("j-1")), "cancelled");
  assert.equal(phaseOf(otherNode.poll("j-3")), "cancelled");
  assert.equal(phaseOf(otherNode.submit(jobSpec("j-3", { awaits: ["j-2"] }))), "cancelled", "a repeat");
  assert.equal(
    phaseOf(otherNode.submit(jobSpec("j-4", { awaits: ["j-3"] }))),
    "cancelled",
    "accepted nevertheless",
  );
  assert.equal(phaseOf(harness.poll("j-3")), "unavailable", "no stale state is reported");

  const thirdNode = new ControllerHarness("n2", harness.store);
  thirdNode.advance(300);
  assert.equal(phaseOf(thirdNode.poll("j-4")), "cancelled", "on a node that has read nothing yet");

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
    "after the cancellation has been completed",
  );
});

test("a job accepted while a dependency is being cancelled is cancelled too, even after the leader is lost", () => {
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
      // Between the read of its dependencies and its own write; no node leads from here on.
      assert.equal(phaseOf(harness.cancel("j-1")), "cancelled");
    }
    return null;
  };
  assert.equal(otherNode.submit(jobSpec("j-9", { awaits: ["j-1"] }))?.kind, "accepted");
  assert.ok(isCancelInjected);
  assert.equal(phaseOf(otherNode.poll("j-9")), "cancelled");
  assert.equal(phaseOf(new ControllerHarness("n2", harness.store).becomeLeader().poll("j-9")), "cancelled");
});

test("a job cancelled by its user while the leader cancels it for a dependency ends as cancelled", () => {
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

test("during a store outage a node reports the dependents of a job it knows to be cancelled as cancelled", () => {
  const { harness } = leaderWithDependentJob();
  harness.cancel("j-1");
  harness.storeRule = () => STORE_OUTAGE;
  assert.equal(phaseOf(harness.poll("j-2")), "cancelled");
});
