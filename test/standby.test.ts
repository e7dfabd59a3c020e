/** Warm standby: its record cache, when a new leader may use the cache, and which follower keeps one. */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { StoreRequest, StoreResponse } from "../src/core/messages/store.js";
import { renderMetrics } from "../src/shell/metrics.js";
import { isStandby } from "../src/standby/role.js";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";
import { FakeStore } from "./support/fake-store.js";

const MAX_STANDBY_BYTES = 8 * 1024 * 1024;
const MACHINES = ["M0", "M1"];
const RECORDS = ["m/", "p/", "j/"];

/** Sends a heartbeat from every agent, with all tasks that it has been commanded to start running. */
function reportAllRunning(leader: ControllerHarness): void {
  for (const name of MACHINES) {
    const started = leader.sentCommands
      .filter(({ machine }) => machine === name)
      .flatMap(({ commands }) => commands.filter(({ kind }) => kind === "start"));
    leader.sendHeartbeat(
      name,
      started.map(({ uid, task, attempt }) => ({ uid, task, attempt, state: "running" as const })),
    );
  }
}

/** Returns a leader with tasks on its machines, and a follower that may keep a standby cache. */
function leaderAndStandby(standbyBytes = MAX_STANDBY_BYTES): {
  leader: ControllerHarness;
  follower: ControllerHarness;
  advanceBoth: (ms: number) => void;
} {
  const store = new FakeStore();
  const leader = new ControllerHarness("n0", store).becomeLeader();
  const follower = new ControllerHarness("n1", store, { standbyBytes });
  follower.now = leader.now;
  const advanceBoth = (ms: number) => {
    for (let passed = 0; passed < ms; passed += 100) {
      if (passed % 1000 === 0) reportAllRunning(leader);
      leader.advance(100);
      follower.advance(100);
    }
  };
  reportAllRunning(leader);
  leader.submit(jobSpec("j-1", { tasks: 3, estimateS: 600 }));
  leader.submit(jobSpec("j-2", { tasks: 2, estimateS: 600, team: "blue" }));
  for (let i = 0; i < 3; i++) {
    advanceBoth(500);
    reportAllRunning(leader);
  }
  return { leader, follower, advanceBoth };
}

/** Lets the leader's lease expire without a resignation, so that the follower is elected. */
function failOverTo(follower: ControllerHarness): void {
  follower.listedPrefixes.length = 0;
  follower.now += 4000;
  follower.store.expire(follower.now);
  follower.advance(2000);
}

/** The standby section of a node's status. */
function standbyStatusOf(harness: ControllerHarness): Record<string, unknown> {
  return harness.controller.status().standby as Record<string, unknown>;
}

/** The cluster state with which a leader starts, in a form that can be compared. */
function clusterStateOf(harness: ControllerHarness): unknown {
  const { leaderTerm } = harness.controller;
  assert.ok(leaderTerm?.agents.areRecordsLoaded, "it is leader and has loaded its records");
  const { jobs, machines } = leaderTerm.cluster;
  return {
    jobs: [...jobs.values()].map(({ uid, state, version, doneCount, placements }) => ({
      uid,
      state,
      version,
      doneCount,
      placements: [...placements.values()].map((placement) => [
        placement.task,
        placement.machine.name,
        placement.incarnation,
        placement.attempt,
      ]),
    })),
    machines: [...machines.values()].map(({ name, address, typeName, zone, recordIndex }) => [
      name,
      address,
      typeName,
      zone,
      recordIndex,
    ]),
  };
}

test("a warm standby becomes leader without reading the records again, with the same cluster state as a cold one", () => {
  const { follower, advanceBoth } = leaderAndStandby();
  advanceBoth(6000);
  assert.equal(standbyStatusOf(follower).state, "warm");

  const coldNode = new ControllerHarness("n2", copyOfStore(follower.store));
  coldNode.now = follower.now;
  failOverTo(follower);
  failOverTo(coldNode);

  assert.equal(follower.controller.failover.takeover.source, "warm");
  assert.deepEqual(
    follower.listedPrefixes.filter((prefix) => RECORDS.includes(prefix)),
    [],
  );
  assert.equal(coldNode.controller.failover.takeover.source, "cold");
  assert.deepEqual(clusterStateOf(follower), clusterStateOf(coldNode));
});

/** Copies a store with its records and history, but without a leader. */
function copyOfStore(store: FakeStore): FakeStore {
  const copy = new FakeStore();
  for (const [key, item] of store.entries)
    if (key !== "c/leader") copy.entries.set(key, structuredClone(item));
  copy.revision = store.revision;
  copy.log.push(...store.log);
  return copy;
}

test("a cancellation and a placement written between the last watch response and the election are in the new leader's cluster state", () => {
  const { leader, follower, advanceBoth } = leaderAndStandby();
  advanceBoth(6000);
  // From here on the follower's watches hang, while a third node confirms a cancellation and the leader places a job.
  const isWatch = (call: StoreRequest) =>
    call.kind === "watch" && call.waitMs > 0 && RECORDS.includes(call.prefix);
  follower.storeRule = (call) => (isWatch(call) ? "hang" : null);
  const thirdNode = new ControllerHarness("n2", leader.store);
  thirdNode.now = leader.now;
  thirdNode.advance(1000);
  leader.submit(jobSpec("j-3", { tasks: 1, estimateS: 600 }));
  leader.advance(500);

  assert.equal(thirdNode.cancel("j-1")?.kind, "status");

  failOverTo(follower);
  assert.equal(follower.controller.failover.takeover.source, "warm");

  const cluster = follower.controller.leaderTerm?.cluster;
  assert.equal(cluster?.jobByUid("j-1")?.state, "cancelled");
  assert.equal(cluster.jobByUid("j-3")?.placements.size, 1, "its placement is restored");
});

test("records of both layouts are in the new leader's cluster state if the feature gate opens between the last watch response and the election", () => {
  const { leader, follower, advanceBoth } = leaderAndStandby();
  advanceBoth(6000);
  const keysBefore = [...leader.store.entries.keys()].filter((key) => key.startsWith("p/"));
  const isWatch = (call: StoreRequest) =>
    call.kind === "watch" && call.waitMs > 0 && RECORDS.includes(call.prefix);
  follower.storeRule = (call) => (isWatch(call) ? "hang" : null);
  leader.store.run(
    { kind: "transaction", conditions: [], changes: [{ put: "c/features", value: { layout: 2 } }] },
    0,
  );
  leader.advance(1000);
  leader.submit(jobSpec("j-5", { tasks: 2, estimateS: 600 }));
  leader.advance(500);
  const addedKeys = [...leader.store.entries.keys()].filter(
    (key) => key.startsWith("p/") && !keysBefore.includes(key),
  );

  assert.match(addedKeys.join(), /^p\/j-5\/0\.\d+$/, "a chunk of the new layout");

  const coldNode = new ControllerHarness("n2", copyOfStore(follower.store));
  coldNode.now = follower.now;
  failOverTo(follower);
  failOverTo(coldNode);

  assert.equal(follower.controller.failover.takeover.source, "warm");
  assert.deepEqual(clusterStateOf(follower), clusterStateOf(coldNode));
});

// Guards against a leader that acts on a record cache that it cannot prove to be current (I1).
for (const [condition, response, why] of [
  ["the store has compacted the changes since", { kind: "compacted" }, "changes no longer kept"],
  [
    "the store's revision has decreased",
    { kind: "events", events: [], revision: 1 },
    "the state service went back",
  ],
  ["the store does not respond", { kind: "timeout" }, "no answer"],
] as readonly [string, StoreResponse, string][]) {
  test(`the record cache is refused and the records are read if ${condition}`, () => {
    const { leader, follower, advanceBoth } = leaderAndStandby();
    advanceBoth(6000);
    assert.equal(standbyStatusOf(follower).state, "warm");

    leader.submit(jobSpec("j-9", { tasks: 1, estimateS: 600 }));
    leader.advance(500);
    follower.storeRule = (call) => (call.kind === "watch" && call.waitMs === 0 ? response : null);
    failOverTo(follower);

    assert.equal(follower.controller.failover.takeover.source, "cold");
    assert.equal(follower.controller.failover.takeover.coldReason, why);
    assert.ok(RECORDS.every((prefix) => follower.listedPrefixes.includes(prefix)));
    assert.equal(follower.controller.leaderTerm?.cluster.jobByUid("j-9")?.placements.size, 1);
    assert.ok(follower.logLines.includes("standby cache not used"));
  });
}

test("a watch that times out makes the standby cold with a reason, and the standby catches up without a new range read", () => {
  const { leader, follower, advanceBoth } = leaderAndStandby();
  advanceBoth(6000);
  // The open watches respond with the next change; later watches time out.
  leader.submit(jobSpec("j-4", { tasks: 1, estimateS: 600 }));
  advanceBoth(200);
  follower.storeRule = (call) => (call.kind === "watch" ? { kind: "timeout" } : null);
  advanceBoth(1000);

  assert.equal(standbyStatusOf(follower).state, "cold");
  assert.equal(standbyStatusOf(follower).why, "the state service does not answer");

  follower.listedPrefixes.length = 0;
  follower.storeRule = null;
  advanceBoth(3000);

  assert.equal(standbyStatusOf(follower).state, "warm");
  assert.deepEqual(
    follower.listedPrefixes.filter((prefix) => RECORDS.includes(prefix)),
    [],
  );
});

test("compacted changes make the standby cold until it has read all records again", () => {
  const { leader, follower, advanceBoth } = leaderAndStandby();
  advanceBoth(6000);
  follower.listedPrefixes.length = 0;
  leader.submit(jobSpec("j-4", { tasks: 1, estimateS: 600 }));
  leader.store.compactedThrough = leader.store.revision;
  advanceBoth(300);

  assert.equal(standbyStatusOf(follower).state, "cold");

  advanceBoth(5000);
  assert.equal(standbyStatusOf(follower).state, "warm");
  assert.ok(follower.listedPrefixes.includes("j/"));
});

test("records beyond the memory limit make the standby cold, free its cache, and do not prevent a cold failover", () => {
  const { follower, advanceBoth } = leaderAndStandby(500);
  advanceBoth(6000);
  const { state, why, bytes } = standbyStatusOf(follower);

  assert.equal(state, "cold");
  assert.match(String(why), /the records take \d+ bytes, more than 500/);
  assert.equal(bytes, 0);

  failOverTo(follower);
  assert.equal(follower.controller.failover.takeover.source, "cold");
  assert.ok(follower.controller.leaderTerm?.agents.areRecordsLoaded);
});

// Guards against checking the limit only once a list is complete: the first read of a large store exceeded it.
test("a range read stops at the page that exceeds the memory limit", () => {
  const store = new FakeStore();
  store.pageSize = 5;
  for (let i = 0; i < 50; i++)
    store.run(
      {
        kind: "transaction",
        conditions: [],
        changes: [{ put: `p/j-9${i}/0`, value: { kind: "x".repeat(100) } }],
      },
      0,
    );
  const leader = new ControllerHarness("n0", store).becomeLeader();
  const follower = new ControllerHarness("n1", store, { standbyBytes: 3000 });
  follower.now = leader.now;
  for (let passed = 0; passed < 6000; passed += 100) {
    leader.advance(100);
    follower.advance(100);
  }

  assert.match(String(standbyStatusOf(follower).why), /more than 3000/);

  const pages = follower.listedPrefixes.filter((prefix) => prefix === "p/").length;
  assert.ok(pages >= 1 && pages <= 4, `${pages} of 10 pages`);
});

test("a record that cannot be decoded is logged by a warm standby, as by a cold read, and kept", () => {
  const { follower, advanceBoth } = leaderAndStandby();
  follower.store.run(
    { kind: "transaction", conditions: [], changes: [{ put: "m/7", value: { machines: "?" } }] },
    0,
  );
  advanceBoth(6000);
  failOverTo(follower);

  assert.equal(follower.controller.failover.takeover.source, "warm");
  assert.ok(follower.errorLines.includes("unreadable record"));
  assert.ok(follower.store.entries.has("m/7"));
});

test("the status of a standby whose node falls behind gives that as the reason", () => {
  const { follower, advanceBoth } = leaderAndStandby();
  advanceBoth(6000);
  follower.now += 5000;
  follower.handle({ kind: "tick" });

  assert.equal(standbyStatusOf(follower).why, "this node is behind with its work");
});

test("the standby is the first reachable node by name that is not the leader, excluding nodes of the previous version", () => {
  const peer = (node: string, isAlive: boolean, warmth: "cold" | "warm" | undefined) => ({
    node,
    isAlive,
    warmth,
  });
  assert.equal(isStandby("n1", "n0", [peer("n0", true, "cold"), peer("n2", true, "cold")]), true);
  assert.equal(isStandby("n2", "n0", [peer("n0", true, "cold"), peer("n1", true, "cold")]), false);
  assert.equal(
    isStandby("n2", "n0", [peer("n0", true, "cold"), peer("n1", false, "warm")]),
    true,
    "n1 is unreachable",
  );
  assert.equal(isStandby("n2", "n0", [peer("n1", true, undefined)]), true, "n1 is of the previous version");
  assert.equal(isStandby("n0", "n0", []), false, "n0 is leader");
});

test("while a peer is a warm standby, other nodes defer their campaign, but only briefly", () => {
  const store = new FakeStore();
  const leader = new ControllerHarness("n0", store).becomeLeader();
  const otherNode = new ControllerHarness("n2", store, { standbyBytes: MAX_STANDBY_BYTES });
  otherNode.now = leader.now;
  otherNode.advance(1000);
  const peerHeartbeat = {
    kind: "heartbeat",
    fencingToken: 1,
    leader: "n0",
    storeHealthy: true,
    agentsHeard: 0,
    standby: "warm",
  } as const;
  const electionDelayMs = (isWarm: boolean) => {
    const message = isWarm ? peerHeartbeat : { ...peerHeartbeat, standby: "cold" as const };
    otherNode.handle({ kind: "peerMessage", from: "n1", message });
    store.expire(otherNode.now + 10_000);
    const expiredAt = otherNode.now;
    while (!otherNode.controller.leaderTerm && otherNode.now - expiredAt < 3000) otherNode.advance(100);
    const delayMs = otherNode.now - expiredAt;
    otherNode.controller.election.resign("test");
    return delayMs;
  };
  const deferredMs = electionDelayMs(true);

  assert.ok(deferredMs >= 600 && deferredMs <= 1200, `${deferredMs} ms`);
});

test("the metrics show whether the record cache is warm, how far it lags, and the steps of the last failover", async () => {
  const { follower, advanceBoth } = leaderAndStandby();
  advanceBoth(6000);
  const loop = { batches: 1, lagMs: 0, pendingUsers: 0 };
  const before = await renderMetrics(follower.controller, loop);

  assert.match(before.text, /^hillspindle_standby_warm 1$/m);
  assert.match(before.text, /^hillspindle_standby_lag_revisions 0$/m);
  assert.match(before.text, /^hillspindle_standby_records [1-9]/m);

  failOverTo(follower);
  const after = await renderMetrics(follower.controller, loop);
  assert.match(after.text, /^hillspindle_standby_warm 0$/m);
  for (const phase of ["elected", "confirmed", "ready"])
    assert.match(after.text, new RegExp(`^hillspindle_takeover_${phase}_ms \\d+$`, "m"));
});
