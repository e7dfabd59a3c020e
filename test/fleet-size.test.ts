import assert from "node:assert/strict";
import { test } from "node:test";
import { ModelCluster } from "./model/model-cluster.js";
import { jobSpec } from "./support/controller-harness.js";

/**
 * A whole day of the largest fleet in the model cluster: cold start, change of leader, restart of all controllers, a zone
 * cut off for longer than a lease. `npm run test:size` plays 6,000 machines with 100,000 tasks; CI an eighth of it.
 */
const MACHINES = Number(process.env.FLEET_MACHINES ?? 800);
/** The model deployment has eight machines at scale 1. */
const SCALE = MACHINES / 8;
const TASKS = Math.floor((MACHINES * 100_000) / 6000);
const JOBS = 10;
const RED_SHARE = 0.6;
const LEASE_MS = 12_000;
/** Longer than a lease, and so that every agent has sent a heartbeat before the lease of its next incarnation expires. */
const PARTITION_MS = 1.2 * LEASE_MS;
const STORE_RPS = 250;
const CLOUD_RPS = 5;

function submitAll(cluster: ModelCluster): number {
  let tasks = 0;
  for (let i = 0; i < JOBS; i++) {
    const isRed = i < JOBS * RED_SHARE;
    const count = Math.floor(TASKS / JOBS);
    tasks += count;
    const need = { cpu: 300, gpu: 0, ram: 300 };
    const spec = { tasks: count, need, imageGb: 0, estimateS: 36_000, team: isRed ? "red" : "blue" };
    cluster.users.submit(jobSpec(`j-${i}`, spec));
  }
  return tasks;
}

/** Plays until a number of tasks is on machines; returns how long that took. */
function playUntilPlaced(cluster: ModelCluster, tasks: number, maxMs: number): number {
  const begin = cluster.now;
  while (cluster.runningTasks.size < tasks && cluster.now - begin < maxMs) cluster.run(cluster.now + 500);
  return cluster.now - begin;
}

function leaderOf(cluster: ModelCluster): number {
  const index = cluster.nodes.findIndex((node) => node.core?.leaderTerm?.agents.areRecordsLoaded);
  assert.ok(index >= 0, "a node leads");
  return index;
}

function countUnfenced(cluster: ModelCluster): number {
  const machines = cluster.nodes[leaderOf(cluster)]?.core?.leaderTerm?.cluster.machines.values() ?? [];
  // The agent of a machine provisioned meanwhile may not have been heard yet.
  const isUp = (name: string) => {
    const machine = cluster.machines.get(name);
    return machine?.alive === true && machine.bootedAt < cluster.now - LEASE_MS;
  };
  return [...machines].filter(({ name, fencedAt }) => fencedAt === null && isUp(name)).length;
}

test(`${MACHINES} machines with ${TASKS} tasks: cold start, failover, restart of all controllers, a zone partition`, () => {
  const cluster = new ModelCluster({ seed: 1, scale: SCALE });
  cluster.store.pageSize = 500;
  cluster.run(5000);
  const tasks = submitAll(cluster);
  // Written at four fifths of 100 changes a second, a record of 2 KiB for each 32 tasks.
  const placedMs = playUntilPlaced(cluster, tasks, 30_000 + (tasks / 32) * 25);
  assert.equal(cluster.runningTasks.size, tasks, `placed in ${placedMs} ms`);
  assert.deepEqual(cluster.agents.leases.expired, [], "in the cold start");

  cluster.controllers.crash(leaderOf(cluster), 4000);
  cluster.run(cluster.now + 2 * LEASE_MS);
  assert.equal(countUnfenced(cluster), 0, "after the change of leader");
  for (const node of cluster.nodes) cluster.controllers.crash(node.index, 3000 + 500 * node.index);
  cluster.run(cluster.now + 2 * LEASE_MS);
  assert.equal(countUnfenced(cluster), 0, "after the restart of all");
  assert.deepEqual(
    cluster.agents.leases.expired,
    [],
    "no lease expired of an agent that could send heartbeats",
  );
  assert.equal(cluster.agents.tasks.stops, 0, "nothing was stopped");
  assert.equal(cluster.runningTasks.size, tasks);
  const starts = cluster.agents.tasks.starts;
  assert.equal(starts, tasks, "nothing was started twice");

  const inZone = [...cluster.machines.values()].filter(({ alive, zone }) => alive && zone === "a");
  const cutTasks = inZone.reduce((sum, machine) => sum + machine.tasks.length, 0);
  cluster.faults.partitionZone("a", PARTITION_MS);
  cluster.run(cluster.now + 4 * LEASE_MS);
  const namesInZone = inZone.map(({ name }) => name).sort();
  assert.deepEqual(
    cluster.agents.leases.expired.map(({ machine }) => machine).sort(),
    namesInZone,
    "in that zone alone, once each",
  );
  const restarts = cluster.agents.tasks.starts - starts;
  const ended = cutTasks + cluster.agents.tasks.stops;
  assert.ok(restarts <= ended, `${restarts} starts for ${ended} tasks that were lost or made room`);
  playUntilPlaced(cluster, tasks, 30_000 + (tasks / 32) * 25);
  assert.equal(cluster.runningTasks.size, tasks, "all of it is");
  assert.equal(countUnfenced(cluster), 0, "after the cut");

  assert.deepEqual(cluster.violations, []);
  assert.equal(cluster.store.throttledTransactions, 0, "changes within the rate");
  assert.equal(cluster.store.invalidTransactions, 0, "records within the limits");
  assert.ok(
    cluster.storeNetwork.requests.peakPerSecond <= STORE_RPS,
    `${cluster.storeNetwork.requests.peakPerSecond} store requests in a second`,
  );
  assert.ok(
    cluster.cloud.requests.peakPerSecond <= 2 * CLOUD_RPS,
    `${cluster.cloud.requests.peakPerSecond} cloud calls in a second`,
  );
  assert.ok(
    cluster.storeNetwork.longestRenewalGapMs <= 1000,
    `a leader went ${cluster.storeNetwork.longestRenewalGapMs} ms without renewing`,
  );
});
