import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, mkdirSync, mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parse } from "smol-toml";

/** Several measurements run beside each other with a base each. */
const PORT_BASE = Number(process.env.PORT_BASE ?? 18_000);
export const STATE_PORT = PORT_BASE + 1;
export const CLOUD_PORT = PORT_BASE + 2;
const CLIENT_PORT = PORT_BASE + 3;
const PEER_PORT = PORT_BASE + 4;
export const WORKER_PORT = PORT_BASE + 5;
const COUNT = 3;

export interface TeamOptions {
  readonly name: string;
  readonly cpus: number;
  readonly cpusMax: number;
}

export interface NodeOptions {
  readonly maxConnections: number;
  readonly reportS: number;
  readonly leaseS: number;
  readonly logLevel: string;
  /** One large team where there are none. */
  readonly teams?: readonly TeamOptions[];
  /** What the state service takes a second. */
  readonly stateRps?: number;
  readonly stateWriteRps?: number;
}

const ONE_TEAM: readonly TeamOptions[] = [{ name: "red", cpus: 50_000, cpusMax: 100_000 }];

/** Where the nodes listen for users and workers. */
export const NODES = Array.from({ length: COUNT }, (_, i) => ({
  name: `n${i}`,
  host: `127.0.1.${i + 1}`,
  port: CLIENT_PORT,
}));

function settings(i: number, options: NodeOptions): string {
  const known = NODES.flatMap(({ name, host }, j) =>
    i === j ? [] : [`[[known]]\nnode = "${name}"\nsite = "a"\nendpoint = "${host}:${PEER_PORT}"`],
  );
  const teams = (options.teams ?? ONE_TEAM).map(
    ({ name, cpus, cpusMax }) =>
      `[[deployment.teams]]\nname = "${name}"\ncpus = ${cpus}\ncpus_max = ${cpusMax}`,
  );
  const host = NODES[i]?.host;
  return `node = "n${i}"
site = "a"
client_listen = "${host}:${CLIENT_PORT}"
peer_bind = "${host}:${PEER_PORT}"
${known.join("\n")}
[endpoints]
cloud = "127.0.0.1:${CLOUD_PORT}"
state = "127.0.0.1:${STATE_PORT}"
[deployment]
zones = ["a"]
${teams.join("\n")}
[deployment.workers]
report_s = ${options.reportS}
lease_s = ${options.leaseS}
gang_wait_s = 50.0
gang_peer_s = 5.0
cancel_s = ${options.leaseS * 3}
[deployment.state]
rps = ${options.stateRps ?? 1000}
write_rps = ${options.stateWriteRps ?? 400}
value_kb = 8.0
txn_ops = 32
[deployment.cloud]
rps = 5.0
list_lag_s = 3.0
[deployment.quota]
max_connections = ${options.maxConnections}
`;
}

/** What a process has used, by the system's account. */
export interface Usage {
  readonly cpuMs: number;
  readonly residentMb: number;
  readonly peakMb: number;
}

/** The real program, three times, by the run line of a deploy file. */
export class Nodes {
  readonly #options: NodeOptions;
  readonly #folder = mkdtempSync(join(tmpdir(), "hillspindle-loopback-"));
  readonly #children: (ChildProcess | null)[] = NODES.map(() => null);
  readonly #run: string[];
  readonly logs = join(this.#folder, "logs");

  constructor(options: NodeOptions, deployFile: string) {
    this.#options = options;
    mkdirSync(this.logs);
    const { run } = parse(readFileSync(deployFile, "utf8")) as { run: string };
    this.#run = run.split(" ");
  }

  start(i: number): void {
    const path = join(this.#folder, `n${i}.toml`);
    writeFileSync(path, settings(i, this.#options));
    const [command = "node", ...args] = this.#run;
    const child = spawn(command, [...args, path], {
      env: { ...process.env, LOG_LEVEL: this.#options.logLevel },
      stdio: ["ignore", "ignore", "pipe"],
    });
    child.stderr.pipe(createWriteStream(join(this.logs, `n${i}.log`), { flags: "a" }));
    child.once("exit", () => {
      if (this.#children[i] === child) this.#children[i] = null;
    });
    this.#children[i] = child;
  }

  startAll(): void {
    for (const i of NODES.keys()) this.start(i);
  }

  kill(i: number): void {
    this.#children[i]?.kill("SIGKILL");
    this.#children[i] = null;
  }

  killAll(): void {
    for (const i of NODES.keys()) this.kill(i);
  }

  isRunning(i: number): boolean {
    return this.#children[i] !== null;
  }

  pid(i: number): number | undefined {
    return this.#children[i]?.pid;
  }

  usage(i: number): Usage {
    const pid = this.pid(i);
    if (pid === undefined) return { cpuMs: 0, residentMb: 0, peakMb: 0 };
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const kb = (name: string) => Number(new RegExp(`^${name}:\\s+(\\d+)`, "m").exec(status)?.[1] ?? 0);
    return {
      cpuMs: (Number(fields[11]) + Number(fields[12])) * 10,
      residentMb: Math.round(kb("VmRSS") / 1024),
      peakMb: Math.round(kb("VmHWM") / 1024),
    };
  }
}

/** Asks a node; null if it does not answer. */
export async function ask(i: number, path: string, body?: unknown): Promise<Record<string, unknown> | null> {
  const node = NODES[i];
  if (!node) return null;
  try {
    const init = body === undefined ? {} : { method: "POST", body: JSON.stringify(body) };
    const res = await fetch(`http://${node.host}:${node.port}${path}`, {
      ...init,
      signal: AbortSignal.timeout(2000),
    });
    return res.ok ? ((await res.json()) as Record<string, unknown>) : null;
  } catch {
    return null;
  }
}

/** The node that leads and has read the records; null if none does. */
export async function leader(): Promise<number | null> {
  for (const i of NODES.keys()) {
    const status = await ask(i, "/admin/status");
    if (status?.leading === true && status.confirmed === true) return i;
  }
  return null;
}

export function sleep(ms: number): Promise<void> {
  return new Promise((done) => setTimeout(done, ms));
}

export function jobBody(uid: string, tasks: number, cpus: number, more: object = {}): object {
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
    ...more,
  };
}
