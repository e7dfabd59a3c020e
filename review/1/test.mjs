// A zone with the leader and a worker is cut off. Before the other controllers elect a new leader, an operator lowers
// hold_s. Does the new leader still wait until the old one can no longer have renewed the worker's lease?
import { runCase } from "../lib/cluster.mjs";
import { call, nowMs, sleep } from "../lib/common.mjs";
import { CLYDEPORT } from "../lib/sites.mjs";

const record = new URL("record.txt", import.meta.url).pathname;
const SITE = { ...CLYDEPORT, hasLinks: true, startsNodes: false };
const LEADER_GRANT_MS = Number(process.env.GRANT ?? 9000);

runCase(SITE, record, async (cluster, isTrouble) => {
  const { fleet, cloud, nodes } = cluster;
  const [north, leader, south] = nodes;
  const broken = [];
  // ran_twice: "a task starts on one machine while it is on another"
  fleet.onTaskOn = (task, worker) => {
    const others = fleet.tasksOnMachines().filter((one) => one.piece === task.piece && one.worker !== worker);
    const where = others.map((one) => `${one.worker.host} (try ${one.try}, ${one.phase})`).join(", ");
    cluster.record.line(`start: ${task.piece} try ${task.try} on ${worker.host}; also on: ${where || "none"}`);
    if (others.length > 0) broken.push(`${task.piece} started on ${worker.host} while it was on ${where}`);
  };
  fleet.onTaskOff = (task, worker, cause) =>
    cluster.record.line(`end: ${task.piece} try ${task.try} on ${worker.host}: ${cause}`);
  const leads = async (node) =>
    (await call(node.host, node.port, "GET", "/admin/status", undefined, 1000))?.body?.leading === true;

  // The controller in greenock leads, under a lease of 9 s.
  cluster.startNode(leader);
  await cluster.untilReady([leader]);
  await cluster.changeSettings(leader, { leader_grant_ms: LEADER_GRANT_MS });
  cluster.killNode(leader);
  cluster.startNode(leader);
  await cluster.untilReady([leader]);
  cluster.startNode(north);
  cluster.startNode(south);
  await cluster.untilReady([north, south]);
  if (!(await leads(leader))) throw new Error("another node leads");

  const add = async (i, yard, firstNode, hasLink) => {
    const worker = await fleet.add({ host: `i-00000${i}`, ip: `127.0.2.${i}`, rack: "quayrack", yard, cpus: 16, ramGb: 32, firstNode, hasLink });
    cloud.add(worker);
    worker.report();
    return worker;
  };
  const inZone = await add(1, "greenock", 1, true);
  const job = cluster.job("j-000001", { jobclass: "positfeed", crew: "anomalylab", shape: "daemon", rank: "prod", cpus: 6, ram_gb: 6, guess_s: 0 });
  await cluster.submit(job);
  const running = () => fleet.tasksOnMachines().filter((task) => task.uid === job.uid && task.phase === "running");
  await cluster.until("the service runs", () => running().length === 1, 20_000);
  const outside = [await add(2, "leith", 0, false), await add(3, "leith", 2, false)];
  // The machines of leith are in use too.
  const other = cluster.job("j-000002", { shape: "daemon", rank: "prod", pieces: 2, cpus: 6, ram_gb: 20, yard: "leith", guess_s: 0 });
  await cluster.submit(other, 1);
  await cluster.until("the other service runs", () => fleet.tasksOnMachines().filter((task) => task.uid === other.uid).length === 2, 20_000);
  await sleep(5000);

  if (isTrouble) {
    cluster.record.say("trouble: greenock, with the leader and i-000001, is cut off");
    cluster.cutOff(leader);
    inZone.link.cut();
    inZone.unreachable = new Set([north, south]);
    for (const worker of outside) worker.unreachable = new Set([leader]);
  }
  await sleep(2000);
  await cluster.changeSettings(north, { hold_s: 0 });
  const until = nowMs() + 50_000;
  while (nowMs() < until && broken.length === 0) await sleep(100);
  if (await leads(north)) cluster.record.line(`${north.name} leads`);
  return broken[0] ?? null;
});
