/** Reachability: one-way network partitions between a leader and agents, in either direction (I7). */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ControllerHarness, jobSpec, type TaskStatus } from "./support/controller-harness.js";
import { leaderWithRunningTask, onlyElement } from "./support/leaders.js";

test("a leader without agent heartbeats resigns if a peer receives some, and does not campaign for a while", () => {
  const harness = new ControllerHarness().becomeLeader();
  for (const name of ["A", "B", "C"]) harness.sendHeartbeat(name);
  const receivePeerHeartbeat = (agentsHeard: number) =>
    harness.handle({
      kind: "peerMessage",
      from: "n1",
      message: {
        kind: "heartbeat",
        fencingToken: 0,
        leader: null,
        storeHealthy: true,
        agentsHeard,
      },
    });
  for (let second = 0; second < 10; second++) {
    receivePeerHeartbeat(0);
    harness.advance(1000);
  }

  assert.ok(harness.controller.election.lease, "no peer receives agent heartbeats: resigning would not help");

  for (const name of ["A", "B", "C"]) harness.sendHeartbeat(name);
  for (let second = 0; second < 8; second++) {
    receivePeerHeartbeat(3);
    harness.advance(1000);
  }
  assert.equal(harness.controller.election.lease, null);
  assert.equal(harness.store.entries.has("c/leader"), false, "the leader key is deleted at once");

  harness.advance(5000);
  assert.equal(harness.controller.election.lease, null);
});

test("an agent behind a one-way partition gets no new tasks; its machine is terminated if the partition persists and reused if it ends", () => {
  for (const persists of [true, false]) {
    const harness = new ControllerHarness().becomeLeader();
    const terminatedMachines: string[] = [];
    const defaultCloudRule = harness.cloudRule;
    harness.cloudRule = (call) => {
      if (call.kind === "delete") terminatedMachines.push(...call.machines);
      return defaultCloudRule(call);
    };
    const sendOtherHeartbeats = (fencingToken?: number) => {
      for (const name of ["B", "C", "D"])
        harness.sendHeartbeat(name, [], { zone: "b", ...(fencingToken && { fencingToken }) });
    };
    harness.sendHeartbeat("A");
    harness.submit(jobSpec("j-1", { zone: "a" }));
    harness.advance(200);

    assert.equal(onlyElement(harness.startCommands("j-1")).machine, "A");

    harness.timeOutCommands();
    // Its heartbeats still arrive, but never report the started task.
    for (let second = 0; second < 8; second++) {
      harness.sendHeartbeat("A");
      sendOtherHeartbeats();
      harness.advance(1000);
      harness.timeOutCommands();
    }
    assert.notEqual(
      harness.controller.leaderTerm?.cluster.ensureMachine(
        "A",
        { address: "", type: "", zone: "", spot: false },
        0,
      ).unreachableSince,
      null,
    );

    harness.submit(jobSpec("j-2", { zone: "a" }));
    for (let second = 0; second < 2; second++) {
      harness.sendHeartbeat("A");
      sendOtherHeartbeats();
      harness.advance(1000);
      harness.timeOutCommands();
    }
    assert.deepEqual(harness.startCommands("j-2"), [], "no new task is placed on it");

    if (persists) {
      for (let second = 0; second < 30; second++) {
        harness.sendHeartbeat("A");
        sendOtherHeartbeats();
        harness.advance(1000);
        harness.timeOutCommands();
      }
      assert.deepEqual(terminatedMachines, ["A"]);
    } else {
      const { attempt } = harness.startCommands("j-1")[0] ?? assert.fail();
      const runningTask: TaskStatus = { uid: "j-1", task: 0, attempt, state: "running" };
      harness.sendHeartbeat("A", [runningTask]);
      harness.advance(100);
      harness.replyToCommands("A", [runningTask]);
      harness.advance(2000);

      assert.equal(
        harness.startCommands("j-2").length,
        1,
        "an executed command shows that the machine is reachable again",
      );
    }
  }
});

test("an agent whose lease expires despite replies is taken to be behind a one-way partition and gets no task; one whose lease expires while it is silent does", () => {
  for (const silentMs of [0, 13_000]) {
    const { harness } = leaderWithRunningTask();
    harness.cloudRule = () => ({ kind: "unavailable", reason: "" });
    harness.advance(silentMs);
    harness.sendHeartbeat("A", [], { incarnation: 2 });
    for (let second = 0; second < 3; second++) {
      harness.advance(500);
      harness.timeOutCommands();
      harness.sendHeartbeat("A", [], { incarnation: 2 });
    }
    const isRestarted = harness.startCommands("j-1").length > 1;

    assert.equal(isRestarted, silentMs > 0, `silent for ${silentMs} ms`);
  }
});

test("a leader whose replies do not reach most agents resigns", () => {
  const harness = new ControllerHarness().becomeLeader();
  for (let second = 0; second < 8; second++) {
    for (const name of ["A", "B", "C"]) harness.sendHeartbeat(name, [], { fencingToken: 0 });
    harness.advance(1000);
    harness.timeOutCommands();
  }
  assert.equal(harness.controller.election.lease, null);
});
