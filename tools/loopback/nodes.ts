import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, mkdirSync, mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parse } from "smol-toml";

/** Several measurements can run in parallel, each with its own port base. */
const PORT_BASE = Number(process.env.PORT_BASE ?? 18_000);
/** Port of the fake key-value store. */
export const STORE_PORT = PORT_BASE + 1;
/** Port of the fake cloud. */
export const CLOUD_PORT = PORT_BASE + 2;
const CLIENT_PORT = PORT_BASE + 3;
const PEER_PORT = PORT_BASE + 4;
/** Port of the fake agents, each of which has its own address. */
export const AGENT_PORT = PORT_BASE + 5;
const NODE_COUNT = 3;

/** A team's quotas. */
export interface TeamOptions {
  readonly name: string;
  readonly cpus: number;
  readonly cpusMax: number;
}

/** Values for the nodes' settings files. */
export interface NodeOptions {
  readonly maxConnections: number;
  readonly heartbeatS: number;
  readonly leaseS: number;
  readonly logLevel: string;
  /** A single large team by default. */
  readonly teams?: readonly TeamOptions[];
  /** Limits of the key-value store. */
  readonly storeRps?: number;
  readonly storeWriteRps?: number;
}

const ONE_TEAM: readonly TeamOptions[] = [{ name: "red", cpus: 50_000, cpusMax: 100_000 }];

/** The nodes, with the addresses on which they serve users and agents. */
export const NODES = Array.from({ length: NODE_COUNT }, (_, i) => ({
  name: `n${i}`,
  host: `127.0.1.${i + 1}`,
  port: CLIENT_PORT,
}));

/** Returns the content of a node's settings file. */
function renderSettings(node: number, options: NodeOptions): string {
  const peers = NODES.flatMap(({ name, host }, peer) =>
    node === peer ? [] : [`[[known]]\nnode = "${name}"\nsite = "a"\nendpoint = "${host}:${PEER_PORT}"`],
  );
  const teams = (options.teams ?? ONE_TEAM).map(
    ({ name, cpus, cpusMax }) =>
      `[[deployment.teams]]\nname = "${name}"\ncpus = ${cpus}\ncpus_max = ${cpusMax}`,
  );
  const host = NODES[node]?.host;
  return `node = "n${node}"
site = "a"
client_listen = "${host}:${CLIENT_PORT}"
peer_bind = "${host}:${PEER_PORT}"
${peers.join("\n")}
[endpoints]
cloud = "127.0.0.1:${CLOUD_PORT}"
state = "127.0.0.1:${STORE_PORT}"
[deployment]
zones = ["a"]
${teams.join("\n")}
[deployment.workers]
report_s = ${options.heartbeatS}
lease_s = ${options.leaseS}
gang_wait_s = 50.0
gang_peer_s = 5.0
cancel_s = ${options.leaseS * 3}
[deployment.state]
rps = ${options.storeRps ?? 1000}
write_rps = ${options.storeWriteRps ?? 400}
value_kb = 8.0
txn_ops = 32
[deployment.cloud]
rps = 5.0
list_lag_s = 3.0
[deployment.quota]
max_connections = ${options.maxConnections}
`;
}

/** CPU time and memory of a process, as accounted by the operating system. */
export interface Usage {
  readonly cpuMs: number;
  readonly residentMb: number;
  readonly peakMb: number;
}

const CLOCK_TICK_MS = 10;
const KB_PER_MB = 1024;
/** Indices of fields in `/proc/PID/stat`, starting after the process name. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Three controller processes, started with the run command of a deploy file. */
export class Nodes {
  readonly #options: NodeOptions;
  readonly #folder = mkdtempSync(join(tmpdir(), "hillspindle-loopback-"));
  readonly #children: (ChildProcess | null)[] = NODES.map(() => null);
  readonly #runCommand: string[];
  /** Folder with one log file per node. */
  readonly logFolder = join(this.#folder, "logs");

  constructor(options: NodeOptions, deployFile: string) {
    this.#options = options;
    mkdirSync(this.logFolder);
    const { run } = parse(readFileSync(deployFile, "utf8"));
    if (typeof run !== "string") throw new TypeError(`${deployFile}: run: must be a command line`);
    this.#runCommand = run.split(" ");
  }

  /** Starts a node; its log is appended to the log of its previous processes. */
  start(node: number): void {
    const path = join(this.#folder, `n${node}.toml`);
    writeFileSync(path, renderSettings(node, this.#options));
    const [command = "node", ...args] = this.#runCommand;
    const child = spawn(command, [...args, path], {
      env: { ...process.env, LOG_LEVEL: this.#options.logLevel },
      stdio: ["ignore", "ignore", "pipe"],
    });
    child.stderr.pipe(createWriteStream(join(this.logFolder, `n${node}.log`), { flags: "a" }));
    child.once("exit", () => {
      if (this.#children[node] === child) this.#children[node] = null;
    });
    this.#children[node] = child;
  }

  /** Starts every node. */
  startAll(): void {
    for (const node of NODES.keys()) this.start(node);
  }

  /** Kills a node with SIGKILL, so that it cannot clean up. */
  kill(node: number): void {
    this.#children[node]?.kill("SIGKILL");
    this.#children[node] = null;
  }

  /** Kills every node. */
  killAll(): void {
    for (const node of NODES.keys()) this.kill(node);
  }

  /** Returns the resource usage of a node's process so far; all zero if it is not running. */
  usage(node: number): Usage {
    const pid = this.#children[node]?.pid;
    if (pid === undefined) return { cpuMs: 0, residentMb: 0, peakMb: 0 };
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const kb = (name: string) => Number(new RegExp(`^${name}:\\s+(\\d+)`, "m").exec(status)?.[1] ?? 0);
    return {
      cpuMs: (Number(stat[USER_TICKS_FIELD]) + Number(stat[SYSTEM_TICKS_FIELD])) * CLOCK_TICK_MS,
      residentMb: Math.round(kb("VmRSS") / KB_PER_MB),
      peakMb: Math.round(kb("VmHWM") / KB_PER_MB),
    };
  }
}

const CALL_TIMEOUT_MS = 2000;

/** Sends a request to a node and returns the response body; null on an error status, a failure or a timeout. */
export async function callNode(
  index: number,
  path: string,
  body?: unknown,
): Promise<Record<string, unknown> | null> {
  const node = NODES[index];
  if (!node) return null;
  try {
    const init = body === undefined ? {} : { method: "POST", body: JSON.stringify(body) };
    const response = await fetch(`http://${node.host}:${node.port}${path}`, {
      ...init,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    return response.ok ? ((await response.json()) as Record<string, unknown>) : null;
  } catch {
    return null;
  }
}

/** Changes operator settings through the first node. */
export async function changeSettings(changes: Record<string, unknown>): Promise<void> {
  const [node] = NODES;
  const init = { method: "PATCH", body: JSON.stringify(changes) };
  await fetch(`http://${node?.host}:${node?.port}/admin/settings`, init);
}

/** Returns the index of the leader; null if no node has a valid leader lease. */
export async function findLeader(): Promise<number | null> {
  for (const node of NODES.keys()) {
    const status = await callNode(node, "/admin/status");
    if (status?.leading === true && status.confirmed === true) return node;
  }
  return null;
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Returns a submission in wire format: by default an array of small tasks, with the given overrides. */
export function jobBody(uid: string, tasks: number, cpus: number, overrides: object = {}): object {
  return {
    uid,
    jobclass: "load",
    crew: "red",
    shape: "sweep",
    rank: "normal",
    pieces: tasks,
    cpus,
    gpus: 0,
    ram_gb: 0.5,
    bundle: "img",
    size_gb: 0.1,
    racks: null,
    yard: null,
    same_place: false,
    apart: false,
    loaners: false,
    guess_s: 3,
    snapshot_s: 0,
    stow_s: 0,
    due_s: null,
    ...overrides,
  };
}
