// Starts the project's own processes with the run line of a deploy file, and all stand-ins round them.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Cloud } from "./cloud.mjs";
import { call, nowMs, Record, sleep } from "./common.mjs";
import { Link } from "./proxy.mjs";
import { StateService } from "./state.mjs";
import { Fleet } from "./workers.mjs";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const USER_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;

function freePort(host) {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once("error", reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** The run line of the deploy file; `DEPLOY_FILE` names another one. */
function runLine() {
  const text = readFileSync(join(ROOT, process.env.DEPLOY_FILE ?? "deploy/service.toml"), "utf8");
  const found = /^run = "(.*)"$/m.exec(text);
  if (!found) throw new Error("the deploy file has no run line");
  return found[1].split(" ");
}

export class Cluster {
  #site;
  #folder = mkdtempSync(join(tmpdir(), "hillspindle-review-"));
  #children = new Map();
  #isClosing = false;
  nodes = [];

  constructor(site, recordPath) {
    this.#site = site;
    this.record = new Record(recordPath);
  }

  /** Starts the stand-ins and the nodes; workers are added by the caller. */
  async start() {
    const site = this.#site;
    this.state = new StateService(site.state);
    this.cloud = new Cloud({ types: site.types, record: this.record, ...site.cloud });
    await this.state.start();
    await this.cloud.start();
    for (const [i, zone] of site.nodeZones.entries()) {
      const host = `127.0.1.${i + 1}`;
      this.nodes.push({
        name: `spindlehost-${i}`,
        site: zone,
        host,
        port: await freePort(host),
        peerPort: await freePort(host),
      });
    }
    this.fleet = new Fleet({ record: this.record, nodes: this.nodes, ...site.workers, fetchGbPerS: site.fetchGbPerS });
    if (site.hasLinks) await this.#openLinks();
    if (site.startsNodes === false) return;
    for (const node of this.nodes) this.startNode(node);
    await this.untilReady(this.nodes);
  }

  /** Puts a proxy on each link of each node: to the state service, the cloud and each peer, and from each peer. */
  async #openLinks() {
    const local = (port) => () => ({ host: "127.0.0.1", port });
    for (const node of this.nodes) {
      node.stateLink = await Link.open("127.0.0.1", local(this.state.port));
      node.cloudLink = await Link.open("127.0.0.1", local(this.cloud.port));
      node.peerLinks = new Map();
      for (const peer of this.nodes) {
        if (peer === node) continue;
        const target = () => ({ host: peer.host, port: peer.peerPort });
        node.peerLinks.set(peer, await Link.open("127.0.0.1", target));
      }
    }
  }

  /** Cuts a node off from the state service, the cloud and all its peers. */
  cutOff(node) {
    this.record.line(`${node.name}: cut off from the state service, the cloud and its peers`);
    node.stateLink.cut();
    node.cloudLink.cut();
    for (const link of node.peerLinks.values()) link.cut();
    for (const peer of this.nodes) if (peer !== node) peer.peerLinks.get(node).cut();
  }

  startNode(node) {
    const path = join(this.#folder, `${node.name}.toml`);
    writeFileSync(path, this.#settings(node));
    const [command, ...args] = runLine();
    const child = spawn(command, [...args, path], {
      cwd: ROOT,
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? "info" },
      stdio: ["ignore", "ignore", "pipe"],
    });
    child.on("error", (error) => this.record.say(`${node.name}: ${error.message}`));
    child.stderr.on("data", (data) => {
      for (const line of data.toString().split("\n")) if (line !== "") this.record.line(`${node.name} log: ${line}`);
    });
    child.on("exit", (code, signal) => {
      if (this.#children.get(node) !== child) return;
      this.#children.delete(node);
      if (!this.#isClosing) this.record.say(`${node.name}: process ended by itself, code ${code} signal ${signal}`);
    });
    this.#children.set(node, child);
    this.record.line(`${node.name}: started`);
  }

  /** Kills a node with no signal that it could handle. */
  killNode(node) {
    const child = this.#children.get(node);
    this.#children.delete(node);
    child?.kill("SIGKILL");
    this.record.line(`${node.name}: killed`);
  }

  #settings(node) {
    const { deployment } = this.#site;
    const known = this.nodes
      .filter((peer) => peer !== node)
      .map((peer) => {
        const endpoint = node.peerLinks?.get(peer).address ?? `${peer.host}:${peer.peerPort}`;
        return `[[known]]\nnode = "${peer.name}"\nsite = "${peer.site}"\nendpoint = "${endpoint}"\n`;
      });
    const cloud = node.cloudLink?.address ?? `127.0.0.1:${this.cloud.port}`;
    const state = node.stateLink?.address ?? `127.0.0.1:${this.state.port}`;
    return [
      `node = "${node.name}"\nsite = "${node.site}"`,
      `client_listen = "${node.host}:${node.port}"\npeer_bind = "${node.host}:${node.peerPort}"\n`,
      ...known,
      `[endpoints]\ncloud = "${cloud}"\nstate = "${state}"\n`,
      deployment,
    ].join("\n");
  }

  /** Waits until nodes take requests. */
  async untilReady(nodes) {
    const deadline = nowMs() + 15_000;
    for (const node of nodes) {
      while ((await call(node.host, node.port, "GET", "/ready", undefined, 1000))?.status !== 200) {
        if (nowMs() > deadline) throw new Error(`${node.name} is not ready`);
        await sleep(100);
      }
    }
  }

  /** Changes settings through the administration API of a node. */
  async changeSettings(node, values) {
    const answer = await call(node.host, node.port, "PATCH", "/admin/settings", values, USER_TIMEOUT_MS);
    this.record.line(`operator: ${JSON.stringify(values)} at ${node.name}: ${answer ? answer.status : "no answer"}`);
    if (answer?.status !== 200) throw new Error(`settings: ${answer?.status}`);
  }

  /** A job as a user submits it; `runMs` is known to the workers only. */
  job(uid, fields, runMs = () => 1000) {
    return {
      uid,
      jobclass: "pingsift",
      crew: "portsight",
      shape: "sweep",
      rank: "normal",
      pieces: 1,
      cpus: 1,
      gpus: 0,
      ram_gb: 1,
      racks: null,
      yard: null,
      same_place: false,
      apart: false,
      loaners: true,
      bundle: `img-${uid}`,
      size_gb: 0.1,
      guess_s: 10,
      snapshot_s: 0,
      stow_s: 0,
      due_s: null,
      ...fields,
      runMs,
    };
  }

  /** Submits a job as PROTOCOL asks of users: retries for up to 60 s. Returns the status of the last answer. */
  async submit(job, firstNode = 0, isQuiet = false) {
    const { runMs: _, isQuiet: __, ...body } = job;
    this.fleet.jobs.set(job.uid, job);
    const until = nowMs() + 60_000;
    for (let i = firstNode; ; i++) {
      const node = this.nodes[i % this.nodes.length];
      const answer = await call(node.host, node.port, "POST", "/api/jobs", body, USER_TIMEOUT_MS);
      if (!isQuiet) this.record.line(`user: submit ${job.uid} at ${node.name}: ${answer ? answer.status : "no answer"} ${JSON.stringify(answer?.body)}`);
      if (answer && [200, 201, 400, 422].includes(answer.status)) return answer.status;
      if (nowMs() > until) return answer?.status ?? 0;
      await sleep(Math.max(1000, Math.min(30_000, (answer?.retryAfterS ?? 0) * 1000)));
    }
  }

  /** Cancels a job as PROTOCOL asks of users: repeats the request until it is answered with 200, for up to 60 s. */
  async cancel(uid, firstNode = 0) {
    const until = nowMs() + 60_000;
    for (let i = firstNode; ; i++) {
      const node = this.nodes[i % this.nodes.length];
      const answer = await call(node.host, node.port, "POST", `/api/jobs/${uid}/cancel`, {}, USER_TIMEOUT_MS);
      this.record.line(`user: cancel ${uid} at ${node.name}: ${answer ? answer.status : "no answer"} ${JSON.stringify(answer?.body)}`);
      if (answer?.status === 200) return answer.body.phase;
      if (nowMs() > until) throw new Error(`${uid} could not be cancelled`);
      await sleep(Math.max(1000, Math.min(30_000, (answer?.retryAfterS ?? 0) * 1000)));
    }
  }

  /** Polls once. Resolves with the status and the body; null without an answer within the user's 2 s. */
  async poll(uid, node, isQuiet = false) {
    const answer = await call(node.host, node.port, "GET", `/api/jobs/${uid}`, undefined, POLL_TIMEOUT_MS);
    if (!isQuiet) this.record.line(`user: poll ${uid} at ${node.name}: ${answer ? answer.status : "no answer"} ${JSON.stringify(answer?.body)}`);
    return answer;
  }

  /** Waits until a condition holds; throws after a time. */
  async until(what, condition, timeoutMs) {
    const deadline = nowMs() + timeoutMs;
    while (!condition()) {
      if (nowMs() > deadline) throw new Error(`not in time: ${what}`);
      await sleep(50);
    }
  }

  async close() {
    this.#isClosing = true;
    for (const child of this.#children.values()) child.kill("SIGKILL");
    await sleep(200);
    rmSync(this.#folder, { recursive: true, force: true });
    await this.record.close();
  }
}

/**
 * Runs a case and ends the process: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. `test` returns
 * null, or how the rule was broken.
 */
export async function runCase(site, recordPath, test) {
  const cluster = new Cluster(site, recordPath);
  const isTrouble = process.env.TROUBLE !== "0";
  let code = 2;
  const guard = setTimeout(() => {
    cluster.record.say("couldn't run: out of time");
    cluster.close().finally(() => process.exit(2));
  }, 118_000);
  for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, () => cluster.close().finally(() => process.exit(2)));
  try {
    await cluster.start();
    const broken = await test(cluster, isTrouble);
    code = broken === null ? 0 : 1;
    cluster.record.say(broken === null ? "the rule held" : `the rule was broken: ${broken}`);
  } catch (error) {
    cluster.record.say(`couldn't run: ${error.stack}`);
  }
  clearTimeout(guard);
  await cluster.close();
  process.exit(code);
}
