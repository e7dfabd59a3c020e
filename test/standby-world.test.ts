import assert from "node:assert/strict";
import { test } from "node:test";
import { ModelCluster } from "./model/model-cluster.js";
import { jobSpec } from "./support/controller-harness.js";

const STEP_MS = 10;

/** Returns a cluster of three nodes with a standby, and enough jobs that some task start is always pending. */
function busyCluster(seed: number): ModelCluster {
  const cluster = new ModelCluster({ seed, standby: true });
  cluster.run(3000);
  for (let i = 0; i < 12; i++)
    cluster.users.submit(jobSpec(`j-${i}`, { tasks: 4, estimateS: 5, team: i % 2 ? "red" : "blue" }));
  cluster.run(15_000);
  return cluster;
}

function leaderIndexOf(cluster: ModelCluster): number {
  const { leader } = cluster.controllers;
  assert.ok(leader, "a node is leader");
  return leader.index;
}

function warmStandbys(cluster: ModelCluster): number[] {
  return cluster.nodes.filter((node) => node.core?.failover.standby?.warm).map(({ index }) => index);
}

/** The longest time for which a leader lease may outlive its holder. */
const MAX_LEASE_MS = 5000;

/** Runs the simulation until the current leader's key is removed or replaced. */
function runUntilVacant(cluster: ModelCluster, onStep: () => void = () => {}): void {
  const version = cluster.store.entries.get("c/leader")?.version;
  const startedAt = cluster.now;
  // Counted separately, as the fake clock stands still while no event is due.
  for (let ms = 0; cluster.store.entries.get("c/leader")?.version === version; ms += STEP_MS) {
    assert.ok(ms < MAX_LEASE_MS, "the lease expires");
    onStep();
    cluster.run(startedAt + ms);
  }
}

/** Crashes the leader and runs the simulation until its lease has expired. */
function crashLeader(cluster: ModelCluster, downMs: number): void {
  cluster.controllers.crash(leaderIndexOf(cluster), downMs);
  runUntilVacant(cluster);
}

/** Asserts that no rule was violated, such as by a task that ran twice, and that every job finished. */
function assertAllDone(cluster: ModelCluster): void {
  assert.deepEqual(cluster.violations, []);
  const unfinished = [...cluster.jobs.values()].filter(({ finishedAt }) => finishedAt === null);
  assert.deepEqual(
    unfinished.map(({ spec }) => spec.uid),
    [],
  );
}

test("if the standby crashes at any step of its failover, the third node becomes leader, and no task runs twice", () => {
  for (const afterMs of [0, 20, 50, 100, 150, 200, 300, 500, 1000]) {
    const cluster = busyCluster(afterMs + 1);
    const [standby] = warmStandbys(cluster);
    assert.ok(standby !== undefined, "a standby is warm");
    crashLeader(cluster, 20_000);
    cluster.run(cluster.now + afterMs);
    cluster.controllers.crash(standby, 20_000);
    cluster.run(cluster.now + 8000);
    const next = leaderIndexOf(cluster);
    assert.notEqual(next, standby);
    cluster.run(cluster.now + 60_000);
    assertAllDone(cluster);
  }
});

test("two followers partitioned from each other are both warm standbys; one of them becomes leader, and no task runs twice", () => {
  for (let seed = 1; seed <= 4; seed++) {
    const cluster = busyCluster(seed);
    const leader = leaderIndexOf(cluster);
    const followers = cluster.nodes.filter(({ index }) => index !== leader);
    for (const node of followers) node.peersPartitionedUntil = cluster.now + 60_000;
    cluster.run(cluster.now + 12_000);
    assert.deepEqual(
      warmStandbys(cluster),
      followers.map(({ index }) => index),
    );
    for (let i = 20; i < 26; i++) cluster.users.submit(jobSpec(`j-${i}`, { tasks: 4, estimateS: 5 }));
    cluster.run(cluster.now + 500);
    crashLeader(cluster, 4000);
    cluster.run(cluster.now + 70_000);
    assert.ok(cluster.log.takeoverSources.includes("warm"));
    assertAllDone(cluster);
  }
});

test("if a leader is paused for 20 s while it places tasks, the standby replaces it, and the previous leader's late effects change nothing", () => {
  for (let seed = 1; seed <= 6; seed++) {
    const cluster = busyCluster(seed);
    const previous = leaderIndexOf(cluster);
    for (let i = 20; i < 30; i++) cluster.users.submit(jobSpec(`j-${i}`, { tasks: 4, estimateS: 5 }));
    // The leader is paused between a decision and its write, and sends the effects when it resumes.
    cluster.controllers.pause(previous, 20_000);
    // While its lease is valid no other node is leader.
    runUntilVacant(cluster, () => {
      assert.ok(cluster.nodes.every(({ index, core }) => index === previous || !core?.leaderTerm));
    });
    cluster.run(cluster.now + 2000);
    const leaders = cluster.nodes.filter(({ index, core }) => index !== previous && core?.leaderTerm);
    assert.equal(leaders.length, 1);
    assert.equal(cluster.log.takeoverSources.at(-1), "warm");
    cluster.run(cluster.now + 70_000);
    assertAllDone(cluster);
  }
});
