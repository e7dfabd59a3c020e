import { build as buildHistogram, type Histogram } from "hdr-histogram-js";
import { openCluster } from "./loopback/cluster.js";
import { callNode, changeSettings, findLeader, jobBody, NODES, sleep } from "./loopback/nodes.js";

/**
 * Runs three real controllers on loopback under load and repeatedly kills the leader. Measures failover times by phase,
 * from the kill and from the removal of the leader key, and duplicated placements over the history of all agents.
 *   DEPLOY_FILE=deploy/standby.toml node target/test/tools/measure-takeover.js [KILLS] [MACHINES] [LEASE_TTL_MS]
 */
const kills = Number(process.argv[2] ?? 50);
const machines = Number(process.argv[3] ?? 300);
const leaderLeaseMs = Number(process.argv[4] ?? 3000);
const DEFAULT_LEADER_LEASE_MS = 3000;
const HEARTBEAT_S = 2;
const LEASE_S = 14;
const LONG_JOBS = 10;
const LONG_TASKS_PER_MACHINE = 6;
const JOBS_PER_SECOND = 4;
const SUBMIT_TRIES = 30;
const SUBMIT_PAUSE_MS = 500;
/** Longer than a failover, so that tasks running when the leader is killed still run when the next one places tasks. */
const SHORT_TASK_MS = 12_000;
const LONG_TASK_MS = 3_600_000;
const START_TIMEOUT_MS = 20_000;
/** Delay from a failover to the restart of the killed node. */
const RESTART_DELAY_MS = 4000;
/** Pause from that restart to the next kill. */
const SETTLE_MS = 6000;
const POLL_MS = 20;
/** An attempt number is the leader's fencing token multiplied by this, plus a counter. */
const ATTEMPTS_PER_TOKEN = 2 ** 20;
const LEADER_KEY = "c/leader";

const { store, fleet, nodes, deployFile } = openCluster({
  machines,
  runMs: (uid) => (uid.startsWith("j-9") ? LONG_TASK_MS : SHORT_TASK_MS),
  maxConnections: 1200,
  heartbeatS: HEARTBEAT_S,
  leaseS: LEASE_S,
  logLevel: "info",
});

const histograms = new Map<string, Histogram>();
function record(name: string, ms: number): void {
  let histogram = histograms.get(name);
  if (!histogram) {
    histogram = buildHistogram();
    histograms.set(name, histogram);
  }
  histogram.recordValue(Math.max(0, Math.round(ms)));
}

/** Submits a job at the nodes in rotation until one accepts it; gives up after `SUBMIT_TRIES`. */
async function submitUntilAccepted(index: number): Promise<void> {
  for (let tries = 0; tries < SUBMIT_TRIES; tries++) {
    const node = (index + tries) % NODES.length;
    if (await callNode(node, "/api/jobs", jobBody(`j-${index}`, 2, 0.5))) return;
    await sleep(SUBMIT_PAUSE_MS);
  }
}

/** Submits short jobs until the process exits, so that there is always a task to start. */
function keepSubmitting(): void {
  let submitted = 0;
  setInterval(() => void submitUntilAccepted(++submitted), 1000 / JOBS_PER_SECOND);
}

/** Returns the status of a leader with a higher fencing token; null if there is none yet. */
async function leaderAfter(fencingToken: number, killed: number): Promise<Record<string, unknown> | null> {
  for (const node of NODES.keys()) {
    if (node === killed) continue;
    const status = await callNode(node, "/admin/status");
    if (status?.leading === true && Number(status.token) > fencingToken) return status;
  }
  return null;
}

/** Times of a failover as observed from outside; null for events that did not happen in time. */
interface Failover {
  readonly killedAt: number;
  leaderKeyRemovedAt: number | null;
  startedAt: number | null;
}

/**
 * Kills the leader and waits for the first task start with a higher fencing token, which only the new leader can have
 * commanded.
 */
async function killAndObserve(killed: number, fencingToken: number): Promise<Failover> {
  const leaderKeyVersion = store.store.entries.get(LEADER_KEY)?.version;
  const failover: Failover = { killedAt: performance.now(), leaderKeyRemovedAt: null, startedAt: null };
  fleet.onTaskStart = (_task, attempt) => {
    if (Math.floor(attempt / ATTEMPTS_PER_TOKEN) > fencingToken) failover.startedAt ??= performance.now();
  };
  nodes.kill(killed);
  while (performance.now() - failover.killedAt < START_TIMEOUT_MS) {
    // Compares versions, because the next leader may write its key between two polls.
    if (store.store.entries.get(LEADER_KEY)?.version !== leaderKeyVersion) {
      failover.leaderKeyRemovedAt ??= performance.now();
    }
    if (failover.startedAt !== null) break;
    await sleep(POLL_MS);
  }
  return failover;
}

function recordFailover(
  { killedAt, leaderKeyRemovedAt, startedAt }: Failover,
  phases: Record<string, unknown>,
): void {
  const source = String(phases.source);
  if (startedAt === null || leaderKeyRemovedAt === null)
    record(`${source}: no start within ${START_TIMEOUT_MS} ms`, 1);
  else {
    record(`${source}: kill to leader lease expiry`, leaderKeyRemovedAt - killedAt);
    record(`${source}: kill to first start`, startedAt - killedAt);
    record(`${source}: leader lease expiry to first start`, startedAt - leaderKeyRemovedAt);
  }
  for (const [phase, ms] of Object.entries(phases))
    if (typeof ms === "number")
      record(`${source}: ${phase} (since leader lease expiry, as reported by the node)`, ms);
}

async function measureFailover(): Promise<void> {
  const killed = await findLeader();
  if (killed === null) return;
  const fencingToken = Number((await callNode(killed, "/admin/status"))?.token);
  const failover = await killAndObserve(killed, fencingToken);
  const status = await leaderAfter(fencingToken, killed);
  recordFailover(failover, (status?.takeover ?? {}) as Record<string, unknown>);
  await sleep(RESTART_DELAY_MS);
  nodes.start(killed);
  await sleep(SETTLE_MS);
}

function printReport(): void {
  for (const [name, histogram] of [...histograms].sort(([a], [b]) => (a < b ? -1 : 1))) {
    const at = (percent: number) => histogram.getValueAtPercentile(percent);
    console.log(
      `${name}: ${histogram.totalCount} values, median ${at(50)} ms, 95% ${at(95)} ms, maximum ${histogram.maxValue} ms`,
    );
  }
  const duplicates = fleet.history.findDuplicates();
  console.log(
    `starts ${fleet.history.startCount}, duplicated placements ${duplicates.length}, expired leases ${fleet.expiredLeases}`,
  );
  for (const duplicate of duplicates.slice(0, 5)) console.log(JSON.stringify(duplicate));
}

async function submitLongJobs(): Promise<void> {
  const tasks = (machines * LONG_TASKS_PER_MACHINE) / LONG_JOBS;
  for (let i = 0; i < LONG_JOBS; i++) {
    while (!(await callNode(i % NODES.length, "/api/jobs", jobBody(`j-9${i}`, tasks, 1.5)))) await sleep(500);
  }
}

try {
  nodes.startAll();
  while ((await findLeader()) === null) await sleep(500);
  if (leaderLeaseMs !== DEFAULT_LEADER_LEASE_MS) await changeSettings({ leader_grant_ms: leaderLeaseMs });
  fleet.start();
  await submitLongJobs();
  await sleep(15_000);
  keepSubmitting();
  await sleep(5000);
  console.log(`${deployFile}, ${kills} kills, ${machines} machines, leader lease ${leaderLeaseMs} ms`);
  for (let i = 0; i < kills; i++) await measureFailover();
  await sleep(5000);
  printReport();
} finally {
  nodes.killAll();
  console.log(`logs: ${nodes.logFolder}`);
  process.exit();
}
