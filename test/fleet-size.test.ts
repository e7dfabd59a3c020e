import assert from "node:assert/strict";
import { test } from "node:test";
import { ModelCluster } from "./model/model-cluster.js";
import { jobSpec } from "./support/controller-harness.js";

/**
 * Simulates a scenario with the largest fleet: a cold start, a failover, a restart of all controllers and a network
 * partition of a zone that outlasts the agent leases. `npm run test:size` uses 6,000 machines with 100,000 tasks, CI
 * about an eighth of that.
 */
const MACHINES = Number(process.env.FLEET_MACHINES ?? 800);
/** The simulated deployment has eight machines at scale 1. */
const SCALE = MACHINES / 8;
const TASKS = Math.floor((MACHINES * 100_000) / 6000);
const JOBS = 10;
const RED_SHARE = 0.6;
const LEASE_MS = 12_000;
/**
 * Outlasts an agent lease, but ends early enough for every agent to send a heartbeat before the lease of its next
 * incarnation expires.
 */
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

/** Runs the simulation until the given number of tasks is running, or for `maxMs`; returns the simulated time in ms. */
function runUntilPlaced(cluster: ModelCluster, tasks: number, maxMs: number): number {
  const startedAt = cluster.now;
  while (cluster.runningTasks.size < tasks && cluster.now - startedAt < maxMs) cluster.run(cluster.now + 500);
  return cluster.now - startedAt;
}

function leaderIndexOf(cluster: ModelCluster): number {
  const index = cluster.nodes.findIndex((node) => node.core?.leaderTerm?.agents.areRecordsLoaded);
  assert.ok(index >= 0, "there is a leader that has loaded its records");
  return index;
}

function countUnfenced(cluster: ModelCluster): number {
  const machines = cluster.nodes[leaderIndexOf(cluster)]?.core?.leaderTerm?.cluster.machines.values() ?? [];
  // The agent of a recently provisioned machine may not have sent a heartbeat yet.
  const isUp = (name: string) => {
    const machine = cluster.machines.get(name);
    return machine?.alive === true && machine.bootedAt < cluster.now - LEASE_MS;
  };
  return [...machines].filter(({ name, fencedAt }) => fencedAt === null && isUp(name)).length;
}

test(`${MACHINES} machines with ${TASKS} tasks: cold start, failover, restart of all controllers, network partition of a zone`, () => {
  const cluster = new ModelCluster({ seed: 1, scale: SCALE });
  cluster.store.pageSize = 500;
  cluster.run(5000);
  const tasks = submitAll(cluster);
  // One record of 2 KiB holds 32 tasks; records are written at four fifths of the limit of 100 changes per second.
  // The time limit is twice as long as that takes, plus 30 s.
  const placedMs = runUntilPlaced(cluster, tasks, 30_000 + (tasks / 32) * 25);
  assert.equal(cluster.runningTasks.size, tasks, `tasks running after ${placedMs} ms`);
  assert.deepEqual(cluster.agents.leases.expired, [], "no agent lease expires during the cold start");

  cluster.controllers.crash(leaderIndexOf(cluster), 4000);
  cluster.run(cluster.now + 2 * LEASE_MS);
  assert.equal(countUnfenced(cluster), 0, "all agents are fenced after the failover");
  for (const node of cluster.nodes) cluster.controllers.crash(node.index, 3000 + 500 * node.index);
  cluster.run(cluster.now + 2 * LEASE_MS);
  assert.equal(countUnfenced(cluster), 0, "all agents are fenced after the restart of all controllers");
  assert.deepEqual(
    cluster.agents.leases.expired,
    [],
    "no lease expires of an agent that can send heartbeats",
  );
  assert.equal(cluster.agents.tasks.stops, 0, "no task is stopped");
  assert.equal(cluster.runningTasks.size, tasks);
  const starts = cluster.agents.tasks.starts;
  assert.equal(starts, tasks, "no task is started twice");

  const machinesInZone = [...cluster.machines.values()].filter(({ alive, zone }) => alive && zone === "a");
  const partitionedTasks = machinesInZone.reduce((sum, machine) => sum + machine.tasks.length, 0);
  cluster.faults.partitionZone("a", PARTITION_MS);
  cluster.run(cluster.now + 4 * LEASE_MS);
  const namesInZone = machinesInZone.map(({ name }) => name).sort();
  assert.deepEqual(
    cluster.agents.leases.expired.map(({ machine }) => machine).sort(),
    namesInZone,
    "leases expire only in the partitioned zone, one per machine",
  );
  const restarts = cluster.agents.tasks.starts - starts;
  const lostOrStopped = partitionedTasks + cluster.agents.tasks.stops;
  assert.ok(
    restarts <= lostOrStopped,
    `${restarts} restarts for ${lostOrStopped} tasks that were lost or stopped`,
  );
  runUntilPlaced(cluster, tasks, 30_000 + (tasks / 32) * 25);
  assert.equal(cluster.runningTasks.size, tasks, "all tasks are running again");
  assert.equal(countUnfenced(cluster), 0, "all agents are fenced after the network partition");

  assert.deepEqual(cluster.violations, []);
  assert.equal(cluster.store.throttledTransactions, 0, "the store throttles no request");
  assert.equal(cluster.store.invalidTransactions, 0, "no request exceeds the limits of the store");
  assert.ok(
    cluster.storeNetwork.requests.peakPerSecond <= STORE_RPS,
    `${cluster.storeNetwork.requests.peakPerSecond} store requests per second at the peak`,
  );
  assert.ok(
    cluster.cloud.requests.peakPerSecond <= 2 * CLOUD_RPS,
    `${cluster.cloud.requests.peakPerSecond} cloud requests per second at the peak`,
  );
  assert.ok(
    cluster.storeNetwork.longestRenewalGapMs <= 1000,
    `a leader did not renew its lease for ${cluster.storeNetwork.longestRenewalGapMs} ms`,
  );
});
