import { Controller } from "../../src/core/controller.js";
import type { AgentCommand, Heartbeat, HeartbeatReply } from "../../src/core/messages/agents.js";
import type { CloudRequest, CloudResponse } from "../../src/core/messages/cloud.js";
import type { Command } from "../../src/core/messages/commands.js";
import type { Effect } from "../../src/core/messages/effects.js";
import type { StoreRequest, StoreResponse } from "../../src/core/messages/store.js";
import type { UserResponse } from "../../src/core/messages/users.js";
import type { Deployment, MachineType } from "../../src/core/model/deployment.js";
import type { JobSpec } from "../../src/core/model/job-spec.js";
import type { Resources } from "../../src/core/model/resources.js";
import { randomInt, seededRandom } from "../../src/core/random.js";
import { deployment, NODES, TYPES } from "../support/deployment.js";
import { FakeStore } from "../support/fake-store.js";
import { readRecordInProduction } from "../support/production-readers.js";
import { LeftWaiting } from "./left-waiting.js";
import { Meter } from "./meter.js";
import { OnMachines } from "./on-machines.js";
import { Timeline } from "./timeline.js";
import type { Job, Worker, WorkerTask } from "./truth.js";

/**
 * A model of everything outside the core: state service, cloud, workers, users, network. It plays in
 * virtual time from a seed, hurts the service in random ways, and checks the rules as it goes.
 */

/** The part of all ends and cancellations that users look at closely. */
const CLOSE_LOOKS = 0.3;
/** The most machines in one page of the cloud's list. */
const LIST_PAGE = 500;
const STANDBY_BYTES = 8 * 1024 * 1024;

interface Node {
  /** It is yet to be upgraded: it neither says nor hears which protocol others speak. */
  old: boolean;
  readonly ix: number;
  readonly name: string;
  core: Controller | null;
  epoch: number;
  rate: number;
  offset: number;
  cutUntil: number;
  stateCutUntil: number;
  peersCutUntil: number;
  refusedUntil: number;
  workersCutUntil: number;
  /** Follows get no answer, while all other calls do. */
  followsHangUntil: number;
  /** Packets of a cut are delivered when it ends, not lost. */
  holds: boolean;
  /** It stands still until then, while its clocks run on. */
  frozenUntil: number;
  /** It stood still between deciding and writing: what it decided leaves it when it goes on. */
  frozeDeciding: boolean;
  /** What came meanwhile, and what it had decided. */
  readonly waiting: Command[];
  readonly unsent: Effect[];
}

/** Told of everything that leaves a node, in order, with the node and the model's clock. */
export type EffectObserver = (core: Controller, node: string, now: number, effect: Effect) => void;

export interface Violation {
  readonly rule: string;
  readonly text: string;
}

export interface Trouble {
  readonly crash: number;
  readonly cut: number;
  readonly outage: number;
  readonly hang: number;
  readonly taken: number;
  readonly error: number;
  /** Workers whose reports arrive while nothing reaches them. */
  readonly deaf: number;
  /** The part of all reports of which a copy comes late. */
  readonly copies: number;
  /** Nodes that lose the state service and their peers, but not their workers. */
  readonly lonely: number;
  /** Nodes that are back within a fraction of a second, also twice in a row and all together. */
  readonly blink: number;
  /** Nodes that stand still for longer than grant, hold or lease, and go on where they were. */
  readonly freeze: number;
  /** Many machines at once: die, hang, are taken, or are cut off with their zone; a node ends in the middle of some. */
  readonly masses: number;
  /** The state service down, then all nodes end, one after the other, and all again. */
  readonly roll: number;
  /** Two or three of the above and of those below within seconds, most of them of the leader. */
  readonly meet: number;
  /** The part of all jobs that are called off at the very moment of their end. */
  readonly cancelAtEnd: number;
  /** The nodes begin old, are upgraded one after the other, and then the limits of the state service fall. */
  readonly upgrade: boolean;
}

export class ModelCluster {
  now = 0;
  readonly violations: Violation[] = [];
  readonly jobs = new Map<string, Job>();
  readonly state = new FakeStore();
  readonly workers = new Map<string, Worker>();
  readonly nodes: Node[];
  /** Submissions that were not taken, and when they were told to come back, if they were. */
  readonly turnedAway: { readonly team: string; readonly at: number; readonly afterS: number | null }[] = [];
  starts = 0;
  /** Tasks that a command has ended. */
  stops = 0;
  finished = 0;
  readonly onMachines = new OnMachines();
  /** Requests that reached the state service and the cloud. */
  readonly stateCalls = new Meter();
  readonly cloudCalls = new Meter();
  /** Leases that ran out, and the longest that a node that led went without asking for its renewal. */
  readonly leasesLost: { readonly worker: string; readonly zone: string; readonly at: number }[] = [];
  longestUnrenewedMs = 0;
  /** How long after its user was told of the cancellation a task of a job began, each time that one did. */
  readonly lateStarts: number[] = [];
  /** Where each new leader had its records from. */
  readonly takeovers: string[] = [];
  readonly logs: string[] = [];
  readonly #random;
  readonly #timeline = new Timeline();
  readonly #teams: Deployment["teams"];
  readonly #leftWaiting: LeftWaiting;
  readonly #hires = new Map<string, string[]>();
  readonly #trouble: Trouble;
  /** Until then transactions get no answer now and then, and are carried out seconds later. */
  lateWritesUntil = 0;
  slowStateUntil = 0;
  #copiesUntil = 0;
  #nextMachine = 1;
  #nextReq = 1;
  readonly #answers = new Map<number, (a: UserResponse) => void>();
  readonly #reportAnswers = new Map<number, (a: HeartbeatReply) => void>();

  /** Machines of each type, zone and kind, times four; the teams' limits grow with them. */
  readonly #scale: number;

  /** Whether the nodes keep the records while another leads. */
  readonly #standby: boolean;

  /** Whether submissions are admitted by the teams' shares. */
  readonly #admission: boolean;

  readonly #observer: EffectObserver | null;

  constructor(
    seed: number,
    trouble: Trouble,
    scale = 1,
    standby = false,
    admission = false,
    observer: EffectObserver | null = null,
  ) {
    this.#observer = observer;
    this.#standby = standby;
    this.#admission = admission;
    this.#random = seededRandom(seed);
    this.#trouble = trouble;
    this.#scale = scale;
    this.nodes = NODES.map((name, ix) => ({
      ix,
      name,
      old: trouble.upgrade,
      core: null,
      epoch: 0,
      rate: 1 + (randomInt(this.#random, -50, 50) / 50) * 0.0005,
      offset: randomInt(this.#random, 0, 100_000),
      cutUntil: 0,
      stateCutUntil: 0,
      peersCutUntil: 0,
      refusedUntil: 0,
      workersCutUntil: 0,
      followsHangUntil: 0,
      holds: false,
      frozenUntil: 0,
      frozeDeciding: false,
      waiting: [],
      unsent: [],
    }));
    this.#teams = this.#deployment(NODES[0]).teams;
    this.#leftWaiting = new LeftWaiting({
      workers: this.workers,
      jobs: this.jobs,
      teams: this.#teams,
      waitsForOthers: (job) =>
        this.isCalledOff(job) || this.#someNeed(job, (need) => need.finishedAt === null),
      fault: (uid) => this.fault("left_waiting", uid),
    });
    for (const node of this.nodes) this.#boot(node);
    for (const zone of ["a", "b"]) {
      for (const type of TYPES) for (let i = 0; i < 2 * scale; i++) this.#rent(type, zone, false, 0);
    }
    this.#every(50, () => this.state.expire(this.now));
    this.state.limits = { valueBytes: 8192, txnOps: 32, writeRps: 100 };
    this.state.onWrite = (key, value) => {
      if (this.nodes.some((node) => node.old) && readRecordInProduction(key, value) === null)
        this.fault("unreadable", `production can't read ${key}: ${JSON.stringify(value)}`);
    };
    if (trouble.upgrade) this.#upgrade();
  }

  /** True once every node has the new version: from then on users ask for what is new. */
  get upgraded(): boolean {
    return this.nodes.every((node) => !node.old);
  }

  #upgrade(): void {
    // What was decided before the gate opened may be carried out after what was decided later.
    if (this.chance(0.5)) {
      this.#at(15_000, () => {
        this.lateWritesUntil = this.now + 60_000;
      });
    }
    for (const node of this.nodes) {
      this.#at(20_000 + node.ix * this.between(6000, 14_000), () => {
        node.old = false;
        this.crash(node.ix, this.between(100, 4000));
      });
    }
    this.#at(this.between(50_000, 90_000), () => {
      this.state.limits = { valueBytes: 2048, txnOps: 10, writeRps: 70 };
    });
  }

  chance(p: number): boolean {
    return randomInt(this.#random, 0, 999_999) < p * 1_000_000;
  }

  between(a: number, b: number): number {
    return randomInt(this.#random, a, b);
  }

  #at(ms: number, run: () => void): void {
    this.#timeline.add(this.now + ms, run);
  }

  #every(ms: number, run: () => void): void {
    const again = () => {
      run();
      this.#at(ms, again);
    };
    this.#at(ms, again);
  }

  run(untilMs: number): void {
    while (this.#timeline.nextAt <= untilMs) {
      const event = this.#timeline.next();
      if (!event) return;
      this.now = event.at;
      event.run();
    }
  }

  fault(rule: string, text: string): void {
    this.violations.push({ rule, text: `${this.now} ms: ${text}` });
  }

  /* ---- nodes ---- */

  #boot(node: Node): void {
    node.epoch++;
    const { epoch } = node;
    node.waiting.length = 0;
    node.unsent.length = 0;
    node.frozenUntil = 0;
    node.core = new Controller(this.#deployment(node.name), {
      incarnation: `${node.name}-${epoch}`,
      seed: node.ix * 1000 + epoch,
      epochMs: 1_000_000_000,
      standbyBytes: this.#standby && !node.old ? STANDBY_BYTES : 0,
      admission: this.#admission && !node.old,
    });
    for (const other of this.nodes) {
      if (other !== node) this.#give(node, { kind: "peerLinkChanged", node: other.name, up: true });
    }
    const tick = () => {
      if (node.epoch !== epoch || !node.core) return;
      this.#give(node, { kind: "tick" });
      this.#at(100, tick);
    };
    this.#at(this.between(200, 900), tick);
  }

  #deployment(name: string): Deployment {
    const { teams, ...rest } = deployment(name);
    const grown = ({ cpu, gpu, ram }: Resources) => ({
      cpu: cpu * this.#scale,
      gpu: gpu * this.#scale,
      ram: ram * this.#scale,
    });
    return {
      ...rest,
      teams: teams.map((t) => ({ ...t, guarantee: grown(t.guarantee), limit: grown(t.limit) })),
    };
  }

  /** The node does nothing until then; what reaches it waits, and so may what it has just decided. */
  freeze(ix: number, forMs: number): void {
    const node = this.nodes[ix];
    if (!node?.core || this.now < node.frozenUntil) return;
    node.frozenUntil = this.now + forMs;
    node.frozeDeciding = this.chance(0.5);
    const { epoch } = node;
    this.#at(forMs, () => {
      if (node.epoch !== epoch) return;
      node.frozeDeciding = false;
      for (const effect of node.unsent.splice(0)) this.#effect(node, epoch, effect);
      const batch = node.waiting.splice(0);
      if (batch.length > 0) this.#giveAll(node, batch);
    });
  }

  crash(ix: number, downMs: number): void {
    const node = this.nodes[ix];
    if (!node?.core) return;
    node.core = null;
    node.epoch++;
    this.#at(downMs, () => this.#boot(node));
  }

  #nowOf(node: Node): number {
    return this.now * node.rate + node.offset;
  }

  #give(node: Node, command: Command): void {
    if (this.now >= node.frozenUntil) this.#giveAll(node, [command]);
    else if (node.frozeDeciding && node.core) {
      node.frozeDeciding = false;
      node.unsent.push(...this.#decide(node, node.core, [command]));
    } else node.waiting.push(command);
  }

  #decide(node: Node, core: Controller, batch: readonly Command[]): Effect[] {
    return core.handle(batch, this.#nowOf(node), { isSpent: () => this.chance(0.02) });
  }

  #giveAll(node: Node, batch: readonly Command[]): void {
    const { core, epoch } = node;
    if (!core) return;
    for (const effect of this.#decide(node, core, batch)) this.#effect(node, epoch, effect);
  }

  /** Gives a command later, unless the node has ended meanwhile. */
  #giveLater(node: Node, epoch: number, ms: number, command: () => Command): void {
    this.#at(ms, () => {
      if (node.epoch === epoch && node.core) this.#give(node, command());
    });
  }

  #effect(node: Node, epoch: number, effect: Effect): void {
    if (node.core) this.#observer?.(node.core, node.name, this.now, effect);
    switch (effect.kind) {
      case "respondToUser":
        this.#answers.get(effect.requestId)?.(effect.response);
        this.#answers.delete(effect.requestId);
        break;
      case "replyToAgent":
        this.#reportAnswers.get(effect.requestId)?.(this.#portable(node, effect.reply));
        this.#reportAnswers.delete(effect.requestId);
        break;
      case "forwardHeartbeat": {
        const to = this.nodes.find((n) => n.name === effect.to);
        if (!to || this.#peersCut(node, to)) break;
        const { requestId: req, body: raw } = effect;
        const report = raw as (node: Node) => Heartbeat;
        this.#at(this.between(1, 8), () => {
          if (to.core)
            this.#give(to, { kind: "forwardedHeartbeat", from: node.name, id: req, heartbeat: report(to) });
        });
        break;
      }
      case "replyToForwardedHeartbeat": {
        const back = this.nodes.find((n) => n.name === effect.to);
        if (!back || this.#peersCut(node, back)) break;
        const { id } = effect;
        const answer = this.#portable(node, effect.reply);
        this.#at(this.chance(0.01) ? this.between(1000, 3000) : this.between(1, 8), () => {
          this.#reportAnswers.get(id)?.(answer);
          this.#reportAnswers.delete(id);
        });
        break;
      }
      case "respondToOperator":
        break;
      case "log":
        if (effect.text === "leader ready")
          this.takeovers.push(node.core?.failover.takeover.source ?? "cold");
        if (effect.level !== "debug")
          this.logs.push(`${this.now} ${node.name} ${effect.text} ${JSON.stringify(effect.data)}`);
        break;
      case "callStore":
        this.#stateCall(node, epoch, effect.id, effect.request, effect.timeoutMs);
        break;
      case "callCloud":
        this.#cloudCall(node, epoch, effect.id, effect.request);
        break;
      case "sendToPeer": {
        const to = this.nodes.find((n) => n.name === effect.to);
        if (!to || this.#peersCut(node, to)) break;
        const copy = structuredClone(effect.message);
        const message =
          copy.kind === "heartbeat" && (node.old || to.old)
            ? { ...copy, protocol: undefined, standby: undefined, admission: undefined }
            : copy;
        this.#giveLater(to, to.epoch, this.between(1, 8), () => ({
          kind: "peerMessage",
          from: node.name,
          message,
        }));
        break;
      }
      case "sendAgentCommands":
        this.#direct(node, epoch, effect);
        break;
      default:
        effect satisfies never;
    }
  }

  #peersCut(a: Node, b: Node): boolean {
    return this.now < Math.max(a.cutUntil, b.cutUntil, a.peersCutUntil, b.peersCutUntil);
  }

  /** Orders name jobs by the sender's indices; outside they go by name. */
  #orderNames = new WeakMap<AgentCommand, string>();

  #portable(node: Node, answer: HeartbeatReply): HeartbeatReply {
    if (answer.kind === "commands") this.#nameOrders(node, answer.commands);
    return answer;
  }

  #nameOrders(node: Node, orders: readonly AgentCommand[]): void {
    for (const order of orders) this.#orderNames.set(order, node.core?.names.jobs.name(order.job) ?? "?");
  }

  #stateCall(node: Node, epoch: number, id: number, call: StoreRequest, timeoutMs: number): void {
    const answer = (ms: number, a: StoreResponse) => {
      this.#giveLater(node, epoch, ms, () => ({ kind: "storeResponded", id, response: a }));
    };
    const cut = this.now < Math.max(node.cutUntil, node.stateCutUntil);
    if (!cut) this.stateCalls.count(this.now);
    if (call.kind === "renewLease") this.#noteRenewal(node);
    if (call.kind === "watch") {
      const until = this.now + call.waitMs;
      const look = () => {
        if (node.epoch !== epoch) return;
        if (this.now < Math.max(node.cutUntil, node.stateCutUntil, node.followsHangUntil)) {
          answer(timeoutMs, { kind: "timeout" });
          return;
        }
        const open = this.now >= this.state.outageUntil && this.now >= node.refusedUntil;
        const found = open ? this.state.changesSince(call.prefix, call.after) : null;
        if (found) answer(3, found);
        else if (open && this.now >= until)
          answer(3, { kind: "events", events: [], revision: this.state.revision });
        else this.#at(20, look);
      };
      this.#at(3, look);
      return;
    }
    if (cut) {
      answer(timeoutMs, { kind: "timeout" });
      if (node.holds) {
        // The packets come through when the cut is over, long after the caller has given up.
        const end = Math.max(node.cutUntil, node.stateCutUntil);
        this.#at(end - this.now + this.between(1, 50), () => {
          if (this.now >= this.state.outageUntil) this.state.run(call, this.now);
        });
      }
      return;
    }
    if (this.now < this.state.outageUntil || this.now < node.refusedUntil) {
      answer(4, { kind: "unavailable", reason: "outage" });
      return;
    }
    if (call.kind === "transaction" && this.now < this.lateWritesUntil && this.chance(0.3)) {
      answer(timeoutMs, { kind: "timeout" });
      this.#at(this.between(2000, 12_000), () => {
        if (this.now >= this.state.outageUntil) this.state.run(call, this.now);
      });
      return;
    }
    const lost = this.chance(0.002);
    const slowMs = this.now < this.slowStateUntil ? this.between(0, 900) : 0;
    this.#at(slowMs + this.between(1, 4), () => {
      if (this.now < this.state.outageUntil) {
        answer(3, { kind: "unavailable", reason: "outage" });
        return;
      }
      const result = this.state.run(call, this.now);
      if (lost) answer(timeoutMs, { kind: "timeout" });
      else answer(this.between(1, 5), result);
    });
  }

  readonly #renewedAt = new Map<string, number>();

  #noteRenewal(node: Node): void {
    const key = `${node.name} ${node.epoch} ${node.core?.leaderTerm?.lease.firstFencingToken}`;
    const before = this.#renewedAt.get(key);
    if (before !== undefined) this.longestUnrenewedMs = Math.max(this.longestUnrenewedMs, this.now - before);
    this.#renewedAt.set(key, this.now);
  }

  /** Cuts off the machines of a zone from all nodes. */
  cutZone(zone: string, forMs: number): void {
    for (const worker of this.workers.values()) if (worker.zone === zone) worker.cutUntil = this.now + forMs;
  }

  /* ---- cloud ---- */

  #rent(type: MachineType, zone: string, spot: boolean, bootMs: number): Worker {
    const name = `i-${String(this.#nextMachine++).padStart(6, "0")}`;
    const worker: Worker = {
      name,
      type,
      zone,
      spot,
      hiredAt: this.now,
      upAt: this.now + bootMs,
      alive: true,
      hungUntil: 0,
      cutUntil: 0,
      deafUntil: 0,
      muteUntil: 0,
      session: 1,
      sequence: 0,
      token: 0,
      tasks: [],
      leaseFrom: this.now + bootMs,
      node: this.between(0, 2),
      nextReport: 0,
      inFlight: 0,
      noticeAt: null,
      images: new Set(),
    };
    this.workers.set(name, worker);
    this.#at(bootMs, () => this.#workerLife(worker));
    return worker;
  }

  #cloudCall(node: Node, epoch: number, id: number, call: CloudRequest): void {
    const answer = (ms: number, a: CloudResponse) => {
      this.#giveLater(node, epoch, ms, () => ({ kind: "cloudResponded", id, response: a }));
    };
    if (this.now < node.cutUntil) {
      answer(5000, { kind: "timeout" });
      return;
    }
    this.cloudCalls.count(this.now);
    this.#at(60, () => answer(60, this.#cloud(call)));
  }

  #cloud(call: CloudRequest): CloudResponse {
    switch (call.kind) {
      case "listTypes":
        return { kind: "types", machineTypes: TYPES };
      case "create": {
        const before = this.#hires.get(call.requestId);
        if (before) return { kind: "created", machines: before };
        const type = TYPES.find((x) => x.name === call.type);
        const there = [...this.workers.values()].filter(
          (w) => w.alive && w.type.name === call.type && w.zone === call.zone && w.spot === call.spot,
        ).length;
        const count = Math.min(call.count, 4 * this.#scale - there);
        if (!type || count <= 0) return { kind: "noCapacity" };
        const names: string[] = [];
        for (let i = 0; i < count; i++) {
          const bootMs = this.chance(0.05) ? 3_600_000 : type.bootS * this.between(600, 1500);
          names.push(this.#rent(type, call.zone, call.spot, bootMs).name);
        }
        this.#hires.set(call.requestId, names);
        return { kind: "created", machines: names };
      }
      case "delete":
        for (const name of call.machines) {
          const worker = this.workers.get(name);
          if (worker) this.#die(worker);
        }
        return { kind: "deleted" };
      case "list": {
        const seen = this.now - this.between(3000, 6000);
        const { after } = call;
        const listed = [...this.workers.values()]
          .filter((w) => w.hiredAt <= seen && (after === null || w.name > after))
          .filter((w) => w.alive || this.chance(0.3));
        const machines = listed.slice(0, LIST_PAGE).map((w) => ({
          name: w.name,
          address: `${w.name}:1`,
          type: w.type.name,
          zone: w.zone,
          spot: w.spot,
          phase: w.upAt <= seen ? ("running" as const) : ("booting" as const),
          ageS: (seen - w.hiredAt) / 1000,
        }));
        return { kind: "page", machines, more: listed.length > LIST_PAGE };
      }
    }
  }

  /* ---- workers ---- */

  #die(worker: Worker): void {
    worker.alive = false;
    this.onMachines.leaveAll(worker);
  }

  #stuck(worker: Worker): boolean {
    return this.now < worker.hungUntil;
  }

  #workerLife(worker: Worker): void {
    const step = () => {
      if (!worker.alive) return;
      this.#lease(worker);
      if (!this.#stuck(worker)) {
        this.#workerTasks(worker);
        if (this.now >= worker.nextReport && worker.inFlight === 0) this.#sendReport(worker);
      }
      this.#at(100, step);
    };
    step();
  }

  #lease(worker: Worker): void {
    if (this.now - worker.leaseFrom <= 12_000) return;
    this.leasesLost.push({ worker: worker.name, zone: worker.zone, at: this.now });
    this.onMachines.leaveAll(worker);
    worker.tasks = [];
    worker.session++;
    worker.leaseFrom = this.now;
  }

  #onMachine(task: WorkerTask): boolean {
    return task.state === "waiting" || task.state === "running" || task.state === "saving";
  }

  #begin(worker: Worker, task: WorkerTask): void {
    const job = this.jobs.get(task.uid);
    if (!job) return;
    const { spec } = job;
    this.starts++;
    const others = this.onMachines.others(task.uid, task.task, worker);
    if (others.length > 0)
      this.fault("ran_twice", `${task.uid}/${task.task} on ${worker.name} and ${others[0]?.name}`);
    if (job.cancelledAt !== null) {
      this.lateStarts.push(this.now - job.cancelledAt);
      if (this.now - job.cancelledAt > 40_000)
        this.fault("ran_cancelled", `${task.uid} starts long after its cancellation`);
    }
    for (const uid of spec.awaits ?? []) {
      const need = this.jobs.get(uid);
      if (need && need.finishedAt === null)
        this.fault("too_early", `${task.uid} starts before ${uid} is done`);
      if (need?.cancelledAt != null) this.fault("too_early", `${task.uid} starts though ${uid} is cancelled`);
    }
    if (spec.types && !spec.types.includes(worker.type.name))
      this.fault("wrong_place", `${task.uid} on a wrong type`);
    if (spec.zone !== null && spec.zone !== worker.zone)
      this.fault("wrong_place", `${task.uid} in a wrong zone`);
    if (worker.spot && !spec.spot) this.fault("wrong_place", `${task.uid} on a spot machine`);
    worker.images.add(spec.image);
    task.state = spec.shape === "gang" ? "waiting" : "running";
    if (spec.shape === "service") task.until = Number.POSITIVE_INFINITY;
    else if (spec.shape === "gang") task.until = this.now + 40_000;
    // The result of a task that was done before is kept.
    else task.until = this.now + (job.done.has(task.task) ? 0 : spec.estimateS * this.between(600, 1400));
    this.onMachines.enter(worker, task, spec);
    const teamUse = this.onMachines.teamUse(spec.team);
    const team = this.#teams.find((t) => t.name === spec.team);
    if (team && (teamUse.cpu > team.limit.cpu || teamUse.gpu > team.limit.gpu)) {
      this.fault("quota", `${spec.team} uses ${teamUse.cpu}/${teamUse.gpu}`);
    }
    if (!spec.oneZone && !spec.spread) return;
    const zones = this.onMachines.zones(task.uid);
    if (spec.oneZone && zones.size > 1) this.fault("wrong_place", `${task.uid} in two zones`);
    if (spec.spread && (zones.get(worker.zone)?.size ?? 0) > Math.ceil(spec.tasks / 2)) {
      this.fault("wrong_place", `${task.uid} not spread`);
    }
  }

  #end(worker: Worker, task: WorkerTask, cause: WorkerTask["cause"], saved = false): void {
    this.onMachines.leave(task);
    task.state = "ended";
    task.cause = cause;
    if (cause === "stopped") this.stops++;
    task.saved = saved;
    worker.nextReport = Math.min(worker.nextReport, this.now + 100);
    const job = this.jobs.get(task.uid);
    if (!job || cause !== "done") return;
    if (job.spec.shape === "gang") for (let i = 0; i < job.spec.tasks; i++) job.done.add(i);
    else job.done.add(task.task);
    if (job.done.size === job.spec.tasks && job.finishedAt === null) {
      job.finishedAt = this.now;
      if (this.chance(this.#trouble.cancelAtEnd)) {
        this.#at(this.between(0, 400), () => this.cancel(task.uid));
        this.#at(this.between(0, 400), () => this.repeat(task.uid));
      }
    }
  }

  #gangTasks(uid: string, attempt: number): { worker: Worker; task: WorkerTask }[] {
    const found: { worker: Worker; task: WorkerTask }[] = [];
    for (const worker of this.workers.values()) {
      if (!worker.alive || this.#stuck(worker)) continue;
      for (const task of worker.tasks)
        if (task.uid === uid && task.attempt === attempt) found.push({ worker, task });
    }
    return found;
  }

  #workerTasks(worker: Worker): void {
    for (const task of worker.tasks) {
      const job = this.jobs.get(task.uid);
      if (!job) continue;
      const { spec } = job;
      if (job.cancelledAt !== null && this.#onMachine(task) && this.now - job.cancelledAt > 40_000) {
        this.fault("ran_cancelled", `${task.uid}/${task.task} still on ${worker.name}`);
      }
      switch (task.state) {
        case "fetching":
          if (this.now >= task.until) this.#begin(worker, task);
          break;
        case "waiting": {
          const all = this.#gangTasks(task.uid, task.attempt);
          const ready = all.filter(({ task: t }) => t.state === "waiting").length;
          if (ready === spec.tasks) {
            const end = this.now + spec.estimateS * this.between(600, 1400);
            for (const { task: t } of all) {
              t.state = "running";
              t.until = end;
            }
          } else if (this.now >= task.until) this.#end(worker, task, "incomplete");
          break;
        }
        case "running":
          if (spec.shape === "gang") {
            const alive = this.#gangTasks(task.uid, task.attempt).filter(
              ({ task: t }) => t.state !== "ended",
            ).length;
            const complete = job.done.size === spec.tasks;
            if (complete || (this.now >= task.until && alive === spec.tasks)) this.#end(worker, task, "done");
            else if (alive < spec.tasks && this.chance(0.05)) this.#end(worker, task, "peers");
          } else if (this.now >= task.until) this.#end(worker, task, "done");
          else if (this.chance(this.#trouble.error)) this.#end(worker, task, "error");
          break;
        case "saving":
          if (this.now >= task.until) this.#end(worker, task, "stopped", true);
          break;
        case "ended":
          break;
      }
    }
  }

  /** What a worker says, in the form of the node it says it to: a copy made now may be read by any node later. */
  #report(worker: Worker): (node: Node) => Heartbeat {
    worker.sequence++;
    const { session, sequence, token, noticeAt } = worker;
    const noticeS = noticeAt === null ? null : Math.max(0, (noticeAt - this.now) / 1000);
    const tasks = worker.tasks.map((task) => ({ ...task }));
    return ({ core }) => {
      if (!core) throw new Error("no node to report to");
      const entries = tasks.map((t) => ({
        job: core.names.jobs.intern(t.uid),
        task: t.task,
        attempt: t.attempt,
        state: t.state,
        exitReason: t.cause,
        saved: t.saved,
      }));
      const machine = core.names.machines.intern(worker.name);
      const { name, type, zone, spot } = worker;
      return {
        machine,
        address: `${name}:1`,
        type: type.name,
        zone,
        spot,
        incarnation: session,
        sequence,
        fencingToken: token,
        reclaimNoticeS: noticeS,
        tasks: entries,
      };
    };
  }

  #sendReport(worker: Worker): void {
    const node = this.nodes[worker.node];
    const sent = this.now;
    const { session } = worker;
    const id = this.#nextReq++;
    worker.inFlight = id;
    const fail = () => {
      if (worker.inFlight !== id) return;
      worker.inFlight = 0;
      worker.node = (worker.node + 1) % this.nodes.length;
      worker.nextReport = this.now + 1000;
    };
    if (!node?.core) {
      this.#at(2, fail);
      return;
    }
    if (this.now < Math.max(node.cutUntil, node.workersCutUntil, worker.cutUntil, worker.muteUntil)) {
      this.#at(4000, fail);
      return;
    }
    const req = this.#nextReq++;
    this.#reportAnswers.set(req, (answer) => {
      this.#at(this.between(1, 6), () => {
        if (!worker.alive || worker.inFlight !== id || this.#stuck(worker)) return;
        if (this.now < Math.max(node.cutUntil, node.workersCutUntil, worker.cutUntil, worker.deafUntil))
          return;
        worker.inFlight = 0;
        if (answer.kind === "redirect") {
          const to = this.nodes.findIndex((n) => n.name === answer.node);
          if (to >= 0 && to !== worker.node) {
            worker.node = to;
            worker.nextReport = this.now + this.between(0, 500);
          } else {
            worker.inFlight = id;
            fail();
          }
          return;
        }
        if (answer.kind === "unavailable") {
          worker.inFlight = id;
          fail();
          return;
        }
        worker.nextReport = this.now + 2000 * (this.between(75, 125) / 100);
        this.#lease(worker);
        if (session !== worker.session || answer.fencingToken < worker.token) return;
        if (answer.fencingToken > worker.token) {
          worker.token = answer.fencingToken;
          worker.nextReport = this.now + 500;
        }
        worker.leaseFrom = sent;
        for (const order of answer.commands) this.#execute(worker, order);
      });
    });
    this.#at(4000, fail);
    const { epoch } = node;
    this.#at(this.between(1, 6), () => {
      if (node.epoch !== epoch || !node.core) return;
      const report = this.#report(worker);
      this.#give(node, { kind: "heartbeat", requestId: req, heartbeat: report(node), body: report });
      if (!this.chance(this.now < this.#copiesUntil ? 0.5 : this.#trouble.copies)) return;
      // From seconds to several leases later, at any node, also when the machine is gone.
      this.#at(this.between(500, 60_000), () => {
        const to = this.nodes[this.between(0, this.nodes.length - 1)];
        if (to?.core)
          this.#give(to, {
            kind: "heartbeat",
            requestId: this.#nextReq++,
            heartbeat: report(to),
            body: report,
          });
      });
    });
  }

  #direct(node: Node, epoch: number, effect: Extract<Effect, { kind: "sendAgentCommands" }>): void {
    this.#nameOrders(node, effect.commands);
    const worker = node.core ? this.workers.get(node.core.names.machines.name(effect.machine)) : undefined;
    const done = (ms: number, report: (() => Heartbeat | null) | null, executed: boolean) => {
      this.#giveLater(node, epoch, ms, () => ({
        kind: "agentReplied",
        id: effect.id,
        heartbeat: report?.() ?? null,
        executed,
      }));
    };
    if (!worker?.alive) {
      done(1500, null, false);
      return;
    }
    const run = (): { report: (() => Heartbeat | null) | null; executed: boolean } => {
      if (!worker.alive || this.now < worker.upAt) return { report: null, executed: false };
      this.#lease(worker);
      const executed = effect.fencingToken >= worker.token && effect.incarnation === worker.session;
      if (executed) {
        worker.token = effect.fencingToken;
        for (const order of effect.commands) this.#execute(worker, order);
      }
      const report = this.#report(worker);
      return { report: () => (node.core ? report(node) : null), executed };
    };
    const blocked = Math.max(node.cutUntil, node.workersCutUntil, worker.cutUntil, worker.hungUntil);
    if (this.now < worker.deafUntil) {
      done(1500, null, false);
      return;
    }
    if (this.now < blocked) {
      // Held packets, or a machine that hangs: executed when it ends, while token and session match.
      if (node.holds || worker.hungUntil > this.now) this.#at(blocked - this.now + this.between(1, 100), run);
      done(1500, null, false);
      return;
    }
    // A repeat of a command that was carried out may follow much later.
    if (this.chance(0.01)) this.#at(this.between(500, 60_000), run);
    const lost = this.chance(0.01);
    this.#at(this.between(1, 6), () => {
      const { report, executed } = run();
      if (lost || !report) done(1500, null, false);
      else {
        const made = node.epoch === epoch ? report() : null;
        done(this.between(1, 6), () => made, executed);
      }
    });
  }

  #execute(worker: Worker, order: AgentCommand): void {
    const uid = this.#orderNames.get(order) ?? "?";
    const job = this.jobs.get(uid);
    const held = worker.tasks.find(
      (t) => t.uid === uid && t.task === order.task && t.attempt === order.attempt,
    );
    switch (order.kind) {
      case "start": {
        if (held) return;
        const task: WorkerTask = {
          uid,
          task: order.task,
          attempt: order.attempt,
          state: "fetching",
          cause: null,
          saved: false,
          until: this.now,
        };
        worker.tasks.push(task);
        const busy = worker.tasks.some(
          (t) => t !== task && t.uid === uid && t.task === order.task && t.state !== "ended",
        );
        if (!job) this.#end(worker, task, "unknown");
        else if (busy) this.#end(worker, task, "busy");
        else if (!this.#hasRoom(worker, task, job.spec)) this.#end(worker, task, "no_room");
        else if (!worker.images.has(job.spec.image)) task.until = this.now + job.spec.imageGb * 1000;
        worker.nextReport = Math.min(worker.nextReport, this.now + 200);
        break;
      }
      case "stop":
        if (!held || held.state === "ended") return;
        if (held.state === "saving" && order.graceS > 0) return;
        if (held.state === "running" && job && job.spec.checkpointS > 0 && order.graceS >= job.spec.saveS) {
          held.state = "saving";
          held.until = this.now + job.spec.saveS * 1000;
        } else this.#end(worker, held, "stopped");
        break;
      case "acknowledge":
        if (held?.state === "ended") worker.tasks.splice(worker.tasks.indexOf(held), 1);
        break;
    }
  }

  #hasRoom(worker: Worker, task: WorkerTask, spec: JobSpec): boolean {
    let { cpu, gpu, ram } = worker.type.size;
    for (const t of worker.tasks) {
      const need = t === task || t.state === "ended" ? undefined : this.jobs.get(t.uid)?.spec.need;
      if (!need) continue;
      cpu -= need.cpu;
      gpu -= need.gpu;
      ram -= need.ram;
    }
    return spec.need.cpu <= cpu && spec.need.gpu <= gpu && spec.need.ram <= ram;
  }

  /* ---- users ---- */

  #ask(
    make: (req: number) => Command,
    then: (a: UserResponse | null) => void,
    node = this.nodes[this.between(0, this.nodes.length - 1)],
  ): void {
    if (!node?.core || this.now < node.cutUntil) {
      this.#at(500, () => then(null));
      return;
    }
    const req = this.#nextReq++;
    let over = false;
    this.#answers.set(req, (a) => {
      if (over) return;
      over = true;
      this.#at(2, () => then(a));
    });
    this.#at(5000, () => {
      if (over) return;
      over = true;
      then(null);
    });
    this.#give(node, make(req));
  }

  submit(spec: JobSpec): void {
    const job: Job = {
      spec,
      acceptedAt: null,
      cancelAsked: false,
      cancelledAt: null,
      toldDone: false,
      answeredAt: this.now,
      done: new Set(),
      finishedAt: null,
      leftSince: null,
    };
    this.jobs.set(spec.uid, job);
    const attempt = (tries: number) => {
      this.#ask(
        (req) => ({ kind: "submit", requestId: req, uid: spec.uid, spec }),
        (a) => {
          if (a?.kind === "accepted") {
            job.acceptedAt ??= this.now;
            this.#pollOn(job);
          } else if (a?.kind === "unsatisfiable" || a?.kind === "invalid") {
            this.fault("forgotten", `${spec.uid} was turned away: ${a.error}`);
          } else if (tries > 0) {
            // Who is told when to come back does so.
            const named = a?.kind === "throttled" && a.retryAfterS < 30 ? a.retryAfterS : null;
            this.turnedAway.push({ team: spec.team, at: this.now, afterS: named });
            this.#at(Math.max(1500, (named ?? 0) * 1000), () => attempt(tries - 1));
          }
        },
      );
    };
    attempt(40);
  }

  #pollOn(job: Job): void {
    this.#at(this.between(3000, 6000), () => {
      this.#pollOnce(job);
      this.#pollOn(job);
    });
  }

  #pollOnce(job: Job, node?: Node): void {
    const { uid } = job.spec;
    const before = { cancelled: job.cancelledAt !== null, done: job.toldDone };
    const orphaned = this.#someNeed(job, (need) => need.cancelledAt !== null);
    this.#ask(
      (req) => ({ kind: "poll", requestId: req, uid }),
      (a) => {
        if (a?.kind === "notFound") this.fault("forgotten", `${uid} got 404`);
        if (a?.kind !== "status") return;
        // The rule leaves `cancel_s` for this; what is derived from the records needs none of it.
        if (orphaned && a.status.phase !== "cancelled") this.fault("orphaned", `${uid} is ${a.status.phase}`);
        job.answeredAt = this.now;
        this.#told(job, a.status.phase, before);
      },
      node,
    );
  }

  #told(job: Job, phase: string, before: { cancelled: boolean; done: boolean }): void {
    const { uid } = job.spec;
    if (phase === "done") {
      if (job.done.size < job.spec.tasks) this.fault("not_done", uid);
      if (before.cancelled) this.fault("went_back", `${uid}: cancelled, then done`);
      const first = !job.toldDone;
      if (first) this.finished++;
      job.toldDone = true;
      if (first) this.#lookClosely(job);
    } else if (phase === "cancelled") {
      if (!job.cancelAsked && !this.#someNeed(job, (need) => need.cancelAsked))
        this.fault("went_back", `${uid}: cancelled by nobody`);
      if (before.done) this.fault("went_back", `${uid}: done, then cancelled`);
      const first = job.cancelledAt === null;
      job.cancelledAt ??= this.now;
      if (first) this.#lookClosely(job);
    } else if (before.done || before.cancelled) {
      this.fault("went_back", `${uid}: over, then ${phase}`);
    }
  }

  /** Its user asks every node, again and again within milliseconds, also about the jobs that need it, and repeats it. */
  #lookClosely(job: Job): void {
    if (!this.chance(CLOSE_LOOKS)) return;
    const dependents = [...this.jobs.values()].filter((other) => other.spec.awaits?.includes(job.spec.uid));
    for (const node of this.nodes) {
      for (let i = 0; i < 3; i++) {
        this.#at(this.between(0, 250), () => {
          for (const asked of [job, ...dependents])
            if (asked.acceptedAt !== null) this.#pollOnce(asked, node);
        });
      }
      this.#at(this.between(0, 250), () => this.repeat(job.spec.uid));
    }
  }

  /** Does this hold for any job that this one needs, directly or through others? */
  #someNeed(job: Job, holds: (need: Job) => boolean): boolean {
    return (job.spec.awaits ?? []).some((uid) => {
      const need = this.jobs.get(uid);
      return need !== undefined && (holds(need) || this.#someNeed(need, holds));
    });
  }

  /** True for a job that its user, or that of a job it needs, has called off. */
  isCalledOff(job: Job): boolean {
    return job.cancelAsked || this.#someNeed(job, (need) => need.cancelAsked);
  }

  cancel(uid: string): void {
    const job = this.jobs.get(uid);
    if (!job || job.acceptedAt === null) return;
    job.cancelAsked = true;
    const attempt = (tries: number) => {
      const before = { cancelled: job.cancelledAt !== null, done: job.toldDone };
      this.#ask(
        (req) => ({ kind: "cancel", requestId: req, uid }),
        (a) => {
          if (a?.kind === "status") this.#told(job, a.status.phase, before);
          else if (a?.kind === "notFound") this.fault("forgotten", `${uid} got 404 on its cancellation`);
          else if (tries > 0) this.#at(1500, () => attempt(tries - 1));
        },
      );
    };
    attempt(40);
  }

  /**
   * Submits the stages of a pipeline, each as soon as those that it names are accepted; some of them are late, and come
   * only when the others are over.
   */
  submitPipeline(stages: readonly JobSpec[], late: boolean): void {
    const [spec, ...rest] = stages;
    if (!spec) return;
    const isReady = (uid: string) => {
      const need = this.jobs.get(uid);
      return (
        need !== undefined && (late ? need.toldDone || this.isCalledOff(need) : need.acceptedAt !== null)
      );
    };
    if (!(spec.awaits ?? []).every(isReady)) {
      this.#at(200, () => this.submitPipeline(stages, late));
      return;
    }
    this.submit(spec);
    this.submitPipeline(rest, late && rest.length === 1);
  }

  /** Submits a job once more, as it was or with something missing: known, it is never turned away. */
  repeat(uid: string): void {
    const job = this.jobs.get(uid);
    if (!job || job.acceptedAt === null) return;
    const before = { cancelled: job.cancelledAt !== null, done: job.toldDone };
    const spec = this.chance(0.3) ? "shape: missing" : job.spec;
    this.#ask(
      (req) => ({ kind: "submit", requestId: req, uid, spec }),
      (a) => {
        if (a?.kind === "accepted" && a.known) this.#told(job, a.status.phase, before);
        else if (a !== null && a.kind !== "unavailable")
          this.fault("forgotten", `${uid}: ${a.kind} to a repeat`);
      },
    );
  }

  /** Submits what can't run or lacks a field: it is never accepted. */
  submitOdd(odd: JobSpec): void {
    const spec = this.chance(0.5) ? "pieces: missing" : odd;
    this.#ask(
      (req) => ({ kind: "submit", requestId: req, uid: odd.uid, spec }),
      (a) => {
        if (a?.kind === "accepted") this.fault("accepted_odd", odd.uid);
      },
    );
  }

  /** With all troubles over: does a job wait beside room for it? */
  lookForTheLeft(): void {
    this.#leftWaiting.look(this.now);
  }

  /** Asks about a job nobody has submitted. */
  askForNothing(): void {
    this.#ask(
      (req) => ({ kind: "poll", requestId: req, uid: "j-999999999" }),
      (a) => {
        if (a?.kind === "status") this.fault("invented", "j-999999999");
      },
    );
  }

  /* ---- troubles ---- */

  /** One second of bad luck. */
  hurt(): void {
    const t = this.#trouble;
    const node = this.nodes[this.between(0, 2)];
    const workers = [...this.workers.values()].filter((w) => w.alive && w.upAt <= this.now);
    const worker = workers[this.between(0, Math.max(0, workers.length - 1))];
    if (this.chance(t.crash) && node) this.crash(node.ix, this.chance(0.3) ? 200 : 4000);
    if (this.chance(t.crash / 4)) for (const n of this.nodes) this.crash(n.ix, this.between(200, 4000));
    if (this.chance(t.cut) && node) {
      const until = this.now + this.between(2000, 30_000);
      node.holds = this.chance(0.5);
      const kind = this.between(0, 3);
      if (kind === 0) node.cutUntil = until;
      else if (kind === 1) node.stateCutUntil = until;
      else if (kind === 2) node.workersCutUntil = until;
      else node.refusedUntil = until;
    }
    if (this.chance(t.blink)) {
      const nodes = this.chance(0.3) ? this.nodes : [node];
      const backMs = this.between(20, 400);
      for (const n of nodes) {
        if (!n) continue;
        this.crash(n.ix, backMs);
        if (this.chance(0.4)) this.#at(backMs + this.between(50, 1500), () => this.crash(n.ix, backMs));
      }
    }
    if (this.chance(t.lonely) && node) {
      node.peersCutUntil = this.now + this.between(5000, 40_000);
      node.stateCutUntil = node.peersCutUntil;
    }
    if (node && this.chance(t.freeze)) this.freeze(node.ix, this.between(1000, 45_000));
    if (this.chance(t.masses)) this.#fallTogether(workers);
    if (this.chance(t.meet)) this.#meet(workers);
    if (this.chance(t.roll)) this.#roll();
    if (worker && this.chance(t.deaf)) worker.deafUntil = this.now + this.between(5000, 60_000);
    if (this.chance(t.outage)) this.#outage(this.between(2000, 20_000));
    if (worker && this.chance(t.hang)) worker.hungUntil = this.now + this.between(2000, 30_000);
    if (worker && this.chance(t.hang)) worker.cutUntil = this.now + this.between(2000, 30_000);
    if (worker && this.chance(t.taken)) {
      if (this.chance(0.5)) this.#die(worker);
      else {
        worker.noticeAt = this.now + 10_000;
        this.#at(10_000, () => this.#die(worker));
      }
    }
  }

  /**
   * Troubles meet, worst aligned: something befalls the leader or a good part of the machines, users cancel in that very
   * moment, and in the middle of it the leader ends, or the state service is down for longer than a cancellation may take.
   */
  #meet(workers: readonly Worker[]): void {
    const leader = this.nodes.find((n) => n.core?.leaderTerm) ?? this.nodes[0];
    if (!leader) return;
    const forMs = this.between(2000, 40_000);
    const until = this.now + forMs;
    const some = workers.filter(() => this.chance(0.3));
    const first: readonly (() => void)[] = [
      () => {
        leader.refusedUntil = until;
      },
      () => {
        leader.stateCutUntil = until;
        leader.peersCutUntil = until;
        leader.holds = this.chance(0.5);
      },
      () => {
        leader.peersCutUntil = until;
        leader.refusedUntil = until;
      },
      () => {
        leader.workersCutUntil = until;
        leader.holds = true;
      },
      () => {
        // It renews on, and is told of nothing.
        leader.followsHangUntil = this.now + 50_000;
        leader.peersCutUntil = leader.followsHangUntil;
      },
      () => this.freeze(leader.ix, forMs),
      () => {
        for (const w of some) w.hungUntil = until;
      },
      () => {
        for (const w of some) w.deafUntil = until;
      },
      () => {
        for (const w of some) w.muteUntil = until;
      },
      () => {
        this.cutZone("a", forMs);
      },
      () => {
        this.lateWritesUntil = until;
      },
      () => {
        this.#copiesUntil = until;
      },
      () => {
        this.slowStateUntil = until;
      },
    ];
    const second: readonly (() => void)[] = [
      () => this.#outage(this.between(2000, 60_000)),
      () => this.#outage(this.between(41_000, 60_000)),
      () => this.crash(leader.ix, this.between(50, 4000)),
      () => {
        for (const n of this.nodes) this.crash(n.ix, this.between(50, 16_000));
      },
      () => {
        for (let i = 0; i < 10; i++)
          this.#at(i * 4000, () => {
            const now = this.nodes.find((n) => n.core?.leaderTerm);
            if (now) this.crash(now.ix, this.between(50, 3000));
          });
      },
    ];
    const begin = first[this.between(0, first.length - 1)];
    const other = this.chance(0.4) ? first[this.between(0, first.length - 1)] : undefined;
    const middle = second[this.between(0, second.length - 1)];
    begin?.();
    other?.();
    const at = this.between(0, 3500);
    this.#at(at, () =>
      this.#cancelNow(this.between(1, 3), this.chance(0.5) ? this.between(2000, 30_000) : 0),
    );
    if (this.chance(0.3)) return;
    this.#at(this.chance(0.7) ? at + this.between(0, 1500) : this.between(0, forMs), () => middle?.());
  }

  /** Users call off jobs that run, those with long to go first; machines of theirs may hang from that moment. */
  #cancelNow(count: number, hangMs: number): void {
    const on = new Map<string, Worker[]>();
    for (const w of this.workers.values())
      if (w.alive)
        for (const t of w.tasks) if (t.state !== "ended") on.set(t.uid, [...(on.get(t.uid) ?? []), w]);
    const isLong = (uid: string) => (this.jobs.get(uid)?.spec.shape === "service" ? 0 : 1);
    const running = [...on].sort(([a], [b]) => isLong(a) - isLong(b));
    for (const [uid, machines] of running.slice(0, count)) {
      this.cancel(uid);
      if (hangMs > 0) for (const w of machines.slice(0, 4)) w.hungUntil = this.now + hangMs;
    }
  }

  /** A good part of the machines at once, mostly with a node's end in the middle of it. */
  #fallTogether(workers: readonly Worker[]): void {
    const forMs = this.between(5000, 40_000);
    const kind = this.between(0, 3);
    const zone = this.chance(0.5) ? "a" : "b";
    for (const worker of workers) {
      if (kind === 0 && this.chance(0.2)) this.#die(worker);
      if (kind === 1 && this.chance(0.3)) worker.hungUntil = this.now + forMs;
      if (kind === 2 && worker.spot && this.chance(0.5)) {
        this.#at(this.between(0, 10_000), () => this.#die(worker));
      }
      if (kind === 3 && worker.zone === zone) worker.cutUntil = this.now + forMs;
    }
    if (this.chance(0.7)) {
      this.#at(this.between(0, forMs), () => this.crash(this.between(0, 2), this.between(100, 4000)));
    }
  }

  #roll(): void {
    const outageMs = this.between(5000, 15_000);
    this.#outage(outageMs);
    this.#at(outageMs - 1000, () => {
      for (const node of this.nodes) this.crash(node.ix, this.between(100, 4000));
    });
    for (const node of this.nodes) {
      this.#at(outageMs + 8000 + node.ix * 8000, () => this.crash(node.ix, this.between(100, 4000)));
    }
    this.#at(outageMs + 35_000, () => {
      for (const node of this.nodes) this.crash(node.ix, this.between(100, 4000));
    });
  }

  #outage(ms: number): void {
    this.state.outageUntil = this.now + ms;
    this.#at(ms, () => this.state.endOutage(this.now));
  }
}
