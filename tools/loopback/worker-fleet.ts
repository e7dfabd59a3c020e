import http from "node:http";
import net from "node:net";
import { History, type Stay } from "./history.js";
import { readBody, reply } from "./http.js";
import { WORKER_PORT } from "./nodes.js";

const LEAST_BETWEEN_MS = 500;
const TRY_NEXT_MS = 1000;
const ANSWER_MS = 4000;

interface Task {
  readonly piece: string;
  readonly attempt: number;
  phase: "running" | "ended";
  cause: string | null;
  readonly stay: Stay;
  timer: NodeJS.Timeout | null;
}

interface Order {
  readonly verb: "launch" | "stop" | "clear";
  readonly piece: string;
  readonly try: number;
}

export interface FleetOptions {
  readonly nodes: readonly { readonly host: string; readonly port: number; readonly name: string }[];
  readonly reportMs: number;
  readonly leaseMs: number;
  /** How long the tasks of a job run. */
  readonly runMs: (uid: string) => number;
}

/** One stand-in worker: reports, runs what it is told, loses everything with its lease. */
class FleetWorker {
  readonly name: string;
  readonly address: string;
  tasks: Task[] = [];
  #session = 1;
  #sequence = 0;
  #token = 0;
  #node: number;
  #leaseFrom = performance.now();
  #reportedAt = 0;
  #timer: NodeJS.Timeout | null = null;
  #reporting = false;
  readonly #agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  readonly #fleet: WorkerFleet;

  constructor(fleet: WorkerFleet, index: number) {
    this.#fleet = fleet;
    this.name = `i-${String(index).padStart(6, "0")}`;
    this.address = `127.2.${index >> 8}.${index & 255}:${WORKER_PORT}`;
    this.#node = index % fleet.options.nodes.length;
  }

  start(): void {
    const [host, port] = this.address.split(":");
    net.createServer((socket) => this.#server.emit("connection", socket)).listen(Number(port), host);
    this.#later(Math.random() * this.#fleet.options.reportMs);
    setInterval(() => this.#checkLease(), 200);
  }

  readonly #server = http.createServer(async (req, res) => {
    const body = (await readBody(req)) as { baton: number; shift: number; orders: Order[] };
    this.#checkLease();
    if (req.url === "/do" && body.baton >= this.#token && body.shift === this.#session) {
      this.#token = body.baton;
      for (const order of body.orders) this.#execute(order);
      reply(res, 200, this.#report());
    } else reply(res, req.url === "/do" ? 409 : 200, this.#report());
  });

  #checkLease(): void {
    if (performance.now() - this.#leaseFrom <= this.#fleet.options.leaseMs) return;
    for (const task of this.tasks) this.#leave(task);
    this.tasks = [];
    this.#session++;
    this.#fleet.leasesLost++;
    this.#leaseFrom = performance.now();
    this.#soon();
  }

  #leave(task: Task): void {
    if (task.timer) clearTimeout(task.timer);
    task.stay.endMs ??= performance.now();
  }

  #report(): object {
    this.#sequence++;
    return {
      host: this.name,
      address: this.address,
      rack: "r16",
      yard: "a",
      loaners: false,
      shift: this.#session,
      tally: this.#sequence,
      baton: this.#token,
      recall_s: null,
      pieces: this.tasks.map(({ piece, attempt, phase, cause }) => ({ piece, try: attempt, phase, cause })),
    };
  }

  #later(ms: number): void {
    if (this.#timer) clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.#send(), ms);
  }

  #soon(): void {
    if (this.#reporting) return;
    this.#later(Math.max(0, LEAST_BETWEEN_MS - (performance.now() - this.#reportedAt)));
  }

  #send(): void {
    const node = this.#fleet.options.nodes[this.#node];
    if (!node || this.#reporting) return;
    this.#reporting = true;
    const sentAt = performance.now();
    const session = this.#session;
    this.#reportedAt = sentAt;
    const body = JSON.stringify(this.#report());
    let over = false;
    const finish = (status: number, answer: unknown) => {
      if (over) return;
      over = true;
      clearTimeout(timer);
      this.#reporting = false;
      this.#answered(status, answer, sentAt, session);
    };
    const headers = { "content-type": "application/json", "content-length": Buffer.byteLength(body) };
    const { host, port } = node;
    const options = { host, port, method: "POST", path: "/agent/beat", headers, agent: this.#agent };
    const req = http.request(options, (res) => {
      readBody(res).then(
        (answer) => finish(res.statusCode ?? 0, answer),
        () => finish(0, null),
      );
    });
    req.on("error", () => finish(0, null));
    const timer = setTimeout(() => {
      req.destroy();
      finish(0, null);
    }, ANSWER_MS);
    req.end(body);
  }

  #answered(status: number, answer: unknown, sentAt: number, session: number): void {
    const { options } = this.#fleet;
    const steward = (answer as { steward?: string } | null)?.steward;
    if (status === 421 && steward !== undefined) {
      const ix = options.nodes.findIndex(({ name }) => name === steward);
      if (ix >= 0 && ix !== this.#node) {
        this.#node = ix;
        this.#later(Math.random() * 500);
        return;
      }
    }
    if (status !== 200) {
      this.#fleet.refused++;
      this.#node = (this.#node + 1) % options.nodes.length;
      this.#later(TRY_NEXT_MS);
      return;
    }
    this.#later(options.reportMs * (0.75 + Math.random() / 2));
    this.#checkLease();
    const { baton, orders } = answer as { baton: number; orders: Order[] };
    if (session !== this.#session || baton < this.#token) return;
    this.#fleet.answeredReports++;
    if (baton > this.#token) this.#soon();
    this.#token = baton;
    this.#leaseFrom = sentAt;
    for (const order of orders) this.#execute(order);
  }

  #execute(order: Order): void {
    const held = this.tasks.find(({ piece, attempt }) => piece === order.piece && attempt === order.try);
    switch (order.verb) {
      case "launch":
        if (!held) this.#launch(order.piece, order.try);
        break;
      case "stop":
        if (held?.phase === "running") this.#end(held, "stopped");
        break;
      case "clear":
        if (held?.phase === "ended") this.tasks.splice(this.tasks.indexOf(held), 1);
        break;
    }
  }

  #launch(piece: string, attempt: number): void {
    const stay: Stay = { worker: this.name, attempt, beginMs: performance.now(), endMs: null };
    const task: Task = { piece, attempt, phase: "running", cause: null, stay, timer: null };
    const uid = piece.slice(0, piece.lastIndexOf("/"));
    task.timer = setTimeout(() => this.#end(task, "done"), this.#fleet.options.runMs(uid));
    this.tasks.push(task);
    this.#fleet.history.begin(piece, stay);
    this.#fleet.began(piece, attempt);
    this.#soon();
  }

  #end(task: Task, cause: string): void {
    this.#leave(task);
    task.phase = "ended";
    task.cause = cause;
    this.#soon();
  }
}

/** Thousands of stand-in workers in one process, each with an address of its own on the loopback range. */
export class WorkerFleet {
  readonly workers: FleetWorker[] = [];
  readonly history = new History();
  readonly options: FleetOptions;
  /** Told of each start. */
  began: (piece: string, attempt: number) => void = () => {};
  answeredReports = 0;
  refused = 0;
  leasesLost = 0;

  constructor(options: FleetOptions, count: number) {
    this.options = options;
    for (let i = 1; i <= count; i++) this.workers.push(new FleetWorker(this, i));
  }

  start(): void {
    for (const worker of this.workers) worker.start();
  }
}
