import assert from "node:assert/strict";
import { test } from "node:test";
import { ModelCluster } from "./model/model-cluster.js";
import { jobSpec } from "./support/controller-harness.js";

const STEP_MS = 10;

/** Three nodes with a standby, and enough jobs that some task is always about to start. */
function busyCluster(seed: number): ModelCluster {
  const cluster = new ModelCluster({ seed, standby: true });
  cluster.run(3000);
  for (let i = 0; i < 12; i++)
    cluster.users.submit(jobSpec(`j-${i}`, { tasks: 4, estimateS: 5, team: i % 2 ? "red" : "blue" }));
  cluster.run(15_000);
  return cluster;
}

function leaderOf(cluster: ModelCluster): number {
  const { leader } = cluster.controllers;
  assert.ok(leader, "a node leads");
  return leader.index;
}

function warmStandbys(cluster: ModelCluster): number[] {
  return cluster.nodes.filter((node) => node.core?.failover.standby?.warm).map(({ index }) => index);
}

/** The longest that a lease may outlive its leader. */
const MAX_LEASE_MS = 5000;

/** Plays until the key of the present leader is removed, or another's. */
function runUntilVacant(cluster: ModelCluster, meanwhile: () => void = () => {}): void {
  const version = cluster.store.entries.get("c/leader")?.version;
  const begin = cluster.now;
  // Counted here: virtual time stands still while no event happens.
  for (let ms = 0; cluster.store.entries.get("c/leader")?.version === version; ms += STEP_MS) {
    assert.ok(ms < MAX_LEASE_MS, "the lease expires");
    meanwhile();
    cluster.run(begin + ms);
  }
}

/** Crashes the leader, and waits for the end of its lease. */
function crashLeader(cluster: ModelCluster, downMs: number): void {
  cluster.controllers.crash(leaderOf(cluster), downMs);
  runUntilVacant(cluster);
}

function assertAllDone(cluster: ModelCluster): void {
  assert.deepEqual(cluster.violations, []);
  const unfinished = [...cluster.jobs.values()].filter(({ finishedAt }) => finishedAt === null);
  assert.deepEqual(
    unfinished.map(({ spec }) => spec.uid),
    [],
  );
}

test("the standby crashes at any step of its failover: the third node leads, and no task runs twice", () => {
  for (const afterMs of [0, 20, 50, 100, 150, 200, 300, 500, 1000]) {
    const cluster = busyCluster(afterMs + 1);
    const [standby] = warmStandbys(cluster);
    assert.ok(standby !== undefined, "a standby is warm");
    crashLeader(cluster, 20_000);
    cluster.run(cluster.now + afterMs);
    cluster.controllers.crash(standby, 20_000);
    cluster.run(cluster.now + 8000);
    const next = leaderOf(cluster);
    assert.notEqual(next, standby);
    cluster.run(cluster.now + 60_000);
    assertAllDone(cluster);
  }
});

test("two followers partitioned from each other are both warm standbys; one of them leads, and no task runs twice", () => {
  for (let seed = 1; seed <= 4; seed++) {
    const cluster = busyCluster(seed);
    const leader = leaderOf(cluster);
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

test("a leader paused for 20 s resumes amid placing: the standby has led since, and nothing of the previous leader takes effect", () => {
  for (let seed = 1; seed <= 6; seed++) {
    const cluster = busyCluster(seed);
    const previous = leaderOf(cluster);
    for (let i = 20; i < 30; i++) cluster.users.submit(jobSpec(`j-${i}`, { tasks: 4, estimateS: 5 }));
    // It freezes between deciding and writing: its effects leave it when it goes on.
    cluster.controllers.pause(previous, 20_000);
    // While its lease is valid nobody leads in its place.
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
