import http from "node:http";
import net from "node:net";
import { createAsyncServer, readBody, reply } from "./http.js";
import { AGENT_PORT } from "./nodes.js";
import { RunHistory, type TaskRun } from "./run-history.js";

const MIN_HEARTBEAT_INTERVAL_MS = 500;
const NEXT_NODE_DELAY_MS = 1000;
const MAX_REDIRECT_DELAY_MS = 500;
const REPLY_TIMEOUT_MS = 4000;
const LEASE_CHECK_MS = 200;

interface Task {
  readonly name: string;
  readonly attempt: number;
  phase: "running" | "ended";
  exitReason: string | null;
  readonly run: TaskRun;
  readonly endTimer: NodeJS.Timeout;
}

/** A command in wire format. */
interface WireCommand {
  readonly verb: "launch" | "stop" | "clear";
  readonly piece: string;
  readonly try: number;
}

/** A command batch in wire format. */
interface WireBatch {
  readonly baton: number;
  readonly shift: number;
  readonly orders: readonly WireCommand[];
}

/** The reply to a heartbeat in wire format; a redirect names the leader in `steward`. */
interface WireReply {
  readonly baton?: number;
  readonly orders?: readonly WireCommand[];
  readonly steward?: string;
}

/** Options that apply to all agents of a fleet. */
export interface FleetOptions {
  readonly nodes: readonly { readonly host: string; readonly port: number; readonly name: string }[];
  readonly heartbeatMs: number;
  readonly leaseMs: number;
  /** Returns the run time of a job's tasks. */
  readonly runMs: (uid: string) => number;
}

/** A fake agent: sends heartbeats and executes commands. When its lease expires, all its tasks end. */
class FakeAgent {
  readonly machine: string;
  readonly address: string;
  tasks: Task[] = [];
  #incarnation = 1;
  #sequence = 0;
  #fencingToken = 0;
  #nodeIndex: number;
  #leaseRenewedAt = performance.now();
  #sentAt = 0;
  #timer: NodeJS.Timeout | null = null;
  #isAwaitingReply = false;
  readonly #connections = new http.Agent({ keepAlive: true, maxSockets: 1 });
  readonly #server = createAsyncServer((req, res) => this.#serve(req, res));
  readonly #fleet: AgentFleet;

  constructor(fleet: AgentFleet, index: number) {
    this.#fleet = fleet;
    this.machine = `i-${String(index).padStart(6, "0")}`;
    this.address = `127.2.${index >> 8}.${index & 255}:${AGENT_PORT}`;
    this.#nodeIndex = index % fleet.options.nodes.length;
  }

  /** Starts the agent, which runs until the process exits. */
  start(): void {
    const [host, port] = this.address.split(":");
    net.createServer((socket) => this.#server.emit("connection", socket)).listen(Number(port), host);
    this.#scheduleHeartbeat(Math.random() * this.#fleet.options.heartbeatMs);
    setInterval(() => this.#checkLease(), LEASE_CHECK_MS);
  }

  /** Executes a command batch, unless its fencing token is outdated or it is for another incarnation. */
  async #serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const batch = (await readBody(req)) as WireBatch;
    this.#checkLease();
    if (req.url !== "/do") reply(res, 200, this.#nextHeartbeat());
    else if (batch.baton < this.#fencingToken || batch.shift !== this.#incarnation) {
      reply(res, 409, this.#nextHeartbeat());
    } else {
      this.#fencingToken = batch.baton;
      for (const command of batch.orders) this.#execute(command);
      reply(res, 200, this.#nextHeartbeat());
    }
  }

  #checkLease(): void {
    if (performance.now() - this.#leaseRenewedAt <= this.#fleet.options.leaseMs) return;
    for (const task of this.tasks) endRun(task);
    this.tasks = [];
    this.#incarnation++;
    this.#fleet.expiredLeases++;
    this.#leaseRenewedAt = performance.now();
    this.#expediteHeartbeat();
  }

  #nextHeartbeat(): object {
    this.#sequence++;
    return {
      host: this.machine,
      address: this.address,
      rack: "r16",
      yard: "a",
      loaners: false,
      shift: this.#incarnation,
      tally: this.#sequence,
      baton: this.#fencingToken,
      recall_s: null,
      pieces: this.tasks.map(({ name, attempt, phase, exitReason }) => ({
        piece: name,
        try: attempt,
        phase,
        cause: exitReason,
      })),
    };
  }

  #scheduleHeartbeat(delayMs: number): void {
    if (this.#timer) clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.#sendHeartbeat(), delayMs);
  }

  /** Sends the next heartbeat as early as the minimum interval permits, to report a change. */
  #expediteHeartbeat(): void {
    if (this.#isAwaitingReply) return;
    this.#scheduleHeartbeat(Math.max(0, MIN_HEARTBEAT_INTERVAL_MS - (performance.now() - this.#sentAt)));
  }

  #sendHeartbeat(): void {
    const node = this.#fleet.options.nodes[this.#nodeIndex];
    if (!node || this.#isAwaitingReply) return;
    this.#isAwaitingReply = true;
    const sentAt = performance.now();
    const incarnation = this.#incarnation;
    this.#sentAt = sentAt;
    const body = JSON.stringify(this.#nextHeartbeat());
    let isFinished = false;
    const finish = (status: number, answer: unknown) => {
      if (isFinished) return;
      isFinished = true;
      clearTimeout(timer);
      this.#isAwaitingReply = false;
      this.#handleReply(status, answer as WireReply | null, sentAt, incarnation);
    };
    const headers = { "content-type": "application/json", "content-length": Buffer.byteLength(body) };
    const { host, port } = node;
    const options = { host, port, method: "POST", path: "/agent/beat", headers, agent: this.#connections };
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
    }, REPLY_TIMEOUT_MS);
    req.end(body);
  }

  #handleReply(status: number, answer: WireReply | null, sentAt: number, incarnation: number): void {
    const { options } = this.#fleet;
    if (status === 421 && this.#followRedirect(answer?.steward)) return;
    if (status !== 200) {
      this.#fleet.failedHeartbeats++;
      this.#nodeIndex = (this.#nodeIndex + 1) % options.nodes.length;
      this.#scheduleHeartbeat(NEXT_NODE_DELAY_MS);
      return;
    }
    this.#scheduleHeartbeat(options.heartbeatMs * (0.75 + Math.random() / 2));
    this.#checkLease();
    const { baton = 0, orders = [] } = answer ?? {};
    if (incarnation !== this.#incarnation || baton < this.#fencingToken) return;
    this.#fleet.answeredHeartbeats++;
    if (baton > this.#fencingToken) this.#expediteHeartbeat();
    this.#fencingToken = baton;
    this.#leaseRenewedAt = sentAt;
    for (const command of orders) this.#execute(command);
  }

  /** Switches to the leader named in a redirect; returns false if none is named or the node names itself. */
  #followRedirect(leader: string | undefined): boolean {
    const leaderIndex = this.#fleet.options.nodes.findIndex(({ name }) => name === leader);
    if (leaderIndex < 0 || leaderIndex === this.#nodeIndex) return false;
    this.#nodeIndex = leaderIndex;
    this.#scheduleHeartbeat(Math.random() * MAX_REDIRECT_DELAY_MS);
    return true;
  }

  #execute(command: WireCommand): void {
    const task = this.tasks.find(({ name, attempt }) => name === command.piece && attempt === command.try);
    switch (command.verb) {
      case "launch":
        if (!task) this.#launch(command.piece, command.try);
        break;
      case "stop":
        if (task?.phase === "running") this.#end(task, "stopped");
        break;
      case "clear":
        if (task?.phase === "ended") this.tasks.splice(this.tasks.indexOf(task), 1);
        break;
    }
  }

  #launch(name: string, attempt: number): void {
    const run: TaskRun = { machine: this.machine, attempt, startMs: performance.now(), endMs: null };
    const uid = name.slice(0, name.lastIndexOf("/"));
    const endTimer = setTimeout(() => this.#end(task, "done"), this.#fleet.options.runMs(uid));
    const task: Task = { name, attempt, phase: "running", exitReason: null, run, endTimer };
    this.tasks.push(task);
    this.#fleet.history.recordStart(name, run);
    this.#fleet.onTaskStart(name, attempt);
    this.#expediteHeartbeat();
  }

  #end(task: Task, exitReason: string): void {
    endRun(task);
    task.phase = "ended";
    task.exitReason = exitReason;
    this.#expediteHeartbeat();
  }
}

function endRun(task: Task): void {
  clearTimeout(task.endTimer);
  task.run.endMs ??= performance.now();
}

/** Thousands of fake agents in one process, each with its own loopback address. */
export class AgentFleet {
  readonly agents: FakeAgent[] = [];
  readonly history = new RunHistory();
  readonly options: FleetOptions;
  /** Called at every start of a task. */
  onTaskStart: (task: string, attempt: number) => void = () => {};
  /** Number of heartbeats that renewed the agent's lease. */
  answeredHeartbeats = 0;
  /** Number of heartbeats that were rejected or got no reply; followed redirects are not counted. */
  failedHeartbeats = 0;
  expiredLeases = 0;

  constructor(options: FleetOptions, count: number) {
    this.options = options;
    for (let i = 1; i <= count; i++) this.agents.push(new FakeAgent(this, i));
  }

  /** Starts every agent. */
  start(): void {
    for (const agent of this.agents) agent.start();
  }

  /** Number of tasks on all machines, including ended tasks that are not acknowledged yet. */
  get taskCount(): number {
    return this.agents.reduce((sum, { tasks }) => sum + tasks.length, 0);
  }
}
