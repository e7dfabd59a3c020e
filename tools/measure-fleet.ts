import { openCluster } from "./loopback/cluster.js";
import { ask, jobBody, leader, NODES, sleep } from "./loopback/nodes.js";

/**
 * Three real controllers on loopback with thousands of stand-in workers: memory and processor time per report and machine.
 *   node target/test/tools/measure-fleet.js MACHINES [TASKS_A_MACHINE]
 */
const machines = Number(process.argv[2] ?? 1000);
const tasksEach = Number(process.argv[3] ?? 8);
const REPORT_S = 2.5;
const LEASE_S = 15;
const MEASURED_MS = 20_000;
const HOUR_MS = 3_600_000;
const SETTLE_TRIES = 240;
const USER_EVERY_MS = 250;
/** Users begin once the node that is left can have been elected. */
const ELECTED_MS = 15_000;

const maxConnections = Number(process.env.MAX_CONNECTIONS ?? Math.ceil(machines * 0.6) + 300);
const { state, fleet, nodes } = openCluster({
  workers: machines,
  runMs: () => HOUR_MS,
  maxConnections,
  reportS: REPORT_S,
  leaseS: LEASE_S,
  logLevel: "info",
});
nodes.startAll();

function held(): number {
  return fleet.workers.reduce((sum, worker) => sum + worker.tasks.length, 0);
}

/** Users at one node: a job submitted and asked about, again and again. How long each answer took, and how many never came. */
class LoadOfUsers {
  readonly answeredMs: number[] = [];
  unanswered = 0;
  #timer: NodeJS.Timeout | null = null;
  #submitted = 0;

  start(node: number): void {
    this.#timer = setInterval(async () => {
      const uid = `j-7${++this.#submitted}`;
      await this.#time(() => ask(node, "/api/jobs", jobBody(uid, 1, 0.5)));
      await this.#time(() => ask(node, `/api/jobs/${uid}`));
    }, USER_EVERY_MS);
  }

  stop(): void {
    if (this.#timer) clearInterval(this.#timer);
  }

  async #time(request: () => Promise<unknown>): Promise<void> {
    const askedAt = performance.now();
    if ((await request()) === null) this.unanswered++;
    else this.answeredMs.push(performance.now() - askedAt);
  }

  report(): string {
    const sorted = [...this.answeredMs].sort((a, b) => a - b);
    const at = (part: number) => Math.round(sorted[Math.floor(part * (sorted.length - 1))] ?? 0);
    return `${sorted.length} requests of users answered in ${at(0.5)}/${at(0.95)}/${at(1)} ms (median/95%/worst), ${this.unanswered} refused or not answered in 2 s`;
  }
}

async function until(what: string, holds: () => Promise<boolean> | boolean): Promise<void> {
  for (let i = 0; i < SETTLE_TRIES; i++) {
    if (await holds()) return;
    await sleep(500);
  }
  throw new Error(`never came: ${what}`);
}

try {
  await until("a leader", async () => (await leader()) !== null);
  fleet.start();
  const wanted = machines * tasksEach;
  for (let i = 0; i < 10; i++)
    await until(
      `job ${i}`,
      async () => (await ask(i % 3, "/api/jobs", jobBody(`j-${i}`, wanted / 10, 1.5))) !== null,
    );
  await until("all tasks placed", () => held() >= wanted);
  await sleep(5000);

  const first = (await leader()) ?? 0;
  const before = NODES.map((_, i) => nodes.usage(i));
  const reports = fleet.answeredReports;
  const requests = state.requests;
  await sleep(MEASURED_MS);
  const answered = fleet.answeredReports - reports;
  console.log(
    `machines ${machines}, tasks ${held()}, max_connections ${maxConnections}, leases lost ${fleet.leasesLost}`,
  );
  console.log(
    `steady: ${(answered * 1000) / MEASURED_MS} reports/s, ${((state.requests - requests) * 1000) / MEASURED_MS} state requests/s`,
  );
  for (const i of NODES.keys()) {
    const { cpuMs, residentMb, peakMb } = nodes.usage(i);
    const used = cpuMs - (before[i]?.cpuMs ?? 0);
    const share = ((used / MEASURED_MS) * 100).toFixed(1);
    const role = i === first ? "leader" : "follower";
    console.log(`${role}: ${share}% of a core, ${residentMb} MB, peak ${peakMb} MB`);
  }
  const total = NODES.reduce((sum, _, i) => sum + nodes.usage(i).cpuMs - (before[i]?.cpuMs ?? 0), 0);
  console.log(`processor time per report, all nodes: ${((total * 1000) / answered).toFixed(0)} us`);

  const lost = fleet.leasesLost;
  const killedAt = performance.now();
  nodes.kill(first);
  await until("another leader", async () => {
    const next = await leader();
    return next !== null && next !== first;
  });
  console.log(`failover: led again after ${Math.round(performance.now() - killedAt)} ms`);
  nodes.start(first);
  await sleep(2 * LEASE_S * 1000);
  console.log(`after failover: ${fleet.leasesLost - lost} leases lost, ${held()} tasks`);
  nodes.killAll();
  await sleep(1000);
  nodes.startAll();
  await sleep(2 * LEASE_S * 1000);
  console.log(`after restart of all: ${fleet.leasesLost - lost} leases lost, ${held()} tasks`);
  // A follower stays: it has to be elected, too, before it can answer.
  const leading = (await leader()) ?? 0;
  const left = (leading + 1) % NODES.length;
  for (const i of NODES.keys()) if (i !== left) nodes.kill(i);
  const [refused, answers] = [fleet.refused, fleet.answeredReports];
  const users = new LoadOfUsers();
  setTimeout(() => users.start(left), ELECTED_MS);
  for (let i = 0; i < 9; i++) {
    await sleep((LEASE_S * 1000) / 3);
    console.log(
      `  one node left: ${fleet.leasesLost - lost} leases lost, ${fleet.answeredReports - answers} reports answered, ${fleet.refused - refused} not, ${held()} tasks`,
    );
  }
  users.stop();
  const status = await ask(left, "/admin/status");
  console.log(`  beside them: ${users.report()}; token ${status?.token}, confirmed ${status?.confirmed}`);
  const { residentMb, peakMb } = nodes.usage(left);
  console.log(`that node: ${residentMb} MB, peak ${peakMb} MB`);
  console.log(`duplicates: ${fleet.history.duplicates().length}`);
} finally {
  nodes.killAll();
  console.log(`logs: ${nodes.logs}`);
  process.exit();
}
