// Workers, one per machine, as PROTOCOL describes them, and the gangs that their tasks form.
import http from "node:http";
import { call, listen, nowMs, readJson, reply, sleep } from "./common.mjs";
import { Link } from "./proxy.mjs";

const CHANGE_INTERVAL_MS = 500;
const ANSWER_TIMEOUT_MS = 4000;
const NEXT_NODE_MS = 1000;
const LEASE_CHECK_MS = 50;

/** What all workers share: the settings, the jobs that users have submitted, results, gangs and the history. */
export class Fleet {
  workers = [];
  /**
   * Descriptions of submitted jobs by uid, as users upload them; `runMs(task)` is the run time of a task. Tasks of a job
   * with `fails` end with `error`, as those of a job that was submitted with a mistake.
   */
  jobs = new Map();
  /** Tasks that have completed: if started again, they exit with `done`. */
  results = new Set();
  /** Running and waiting members by `uid try`. */
  gangs = new Map();
  /** Called when a task is on its machine (has its image), and when it is there no more. */
  onTaskOn = () => {};
  onTaskOff = () => {};

  constructor({ record, nodes, reportS, leaseS, gangWaitS, gangPeerS, fetchGbPerS }) {
    Object.assign(this, { record, nodes, reportS, leaseS, gangWaitS, gangPeerS, fetchGbPerS });
  }

  async add(options) {
    const worker = new Worker(this, options);
    await worker.start();
    this.workers.push(worker);
    return worker;
  }

  /** All tasks with their image on some machine, as `{piece, try, worker}`. */
  tasksOnMachines() {
    return this.workers.flatMap((worker) => worker.tasksOn().map((task) => ({ ...task, worker })));
  }

  gang(uid, attempt) {
    const key = `${uid} ${attempt}`;
    let gang = this.gangs.get(key);
    if (!gang) {
      gang = { members: new Map(), started: false };
      this.gangs.set(key, gang);
    }
    return gang;
  }

  /** A member is on its machine: the gang starts once all are. */
  joinGang(worker, task) {
    const job = this.jobs.get(task.uid);
    const gang = this.gang(task.uid, task.try);
    gang.members.set(task.index, { worker, task });
    if (gang.started || gang.members.size < job.pieces) return;
    gang.started = true;
    for (const member of gang.members.values()) member.worker.run(member.task);
    gang.timer = setTimeout(() => this.#completeGang(gang), job.runMs(0));
  }

  #completeGang(gang) {
    for (const { worker, task } of [...gang.members.values()]) worker.end(task, "done");
  }

  /** A member is gone: the others notice within gang_peer_s if the gang had started. */
  leaveGang(task, cause) {
    const gang = this.gang(task.uid, task.try);
    gang.members.delete(task.index);
    if (cause === "done" || !gang.started) return;
    clearTimeout(gang.timer);
    setTimeout(
      () => {
        for (const { worker, task: other } of [...gang.members.values()]) worker.end(other, "peers");
      },
      this.gangPeerS * 1000 * 0.6,
    );
  }
}

class Worker {
  tally = 0;
  shift = 1;
  baton = 0;
  tasks = [];
  /** Nodes that the worker can't reach: what it sends to them is lost. */
  unreachable = new Set();
  #fleet;
  #images = new Map();
  #renewedAt = nowMs();
  #sentAt = Number.NEGATIVE_INFINITY;
  #timer = null;
  #awaitsAnswer = false;
  #nodeIndex;
  #isDead = false;
  #connections = new http.Agent({ keepAlive: true, maxSockets: 1 });

  constructor(fleet, { host, ip, rack, yard, loaners = false, cpus, gpus = 0, ramGb, firstNode = 0, hasLink = false }) {
    this.#fleet = fleet;
    Object.assign(this, { host, ip, rack, yard, loaners, cpus, gpus, ramGb, hasLink });
    this.#nodeIndex = firstNode % fleet.nodes.length;
  }

  async start() {
    const { port } = await listen(this.ip, (req, res) => this.#serve(req, res));
    this.address = `${this.ip}:${port}`;
    if (!this.hasLink) return;
    // Direct commands come over this link, which can be cut.
    this.link = await Link.open(this.ip, () => ({ host: this.ip, port }));
    this.address = this.link.address;
  }

  /** Begins to report. */
  report() {
    this.#renewedAt = nowMs();
    this.#schedule(Math.random() * 300);
    this.leaseTimer = setInterval(() => this.#checkLease(), LEASE_CHECK_MS);
  }

  /** The machine is unpowered: nothing runs, nothing is answered; connections to it hang. */
  die() {
    if (this.#isDead) return;
    this.#isDead = true;
    clearInterval(this.leaseTimer);
    clearTimeout(this.#timer);
    this.#connections.destroy();
    this.#fleet.record.line(`${this.host}: machine stopped with ${this.tasks.length} tasks`);
    this.#killAll();
  }

  tasksOn() {
    return this.tasks.filter(({ phase }) => ["waiting", "running", "saving"].includes(phase));
  }

  /** What the tasks take, fetching ones included. */
  used() {
    const sum = { cpus: 0, gpus: 0, ramGb: 0 };
    for (const { uid, phase } of this.tasks) {
      if (phase === "ended") continue;
      const job = this.#fleet.jobs.get(uid);
      sum.cpus += job.cpus;
      sum.gpus += job.gpus;
      sum.ramGb += job.ram_gb;
    }
    return sum;
  }

  hasRoomFor(job) {
    const used = this.used();
    return (
      job.cpus <= this.cpus - used.cpus + 1e-9 &&
      job.gpus <= this.gpus - used.gpus + 1e-9 &&
      job.ram_gb <= this.ramGb - used.ramGb + 1e-9
    );
  }

  get isAlive() {
    return !this.#isDead;
  }

  async #serve(req, res) {
    const body = await readJson(req);
    if (this.#isDead) return;
    this.#checkLease();
    if (req.url !== "/do") {
      reply(res, 200, this.#nextReport());
      return;
    }
    const isRefused = body.baton < this.baton || body.shift !== this.shift;
    if (body.orders.length === 0 || isRefused)
      this.#fleet.record.line(`${this.host}: /do with baton ${body.baton}, ${body.orders.length} orders${isRefused ? ": refused" : ""}`);
    if (body.baton === undefined || body.shift === undefined) reply(res, 400, { error: "malformed" });
    else if (isRefused) reply(res, 409, this.#nextReport());
    else {
      this.#seeToken(body.baton);
      for (const order of body.orders) this.#execute(order, "/do");
      reply(res, 200, this.#nextReport());
    }
  }

  #seeToken(baton) {
    if (baton <= this.baton) return;
    this.baton = baton;
    this.#onChange();
  }

  #checkLease() {
    if (this.#isDead || nowMs() - this.#renewedAt <= this.#fleet.leaseS * 1000) return;
    this.#fleet.record.line(`${this.host}: lease over, ${this.tasks.length} tasks forgotten`);
    this.#killAll();
    this.shift++;
    this.#renewedAt = nowMs();
    this.#onChange();
  }

  #killAll() {
    for (const task of [...this.tasks]) this.#off(task, "killed");
    this.tasks = [];
  }

  #nextReport() {
    this.tally++;
    return {
      host: this.host,
      address: this.address,
      rack: this.rack,
      yard: this.yard,
      loaners: this.loaners,
      shift: this.shift,
      tally: this.tally,
      baton: this.baton,
      recall_s: null,
      pieces: this.tasks.map(({ piece, try: attempt, phase, cause, stored }) => ({
        piece,
        try: attempt,
        phase,
        ...(cause === null ? {} : { cause }),
        ...(stored ? { stored } : {}),
      })),
    };
  }

  #schedule(delayMs) {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.#send(), delayMs);
  }

  #onChange() {
    if (this.#isDead || this.#awaitsAnswer || this.#isBackingOff) return;
    this.#schedule(Math.max(0, CHANGE_INTERVAL_MS - (nowMs() - this.#sentAt)));
  }

  #isBackingOff = false;

  async #send() {
    const { nodes, record, reportS } = this.#fleet;
    this.#isBackingOff = false;
    const node = nodes[this.#nodeIndex];
    const shift = this.shift;
    const sentAt = nowMs();
    this.#sentAt = sentAt;
    this.#awaitsAnswer = true;
    const text = JSON.stringify(this.#nextReport());
    const answer = this.unreachable.has(node)
      ? await sleep(ANSWER_TIMEOUT_MS)
      : await call(node.host, node.port, "POST", "/agent/beat", text, ANSWER_TIMEOUT_MS, this.#connections);
    this.#awaitsAnswer = false;
    if (this.#isDead) return;
    if (answer?.status === 421) {
      const named = nodes.findIndex(({ name }) => name === answer.body?.steward);
      if (named >= 0 && named !== this.#nodeIndex) {
        this.#nodeIndex = named;
        this.#schedule(Math.random() * 500);
        return;
      }
    }
    if (answer?.status !== 200) {
      record.line(
        `${this.host}: report of ${text.length} bytes to ${node.name}: ${answer ? `status ${answer.status}` : "no answer"}`,
      );
      this.#nodeIndex = (this.#nodeIndex + 1) % nodes.length;
      this.#isBackingOff = true;
      this.#schedule(NEXT_NODE_MS);
      return;
    }
    this.#schedule(reportS * 1000 * (0.75 + Math.random() / 2));
    this.#checkLease();
    const { baton = -1, orders = [] } = answer.body ?? {};
    const isDropped = shift !== this.shift || baton < this.baton;
    record.line(
      `${this.host}: report of ${this.tasks.length} tasks to ${node.name}: 200, baton ${baton}, ${orders.length} orders` +
        (isDropped ? ", dropped" : ""),
    );
    if (isDropped) return;
    this.#renewedAt = sentAt;
    this.#seeToken(baton);
    for (const order of orders) this.#execute(order, "answer");
  }

  #execute({ verb, piece, try: attempt, windup_s: windupS }, via) {
    const task = this.tasks.find((one) => one.piece === piece && one.try === attempt);
    if (verb === "stop") this.#fleet.record.line(`${this.host}: stop ${piece} try ${attempt} windup ${windupS} by ${via}`);
    if (verb === "launch" && !task) this.#launch(piece, attempt, via);
    else if (verb === "stop" && task) this.#stop(task, windupS);
    else if (verb === "clear" && task?.phase === "ended") this.tasks.splice(this.tasks.indexOf(task), 1);
  }

  #launch(piece, attempt, via) {
    const slash = piece.lastIndexOf("/");
    const uid = piece.slice(0, slash);
    const job = this.#fleet.jobs.get(uid);
    const task = { piece, uid, index: Number(piece.slice(slash + 1)), try: attempt, phase: "pulling", cause: null };
    const isBusy = this.tasks.some((one) => one.piece === piece && one.phase !== "ended");
    const refusal = !job ? "unknown" : isBusy ? "busy" : this.hasRoomFor(job) ? null : "no_room";
    this.tasks.push(task);
    if (job?.isQuiet !== true) this.#fleet.record.line(`${this.host}: launch ${piece} try ${attempt} by ${via}`);
    if (refusal !== null) {
      this.end(task, refusal);
      return;
    }
    this.#onChange();
    this.#fetch(job, () => this.#hasImage(task, job));
  }

  /** A machine fetches an image once for all tasks that need it. */
  #fetch({ bundle, size_gb: sizeGb }, onReady) {
    let image = this.#images.get(bundle);
    if (!image) {
      image = { isReady: false, waiting: [] };
      this.#images.set(bundle, image);
      setTimeout(
        () => {
          image.isReady = true;
          for (const ready of image.waiting.splice(0)) ready();
        },
        (sizeGb / this.#fleet.fetchGbPerS) * 1000,
      );
    }
    if (image.isReady) onReady();
    else image.waiting.push(onReady);
  }

  #hasImage(task, job) {
    if (this.#isDead || task.phase !== "pulling" || !this.tasks.includes(task)) return;
    if (this.#fleet.results.has(task.piece)) {
      this.end(task, "done");
      return;
    }
    task.phase = job.shape === "gang" ? "waiting" : "running";
    this.#fleet.onTaskOn(task, this);
    if (job.shape === "gang") {
      this.#onChange();
      task.timer = setTimeout(() => {
        if (task.phase === "waiting") this.end(task, "incomplete");
      }, this.#fleet.gangWaitS * 1000);
      this.#fleet.joinGang(this, task);
    } else this.run(task);
  }

  /** The task runs; tasks of arrays end by themselves, gangs together, services never. */
  run(task) {
    const job = this.#fleet.jobs.get(task.uid);
    task.phase = "running";
    this.#onChange();
    const cause = job.fails ? "error" : "done";
    if (job.shape === "sweep") task.timer = setTimeout(() => this.end(task, cause), job.runMs(task.index));
  }

  #stop(task, windupS) {
    const job = this.#fleet.jobs.get(task.uid);
    if (task.phase === "running" && job.snapshot_s > 0 && windupS >= job.stow_s) {
      task.phase = "saving";
      clearTimeout(task.timer);
      task.timer = setTimeout(() => {
        task.stored = true;
        this.end(task, "stopped");
      }, job.stow_s * 1000);
      this.#onChange();
    } else if (task.phase !== "ended" && !(task.phase === "saving" && windupS > 0)) this.end(task, "stopped");
  }

  /** The task exits; it stays in the reports until it is cleared. */
  end(task, cause) {
    if (task.phase === "ended" || !this.tasks.includes(task)) return;
    this.#off(task, cause);
    task.phase = "ended";
    task.cause = cause;
    if (cause === "done") this.#fleet.results.add(task.piece);
    this.#onChange();
  }

  #off(task, cause) {
    clearTimeout(task.timer);
    if (!["waiting", "running", "saving"].includes(task.phase)) return;
    const job = this.#fleet.jobs.get(task.uid);
    this.#fleet.onTaskOff(task, this, cause);
    if (job.shape === "gang") this.#fleet.leaveGang(task, cause);
  }
}
