import { openCluster } from "./loopback/cluster.js";
import { ask, findLeader, jobBody, NODES, sleep } from "./loopback/nodes.js";

/**
 * Three real controllers on loopback with thousands of stand-in agents: memory and processor time per heartbeat and
 * machine, in the steady state, after a failover, after a restart of all nodes, and with one node left.
 *   node target/test/tools/measure-fleet.js MACHINES [TASKS_A_MACHINE]
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
const POLLS = 240;
const USER_INTERVAL_MS = 250;
/** Users begin once the node that is left can have been elected. */
const ELECTION_MS = 15_000;
const LAST_NODE_LINES = 9;

const maxConnections = Number(process.env.MAX_CONNECTIONS ?? Math.ceil(machines * 0.6) + 300);
const { store, fleet, nodes } = openCluster({
  machines,
  runMs: () => TASK_MS,
  maxConnections,
  heartbeatS: HEARTBEAT_S,
  leaseS: LEASE_S,
  logLevel: "info",
});

/** Users at one node: a job submitted and polled, again and again. How long each answer took, and how many never came. */
class UserLoad {
  readonly #node: number;
  readonly #latenciesMs: number[] = [];
  #unanswered = 0;
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
    await this.#time(() => ask(this.#node, "/api/jobs", jobBody(uid, 1, 0.5)));
    await this.#time(() => ask(this.#node, `/api/jobs/${uid}`));
  }

  async #time(request: () => Promise<unknown>): Promise<void> {
    const askedAt = performance.now();
    if ((await request()) === null) this.#unanswered++;
    else this.#latenciesMs.push(performance.now() - askedAt);
  }

  describe(): string {
    const sorted = [...this.#latenciesMs].sort((a, b) => a - b);
    const at = (part: number) => Math.round(sorted[Math.floor(part * (sorted.length - 1))] ?? 0);
    return `${sorted.length} requests of users answered in ${at(0.5)}/${at(0.95)}/${at(1)} ms (median/95%/worst), ${this.#unanswered} refused or not answered in 2 s`;
  }
}

async function waitFor(what: string, isTrue: () => Promise<boolean> | boolean): Promise<void> {
  for (let i = 0; i < POLLS; i++) {
    if (await isTrue()) return;
    await sleep(POLL_MS);
  }
  throw new Error(`never came: ${what}`);
}

async function fillMachines(): Promise<void> {
  const tasks = machines * tasksPerMachine;
  for (let i = 0; i < JOBS; i++) {
    const body = jobBody(`j-${i}`, tasks / JOBS, 1.5);
    await waitFor(`job ${i}`, async () => (await ask(i % NODES.length, "/api/jobs", body)) !== null);
  }
  await waitFor("all tasks placed", () => fleet.taskCount >= tasks);
}

async function measureSteadyState(leader: number): Promise<void> {
  const cpuMsBefore = NODES.map((_, node) => nodes.usage(node).cpuMs);
  const heartbeatsBefore = fleet.answeredHeartbeats;
  const requestsBefore = store.requests;
  await sleep(STEADY_MS);
  const heartbeats = fleet.answeredHeartbeats - heartbeatsBefore;
  const requests = store.requests - requestsBefore;
  console.log(
    `machines ${machines}, tasks ${fleet.taskCount}, max_connections ${maxConnections}, leases lost ${fleet.expiredLeases}`,
  );
  console.log(
    `steady: ${(heartbeats * 1000) / STEADY_MS} reports/s, ${(requests * 1000) / STEADY_MS} state requests/s`,
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
  console.log(`processor time per report, all nodes: ${((totalCpuMs * 1000) / heartbeats).toFixed(0)} us`);
}

async function measureFailover(leader: number, expiredBefore: number): Promise<void> {
  const killedAt = performance.now();
  nodes.kill(leader);
  await waitFor("another leader", async () => {
    const next = await findLeader();
    return next !== null && next !== leader;
  });
  console.log(`failover: led again after ${Math.round(performance.now() - killedAt)} ms`);
  nodes.start(leader);
  await sleep(2 * LEASE_MS);
  console.log(`after failover: ${fleet.expiredLeases - expiredBefore} leases lost, ${fleet.taskCount} tasks`);
}

async function measureRestart(expiredBefore: number): Promise<void> {
  nodes.killAll();
  await sleep(1000);
  nodes.startAll();
  await sleep(2 * LEASE_MS);
  console.log(
    `after restart of all: ${fleet.expiredLeases - expiredBefore} leases lost, ${fleet.taskCount} tasks`,
  );
}

/** A follower is the one that is left: it has to be elected, too, before it can answer. */
async function measureLastNode(expiredBefore: number): Promise<void> {
  const leader = (await findLeader()) ?? 0;
  const lastNode = (leader + 1) % NODES.length;
  for (const node of NODES.keys()) if (node !== lastNode) nodes.kill(node);
  const { failedHeartbeats, answeredHeartbeats } = fleet;
  const users = new UserLoad(lastNode);
  const startTimer = setTimeout(() => users.start(), ELECTION_MS);
  for (let i = 0; i < LAST_NODE_LINES; i++) {
    await sleep(LEASE_MS / 3);
    console.log(
      `  one node left: ${fleet.expiredLeases - expiredBefore} leases lost, ${fleet.answeredHeartbeats - answeredHeartbeats} reports answered, ${fleet.failedHeartbeats - failedHeartbeats} not, ${fleet.taskCount} tasks`,
    );
  }
  clearTimeout(startTimer);
  users.stop();
  const status = await ask(lastNode, "/admin/status");
  console.log(`  beside them: ${users.describe()}; token ${status?.token}, confirmed ${status?.confirmed}`);
  const { residentMb, peakMb } = nodes.usage(lastNode);
  console.log(`that node: ${residentMb} MB, peak ${peakMb} MB`);
}

try {
  nodes.startAll();
  await waitFor("a leader", async () => (await findLeader()) !== null);
  fleet.start();
  await fillMachines();
  await sleep(5000);
  const leader = (await findLeader()) ?? 0;
  await measureSteadyState(leader);
  // The leases lost are counted from here on through all three.
  const expiredBefore = fleet.expiredLeases;
  await measureFailover(leader, expiredBefore);
  await measureRestart(expiredBefore);
  await measureLastNode(expiredBefore);
  console.log(`duplicates: ${fleet.history.duplicates().length}`);
} finally {
  nodes.killAll();
  console.log(`logs: ${nodes.logs}`);
  process.exit();
}
