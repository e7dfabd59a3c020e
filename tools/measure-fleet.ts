import { openCluster } from "./loopback/cluster.js";
import { callNode, findLeader, jobBody, NODES, sleep } from "./loopback/nodes.js";

/**
 * Runs three real controllers on loopback with thousands of fake agents. Measures memory and CPU time per heartbeat in
 * the steady state, and expired agent leases after a failover, a restart of all nodes and the loss of two nodes. For
 * the remaining node it also measures memory and user response times.
 *   node target/test/tools/measure-fleet.js MACHINES [TASKS_PER_MACHINE]
 */
const machines = Number(process.argv[2] ?? 1000);
const tasksPerMachine = Number(process.argv[3] ?? 8);
const HEARTBEAT_S = 2.5;
const LEASE_S = 15;
const LEASE_MS = LEASE_S * 1000;
const JOBS = 10;
const TASK_MS = 3_600_000;
const STEADY_MS = 20_000;
const POLL_MS = 500;
const MAX_POLLS = 240;
const USER_INTERVAL_MS = 250;
/** User load starts after this delay, within which the remaining node should be elected. */
const ELECTION_MS = 15_000;
const LAST_NODE_SAMPLES = 9;

const maxConnections = Number(process.env.MAX_CONNECTIONS ?? Math.ceil(machines * 0.6) + 300);
const { store, fleet, nodes } = openCluster({
  machines,
  runMs: () => TASK_MS,
  maxConnections,
  heartbeatS: HEARTBEAT_S,
  leaseS: LEASE_S,
  logLevel: "info",
});

/** Repeatedly submits and polls a job at one node, and records response times and failures. */
class UserLoad {
  readonly #node: number;
  readonly #latenciesMs: number[] = [];
  #failed = 0;
  #timer: NodeJS.Timeout | null = null;
  #submitted = 0;

  constructor(node: number) {
    this.#node = node;
  }

  start(): void {
    this.#timer = setInterval(() => void this.#submitAndPoll(), USER_INTERVAL_MS);
  }

  stop(): void {
    if (this.#timer) clearInterval(this.#timer);
  }

  async #submitAndPoll(): Promise<void> {
    const uid = `j-7${++this.#submitted}`;
    await this.#time(() => callNode(this.#node, "/api/jobs", jobBody(uid, 1, 0.5)));
    await this.#time(() => callNode(this.#node, `/api/jobs/${uid}`));
  }

  async #time(request: () => Promise<unknown>): Promise<void> {
    const sentAt = performance.now();
    if ((await request()) === null) this.#failed++;
    else this.#latenciesMs.push(performance.now() - sentAt);
  }

  describe(): string {
    const sorted = [...this.#latenciesMs].sort((a, b) => a - b);
    const at = (quantile: number) => Math.round(sorted[Math.floor(quantile * (sorted.length - 1))] ?? 0);
    return `${sorted.length} user requests answered in ${at(0.5)}/${at(0.95)}/${at(1)} ms (median/95%/maximum), ${this.#failed} rejected or not answered within 2 s`;
  }
}

async function waitFor(condition: string, isMet: () => Promise<boolean> | boolean): Promise<void> {
  for (let i = 0; i < MAX_POLLS; i++) {
    if (await isMet()) return;
    await sleep(POLL_MS);
  }
  throw new Error(`timed out waiting for ${condition}`);
}

async function fillMachines(): Promise<void> {
  const tasks = machines * tasksPerMachine;
  for (let i = 0; i < JOBS; i++) {
    const body = jobBody(`j-${i}`, tasks / JOBS, 1.5);
    await waitFor(
      `job ${i} to be accepted`,
      async () => (await callNode(i % NODES.length, "/api/jobs", body)) !== null,
    );
  }
  await waitFor("all tasks to be placed", () => fleet.taskCount >= tasks);
}

async function measureSteadyState(leader: number): Promise<void> {
  const cpuMsBefore = NODES.map((_, node) => nodes.usage(node).cpuMs);
  const heartbeatsBefore = fleet.answeredHeartbeats;
  const requestsBefore = store.requests;
  await sleep(STEADY_MS);
  const heartbeats = fleet.answeredHeartbeats - heartbeatsBefore;
  const requests = store.requests - requestsBefore;
  console.log(
    `machines ${machines}, tasks ${fleet.taskCount}, max_connections ${maxConnections}, expired leases ${fleet.expiredLeases}`,
  );
  console.log(
    `steady state: ${(heartbeats * 1000) / STEADY_MS} heartbeats/s, ${(requests * 1000) / STEADY_MS} store requests/s`,
  );
  for (const node of NODES.keys()) {
    const { cpuMs, residentMb, peakMb } = nodes.usage(node);
    const share = (((cpuMs - (cpuMsBefore[node] ?? 0)) / STEADY_MS) * 100).toFixed(1);
    const role = node === leader ? "leader" : "follower";
    console.log(`${role}: ${share}% of a core, ${residentMb} MB, peak ${peakMb} MB`);
  }
  const totalCpuMs = NODES.reduce(
    (sum, _, node) => sum + nodes.usage(node).cpuMs - (cpuMsBefore[node] ?? 0),
    0,
  );
  console.log(`CPU time per heartbeat, all nodes: ${((totalCpuMs * 1000) / heartbeats).toFixed(0)} us`);
}

async function measureFailover(leader: number, expiredBefore: number): Promise<void> {
  const killedAt = performance.now();
  nodes.kill(leader);
  await waitFor("another leader", async () => {
    const next = await findLeader();
    return next !== null && next !== leader;
  });
  console.log(`failover: next leader after ${Math.round(performance.now() - killedAt)} ms`);
  nodes.start(leader);
  await sleep(2 * LEASE_MS);
  console.log(
    `after failover: ${fleet.expiredLeases - expiredBefore} expired leases, ${fleet.taskCount} tasks`,
  );
}

async function measureRestart(expiredBefore: number): Promise<void> {
  nodes.killAll();
  await sleep(1000);
  nodes.startAll();
  await sleep(2 * LEASE_MS);
  console.log(
    `after restart of all nodes: ${fleet.expiredLeases - expiredBefore} expired leases, ${fleet.taskCount} tasks`,
  );
}

/** Leaves a single follower running, which must be elected before it can accept heartbeats. */
async function measureLastNode(expiredBefore: number): Promise<void> {
  const leader = (await findLeader()) ?? 0;
  const lastNode = (leader + 1) % NODES.length;
  for (const node of NODES.keys()) if (node !== lastNode) nodes.kill(node);
  const { failedHeartbeats, answeredHeartbeats } = fleet;
  const users = new UserLoad(lastNode);
  const startTimer = setTimeout(() => users.start(), ELECTION_MS);
  for (let i = 0; i < LAST_NODE_SAMPLES; i++) {
    await sleep(LEASE_MS / 3);
    console.log(
      `  one node left: ${fleet.expiredLeases - expiredBefore} expired leases, ${fleet.answeredHeartbeats - answeredHeartbeats} heartbeats answered, ${fleet.failedHeartbeats - failedHeartbeats} failed, ${fleet.taskCount} tasks`,
    );
  }
  clearTimeout(startTimer);
  users.stop();
  const status = await callNode(lastNode, "/admin/status");
  console.log(
    `  meanwhile: ${users.describe()}; fencing token ${status?.token}, confirmed ${status?.confirmed}`,
  );
  const { residentMb, peakMb } = nodes.usage(lastNode);
  console.log(`remaining node: ${residentMb} MB, peak ${peakMb} MB`);
}

try {
  nodes.startAll();
  await waitFor("a leader", async () => (await findLeader()) !== null);
  fleet.start();
  await fillMachines();
  await sleep(5000);
  const leader = (await findLeader()) ?? 0;
  await measureSteadyState(leader);
  // Expired leases are counted from here on, across the following three measurements.
  const expiredBefore = fleet.expiredLeases;
  await measureFailover(leader, expiredBefore);
  await measureRestart(expiredBefore);
  await measureLastNode(expiredBefore);
  console.log(`duplicated placements: ${fleet.history.findDuplicates().length}`);
} finally {
  nodes.killAll();
  console.log(`logs: ${nodes.logFolder}`);
  process.exit();
}
