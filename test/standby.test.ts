import assert from "node:assert/strict";
import { test } from "node:test";
import type { StoreRequest, StoreResponse } from "../src/core/messages/store.js";
import { renderMetrics } from "../src/shell/metrics.js";
import { standsBy } from "../src/standby/role.js";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";
import { FakeStore } from "./support/fake-store.js";

const MOST_BYTES = 8 * 1024 * 1024;
const MACHINES = ["M0", "M1"];
const RECORDS = ["m/", "p/", "j/"];

/** Every machine reports what it was told to start as running. */
function reportAll(leader: ControllerHarness): void {
  for (const name of MACHINES) {
    const started = leader.sentCommands
      .filter(({ machine }) => machine === name)
      .flatMap(({ commands: orders }) => orders.filter(({ kind: op }) => op === "start"));
    leader.sendHeartbeat(
      name,
      started.map(({ uid, task, attempt }) => ({ uid, task, attempt, state: "running" as const })),
    );
  }
}

/** A leader with work on its machines, and a follower that may keep the records. */
function pair(standbyBytes = MOST_BYTES): {
  leader: ControllerHarness;
  follower: ControllerHarness;
  both: (ms: number) => void;
} {
  const state = new FakeStore();
  const leader = new ControllerHarness("n0", state).becomeLeader();
  const follower = new ControllerHarness("n1", state, "n1-1", {}, standbyBytes);
  follower.now = leader.now;
  const both = (ms: number) => {
    for (let passed = 0; passed < ms; passed += 100) {
      if (passed % 1000 === 0) reportAll(leader);
      leader.advance(100);
      follower.advance(100);
    }
  };
  reportAll(leader);
  leader.submit(jobSpec("j-1", { tasks: 3, estimateS: 600 }));
  leader.submit(jobSpec("j-2", { tasks: 2, estimateS: 600, team: "blue" }));
  for (let i = 0; i < 3; i++) {
    both(500);
    reportAll(leader);
  }
  return { leader, follower, both };
}

/** The leader ends; its grant runs out, and the follower takes over. */
function takeOver(follower: ControllerHarness): void {
  follower.listedPrefixes.length = 0;
  follower.now += 4000;
  follower.store.expire(follower.now);
  follower.advance(2000);
}

function standbyOf(b: ControllerHarness): Record<string, unknown> {
  return b.controller.status().standby as Record<string, unknown>;
}

/** What a leader begins with, in words that can be compared. */
function tablesOf(b: ControllerHarness): unknown {
  const { leaderTerm } = b.controller;
  assert.ok(leaderTerm?.agents.areRecordsLoaded, "it leads and has its records");
  const { jobs, machines } = leaderTerm.cluster;
  return {
    jobs: [...jobs.values()].map(({ uid, state, version, doneCount, placements: held }) => ({
      uid,
      state,
      version,
      doneCount,
      held: [...held.values()].map((p) => [p.task, p.machine.name, p.incarnation, p.attempt]),
    })),
    machines: [...machines.values()].map(({ name, address, typeName, zone, recordIndex: bucket }) => [
      name,
      address,
      typeName,
      zone,
      bucket,
    ]),
  };
}

test("a warm follower leads without reading the records again, and with the tables of a cold one", () => {
  const { follower, both } = pair();
  both(6000);
  assert.equal(standbyOf(follower).state, "warm");
  const other = new ControllerHarness("n2", structuredCopy(follower.store));
  other.now = follower.now;
  takeOver(follower);
  takeOver(other);
  assert.equal(follower.controller.failover.takeover.source, "warm");
  assert.deepEqual(
    follower.listedPrefixes.filter((prefix) => RECORDS.includes(prefix)),
    [],
  );
  assert.equal(other.controller.failover.takeover.source, "cold");
  assert.deepEqual(tablesOf(follower), tablesOf(other));
});

function structuredCopy(state: FakeStore): FakeStore {
  const copy = new FakeStore();
  for (const [key, item] of state.entries)
    if (key !== "c/leader") copy.entries.set(key, structuredClone(item));
  copy.revision = state.revision;
  copy.log.push(...state.log);
  return copy;
}

test("what was written between the last follow and the election is in the tables: a cancellation, a placement", () => {
  const { leader, follower, both } = pair();
  both(6000);
  // From here on the follower's watches hang; a third node confirms a cancellation, the leader places another job.
  const isWatch = (call: StoreRequest) =>
    call.kind === "watch" && call.waitMs > 0 && RECORDS.includes(call.prefix);
  follower.storeRule = (call) => (isWatch(call) ? "hang" : null);
  const third = new ControllerHarness("n2", leader.store);
  third.now = leader.now;
  third.advance(1000);
  leader.submit(jobSpec("j-3", { tasks: 1, estimateS: 600 }));
  leader.advance(500);
  assert.equal(third.cancel("j-1")?.kind, "status");
  takeOver(follower);
  assert.equal(follower.controller.failover.takeover.source, "warm");
  const jobs = follower.controller.leaderTerm?.cluster;
  assert.equal(jobs?.jobByUid("j-1")?.state, "cancelled");
  assert.equal(jobs.jobByUid("j-3")?.placements.size, 1, "its placement is known");
});

test("the gate opens between the last follow and the election: records of both layouts are in the tables", () => {
  const { leader, follower, both } = pair();
  both(6000);
  const before = [...leader.store.entries.keys()].filter((key) => key.startsWith("p/"));
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
  const added = [...leader.store.entries.keys()].filter(
    (key) => key.startsWith("p/") && !before.includes(key),
  );
  assert.match(added.join(), /^p\/j-5\/0\.\d+$/, "a chunk of the later layout");
  const other = new ControllerHarness("n2", structuredCopy(follower.store));
  other.now = follower.now;
  takeOver(follower);
  takeOver(other);
  assert.equal(follower.controller.failover.takeover.source, "warm");
  assert.deepEqual(tablesOf(follower), tablesOf(other));
});

// Guarded against: a leader that acts on a copy it can't prove to be the latest.
for (const [what, answer, why] of [
  ["the changes since are no longer kept", { kind: "compacted" }, "changes no longer kept"],
  [
    "the state service has gone back",
    { kind: "events", events: [], revision: 1 },
    "the state service went back",
  ],
  ["no answer comes", { kind: "timeout" }, "no answer"],
] as readonly [string, StoreResponse, string][]) {
  test(`a cache is refused, and the records are read, if ${what}`, () => {
    const { leader, follower, both } = pair();
    both(6000);
    assert.equal(standbyOf(follower).state, "warm");
    leader.submit(jobSpec("j-9", { tasks: 1, estimateS: 600 }));
    leader.advance(500);
    follower.storeRule = (call) => (call.kind === "watch" && call.waitMs === 0 ? answer : null);
    takeOver(follower);
    assert.equal(follower.controller.failover.takeover.source, "cold");
    assert.equal(follower.controller.failover.takeover.why, why);
    assert.ok(RECORDS.every((prefix) => follower.listedPrefixes.includes(prefix)));
    assert.equal(follower.controller.leaderTerm?.cluster.jobByUid("j-9")?.placements.size, 1);
    assert.ok(follower.logLines.includes("the standby's records are not used"));
  });
}

test("a feed that hangs makes the standby cold, and says why; it catches up without a new list", () => {
  const { leader, follower, both } = pair();
  both(6000);
  // The watches under way answer with the next change; those after them get no answer.
  leader.submit(jobSpec("j-4", { tasks: 1, estimateS: 600 }));
  both(200);
  follower.storeRule = (call) => (call.kind === "watch" ? { kind: "timeout" } : null);
  both(1000);
  assert.equal(standbyOf(follower).state, "cold");
  assert.equal(standbyOf(follower).why, "the state service does not answer");
  follower.listedPrefixes.length = 0;
  follower.storeRule = null;
  both(3000);
  assert.equal(standbyOf(follower).state, "warm");
  assert.deepEqual(
    follower.listedPrefixes.filter((prefix) => RECORDS.includes(prefix)),
    [],
  );
});

test("changes that are no longer kept make it cold until all is read again", () => {
  const { leader, follower, both } = pair();
  both(6000);
  follower.listedPrefixes.length = 0;
  leader.submit(jobSpec("j-4", { tasks: 1, estimateS: 600 }));
  leader.store.compactedThrough = leader.store.revision;
  both(300);
  assert.equal(standbyOf(follower).state, "cold");
  both(5000);
  assert.equal(standbyOf(follower).state, "warm");
  assert.ok(follower.listedPrefixes.includes("j/"));
});

test("records beyond the bound make the standby cold, give the memory back, and end nothing", () => {
  const { follower, both } = pair(500);
  both(6000);
  const { state, why, bytes } = standbyOf(follower);
  assert.equal(state, "cold");
  assert.match(String(why), /the records take \d+ bytes, more than 500/);
  assert.equal(bytes, 0);
  takeOver(follower);
  assert.equal(follower.controller.failover.takeover.source, "cold");
  assert.ok(follower.controller.leaderTerm?.agents.areRecordsLoaded);
});

// Guarded against: the bound was looked at only once a list was whole, so the first read of a large store passed it.
test("reading stops at the page with which the records outgrow the bound", () => {
  const state = new FakeStore();
  state.pageSize = 5;
  for (let i = 0; i < 50; i++)
    state.run(
      {
        kind: "transaction",
        conditions: [],
        changes: [{ put: `p/j-9${i}/0`, value: { kind: "x".repeat(100) } }],
      },
      0,
    );
  const leader = new ControllerHarness("n0", state).becomeLeader();
  const follower = new ControllerHarness("n1", state, "n1-1", {}, 3000);
  follower.now = leader.now;
  for (let passed = 0; passed < 6000; passed += 100) {
    leader.advance(100);
    follower.advance(100);
  }
  assert.match(String(standbyOf(follower).why), /more than 3000/);
  const pages = follower.listedPrefixes.filter((prefix) => prefix === "p/").length;
  assert.ok(pages >= 1 && pages <= 4, `${pages} of 10 pages`);
});

test("a record that can't be read is told of as in a cold read, and stays", () => {
  const { follower, both } = pair();
  follower.store.run(
    { kind: "transaction", conditions: [], changes: [{ put: "m/7", value: { machines: "?" } }] },
    0,
  );
  both(6000);
  takeOver(follower);
  assert.equal(follower.controller.failover.takeover.source, "warm");
  assert.ok(follower.errorLines.includes("a record can't be read"));
  assert.ok(follower.store.entries.has("m/7"));
});

test("a standby that stands still follows no more until it keeps up; a slow node is no standby", () => {
  const { follower, both } = pair();
  both(6000);
  follower.now += 5000;
  follower.handle({ kind: "tick" });
  assert.equal(standbyOf(follower).why, "this node is behind with its work");
});

test("the first by name of those that are heard and don't lead stands by; an older version is passed over", () => {
  const peer = (node: string, isHeard: boolean, warmth: "cold" | "warm" | undefined) => ({
    node,
    isHeard,
    warmth,
  });
  assert.equal(standsBy("n1", "n0", [peer("n0", true, "cold"), peer("n2", true, "cold")]), true);
  assert.equal(standsBy("n2", "n0", [peer("n0", true, "cold"), peer("n1", true, "cold")]), false);
  assert.equal(standsBy("n2", "n0", [peer("n0", true, "cold"), peer("n1", false, "warm")]), true, "gone");
  assert.equal(standsBy("n2", "n0", [peer("n1", true, undefined)]), true, "of the version before");
  assert.equal(standsBy("n0", "n0", []), false, "it leads");
});

test("while a peer is warm, the others leave it the election for a moment, and no longer", () => {
  const state = new FakeStore();
  const leader = new ControllerHarness("n0", state).becomeLeader();
  const other = new ControllerHarness("n2", state, "n2-1", {}, MOST_BYTES);
  other.now = leader.now;
  other.advance(1000);
  const beat = {
    kind: "heartbeat",
    fencingToken: 1,
    leader: "n0",
    storeHealthy: true,
    agentsHeard: 0,
    standby: "warm",
  } as const;
  const electedAfter = (isWarm: boolean) => {
    const message = isWarm ? beat : { ...beat, standby: "cold" as const };
    other.handle({ kind: "peerMessage", from: "n1", message });
    state.expire(other.now + 10_000);
    const begin = other.now;
    while (!other.controller.leaderTerm && other.now - begin < 3000) other.advance(100);
    const took = other.now - begin;
    other.controller.election.resign("test");
    return took;
  };
  const deferred = electedAfter(true);
  assert.ok(deferred >= 600 && deferred <= 1200, `${deferred} ms`);
});

test("the metrics tell whether the cache is warm, how far it is behind, and the steps of the last takeover", async () => {
  const { follower, both } = pair();
  both(6000);
  const loop = { batches: 1, lagMs: 0, waiting: 0 };
  const before = await renderMetrics(follower.controller, loop);
  assert.match(before.text, /^hillspindle_standby_warm 1$/m);
  assert.match(before.text, /^hillspindle_standby_lag_revisions 0$/m);
  assert.match(before.text, /^hillspindle_standby_records [1-9]/m);
  takeOver(follower);
  const after = await renderMetrics(follower.controller, loop);
  assert.match(after.text, /^hillspindle_standby_warm 0$/m);
  for (const phase of ["elected", "confirmed", "ready"])
    assert.match(after.text, new RegExp(`^hillspindle_takeover_${phase}_ms \\d+$`, "m"));
});
