import { changeOperator, readOperator } from "../config/operator.js";
import { type Budget, Context } from "./context.js";
import { FeatureGate } from "./feature-gate.js";
import { Intake, later } from "./intake.js";
import { LeaderTerm } from "./leader-term.js";
import { Leadership } from "./leadership.js";
import { bytesOf } from "./limits.js";
import { Directory } from "./names.js";
import { seeded } from "./random.js";
import { KEYS, PROTOCOL } from "./records.js";
import type {
  AdminAnswer,
  AdminAsk,
  Command,
  Deployment,
  Effect,
  PeerMessage,
  Report,
  ReportAnswer,
  StateItem,
} from "./types.js";
import { ConfigView } from "./view.js";

const HEARTBEAT_MS = 1000;
const PEER_FRESH_MS = 3500;
/** Without a leader a report waits this long for one: workers give up after 4 s. */
const HOLD_REPORT_MS = 2000;
/** A node that was last heard speaking the older protocol counts as such for so long. */
const OLD_PEER_MS = 15_000;
/** A leader that has heard none of at least so many machines for so many report intervals is cut off from them. */
const CUT_OFF_MACHINES = 3;
const CUT_OFF_REPORTS = 3;
const SWEEP_MS = 30_000;
const UNREADY_AFTER_MS = 2500;
const CALL_MS = 1500;
const PROGRESS_KEPT = 20_000;

interface Peer {
  heardAt: number;
  stateOk: boolean;
  workersHeard: number;
  up: boolean;
}

export interface Identity {
  readonly incarnation: string;
  readonly seed: number;
  /** Wall time at `now` 0. */
  readonly epochMs: number;
}

/** The whole of a node without its inputs and outputs: commands and the time go in, effects come out. */
export class Controller {
  readonly directory = new Directory();
  readonly ctx: Context;
  readonly view: ConfigView;
  readonly leadership: Leadership;
  readonly intake: Intake;
  readonly gate: FeatureGate;
  leaderTerm: LeaderTerm | null = null;
  readonly #peers = new Map<string, Peer>();
  readonly #progress = new Map<string, { done: number; running: number }>();
  /** The newest report of each worker that came to this node: a copy that comes late says nothing of where it is. */
  readonly #newest = new Map<number, { session: number; sequence: number }>();
  /** Workers that have lately reported to this node, whether or not it could answer them. */
  readonly #reporters = new Map<number, number>();
  #waitingReports: { req: number; report: Report; raw: unknown; until: number }[] = [];
  #heartbeatAt = Number.NEGATIVE_INFINITY;
  #sweepAt = 0;

  constructor(deployment: Deployment, identity: Identity) {
    this.ctx = new Context(deployment, this.directory, seeded(identity.seed), identity.epochMs);
    this.view = new ConfigView(this.ctx, (key) => {
      this.leadership.configChanged(key);
      if (key === KEYS.modes) this.leaderTerm?.applyModes();
    });
    this.leadership = new Leadership(this.ctx, this.view, identity.incarnation, {
      elected: (term) => {
        this.ctx.log("info", "elected", { token: term.token });
        this.leaderTerm = new LeaderTerm(this.ctx, this.view, this.leadership, term, this.gate);
        this.#heartbeatAt = Number.NEGATIVE_INFINITY;
      },
      deposed: (why) => {
        this.ctx.log("info", "no longer leader", { why });
        this.leaderTerm?.end();
        this.leaderTerm = null;
        this.#heartbeatAt = Number.NEGATIVE_INFINITY;
      },
      alone: () => this.#alone,
      startsUnderWay: () => this.leaderTerm?.fleet.startsUnderWay() ?? false,
      knownThrough: () => this.leaderTerm?.knownThrough ?? null,
    });
    this.gate = new FeatureGate(this.ctx, this.view, () => this.leadership.term);
    this.intake = new Intake(this.ctx, this.view, {
      learned: (item, cancelled) => this.#learned(item, cancelled),
      oldPeerHeard: () => this.#oldPeerHeard,
      counts: (uid) => this.leaderTerm?.counts(uid) ?? this.#progress.get(uid) ?? null,
    });
    for (const name of deployment.peers) {
      this.#peers.set(name, {
        heardAt: Number.NEGATIVE_INFINITY,
        stateOk: false,
        workersHeard: 0,
        up: false,
      });
    }
  }

  /** Can this node take requests? Not while it alone is refused by the state service; in a common outage, yes. */
  get ready(): boolean {
    if (!this.view.loaded || this.view.types.length === 0) return false;
    const since = this.ctx.stateFailingSince;
    if (since === null || this.ctx.now - since < UNREADY_AFTER_MS) return true;
    // Without the state service and without peers it is likely this node that is cut off.
    if (this.#alone) return false;
    for (const peer of this.#peers.values()) {
      if (peer.stateOk && this.#isFresh(peer)) return false;
    }
    return true;
  }

  #isFresh(peer: Peer): boolean {
    return this.ctx.now - peer.heardAt < PEER_FRESH_MS;
  }

  get #alone(): boolean {
    const peers = [...this.#peers.values()];
    return peers.length > 0 && !peers.some((peer) => this.#isFresh(peer));
  }

  /** True while a node that is yet to be upgraded may lead: it would start jobs that wait for others. */
  get #oldPeerHeard(): boolean {
    if (this.gate.isOpen) return false;
    return [...this.#peers].some(
      ([node, { heardAt }]) => this.gate.isOld(node) && this.ctx.now - heardAt < OLD_PEER_MS,
    );
  }

  get leaderName(): string | null {
    if (this.leaderTerm) return this.ctx.deployment.node;
    return this.view.leader?.value.node ?? null;
  }

  handle(batch: readonly Command[], now: number, budget: Budget): Effect[] {
    this.ctx.now = now;
    this.directory.turn();
    for (const command of batch) this.#guard(() => this.#one(command, budget));
    this.#guard(() => {
      this.#answerWaiting();
      this.leaderTerm?.settle(budget);
    });
    return this.ctx.takeEffects();
  }

  /**
   * A fault must not end the process, nor end it again and again, nor cost more than the command it is in: answers
   * that wait in the same batch are owed to somebody. What was decided before it stands; the tables it may have
   * damaged are given up, and whoever leads next reads the records.
   */
  #guard(run: () => void): void {
    try {
      run();
    } catch (error) {
      this.ctx.log("error", "fault in the core", { error: (error as Error).stack });
      this.leadership.stepDown("a fault in the core");
    }
  }

  #one(command: Command, budget: Budget): void {
    switch (command.t) {
      case "tick":
        this.#tick(budget);
        break;
      case "submit":
        this.intake.submit(command.uid, command.spec, (answer) => this.#answer(command.req, answer));
        break;
      case "poll":
        this.intake.poll(command.uid, (answer) => this.#answer(command.req, answer));
        break;
      case "cancel":
        this.intake.cancel(command.uid, (answer) => this.#answer(command.req, answer));
        break;
      case "admin":
        this.#admin(command.ask, (answer) => this.ctx.emit({ t: "adminAnswer", req: command.req, answer }));
        break;
      case "report":
        this.#report(command.req, command.report, command.raw);
        break;
      case "doDone":
        this.leaderTerm?.fleet.doAnswered(command.id, command.report, command.executed);
        break;
      case "state":
        this.ctx.stateAnswered(command.id, command.answer);
        break;
      case "cloud":
        this.ctx.cloudAnswered(command.id, command.answer);
        break;
      case "peer":
        this.#peerSaid(command.from, command.message);
        break;
      case "peerReport": {
        const answer = this.#leaderAnswer(command.report) ?? { t: "later" };
        this.ctx.emit({ t: "peerReportAnswer", to: command.from, id: command.id, answer });
        break;
      }
      case "peerLink": {
        const peer = this.#peers.get(command.node);
        if (peer) peer.up = command.up;
        break;
      }
      default:
        command satisfies never;
    }
  }

  #answer(req: number, answer: Extract<Effect, { t: "answer" }>["answer"]): void {
    this.ctx.emit({ t: "answer", req, answer });
  }

  #tick(budget: Budget): void {
    this.view.tick();
    this.intake.comparePolls();
    this.leadership.tick();
    this.leaderTerm?.tick(budget);
    const { now } = this.ctx;
    if (this.leaderTerm && !this.gate.isOpen) this.gate.tick();
    if (now - this.#heartbeatAt >= HEARTBEAT_MS) {
      this.#mayHandOver();
      this.#sendHeartbeat();
    }
    if (now - this.#sweepAt >= SWEEP_MS) {
      this.#sweepAt = now;
      const used = this.leaderTerm?.inUse() ?? { jobs: new Set<number>(), machines: new Set<number>() };
      for (const waiting of this.#waitingReports) {
        used.machines.add(waiting.report.machine);
        for (const entry of waiting.report.tasks) used.jobs.add(entry.job);
      }
      this.directory.jobs.sweep(used.jobs);
      this.directory.machines.sweep(used.machines);
      for (const machine of this.#newest.keys())
        if (!used.machines.has(machine)) this.#newest.delete(machine);
    }
  }

  /**
   * A leader may reach the state service and yet no worker: renewing on, it would let every lease run out. It hands over
   * if a peer hears workers, or if no peer is heard either. Were all workers hanging, the next leader would find
   * the same, and this one stays out of the race for a while: leadership doesn't flap.
   */
  #mayHandOver(): void {
    if (!this.leaderTerm) return;
    const { now, deployment } = this.ctx;
    const quietMs = deployment.reportS * CUT_OFF_REPORTS * 1000;
    const machines = [...this.leaderTerm.tables.machines.values()].filter((m) => m.phase === "up" && !m.lost);
    const heard = machines.filter((m) => Number.isFinite(m.heardAt));
    if (heard.length < CUT_OFF_MACHINES) return;
    // The other direction: where most don't hear, it is this node that can't send.
    if (heard.filter((m) => m.unreachableSince !== null).length > heard.length / 2) {
      this.leadership.handOver("workers can't be reached from this node");
      return;
    }
    if (heard.some((m) => now - m.heardAt < quietMs)) return;
    const others = [...this.#peers.values()].some((p) => this.#isFresh(p) && p.workersHeard > 0);
    if (others || this.#alone) this.leadership.handOver("no worker is heard here");
  }

  #sendHeartbeat(): void {
    this.#heartbeatAt = this.ctx.now;
    const message: PeerMessage = {
      t: "beat",
      token: this.leadership.term?.token ?? this.leadership.highestSeen,
      leader: this.leaderTerm ? this.ctx.deployment.node : null,
      stateOk: this.ctx.stateFailingSince === null && this.view.loaded,
      workersHeard: this.#workersHeard(),
      protocol: PROTOCOL,
    };
    for (const to of this.#peers.keys()) this.ctx.emit({ t: "peerSend", to, message });
  }

  #workersHeard(): number {
    for (const [machine, at] of this.#reporters)
      if (this.ctx.now - at > PEER_FRESH_MS) this.#reporters.delete(machine);
    return this.#reporters.size;
  }

  #peerSaid(from: string, message: PeerMessage): void {
    const peer = this.#peers.get(from);
    if (!peer) return;
    switch (message.t) {
      case "beat":
        peer.heardAt = this.ctx.now;
        peer.stateOk = message.stateOk;
        peer.workersHeard = message.workersHeard;
        this.gate.peerSpeaks(from, message.protocol);
        this.leadership.sawToken(message.token);
        this.leadership.peerShows(from, message.token);
        break;
      case "job":
        this.leaderTerm?.learnJob(message.item);
        break;
      case "progress":
        for (const [uid, done, running] of message.rows) {
          this.#progress.delete(uid);
          this.#progress.set(uid, { done, running });
        }
        while (this.#progress.size > PROGRESS_KEPT) {
          const oldest = this.#progress.keys().next();
          if (oldest.done) break;
          this.#progress.delete(oldest.value);
        }
        break;
      case "reports":
      case "reportAnswers":
        break;
      default:
        message satisfies never;
    }
  }

  #learned(item: StateItem, cancelled: boolean): void {
    if (this.leaderTerm) {
      this.leaderTerm.learnJob(item);
      return;
    }
    const leader = this.leaderName;
    // A cancellation goes to every peer: one of them may lead, or still answer workers, without this node's knowing.
    for (const to of this.#peers.keys()) {
      if (to === leader || cancelled) this.ctx.emit({ t: "peerSend", to, message: { t: "job", item } });
    }
  }

  /* ---- workers' reports ---- */

  /** Only the leader's answers carry a token; null if this node may not answer. */
  #leaderAnswer(report: Report): ReportAnswer | null {
    const { leaderTerm } = this;
    if (!leaderTerm || !this.leadership.mayAnswer) return null;
    const answer = leaderTerm.report(report);
    return leaderTerm.over ? null : answer;
  }

  #report(req: number, report: Report, raw: unknown): void {
    const newest = this.#newest.get(report.machine);
    const late =
      newest !== undefined &&
      (report.session < newest.session ||
        (report.session === newest.session && report.sequence <= newest.sequence));
    if (!late) {
      const { session, sequence } = report;
      this.#newest.set(report.machine, { session, sequence });
      this.#reporters.set(report.machine, this.ctx.now);
    } else if (!this.leaderTerm) {
      this.ctx.emit({ t: "reportAnswer", req, answer: { t: "later" } });
      return;
    }
    const waiting = { req, report, raw, until: this.ctx.now + HOLD_REPORT_MS };
    if (!this.#tryReport(waiting)) this.#waitingReports.push(waiting);
  }

  /** False while no leader is known that the report could be answered by, sent to or passed on to. */
  #tryReport({ req, report, raw }: { req: number; report: Report; raw: unknown }): boolean {
    const answer = this.#leaderAnswer(report);
    if (answer) {
      this.ctx.emit({ t: "reportAnswer", req, answer });
      return true;
    }
    const leader = this.view.leader?.value.node;
    if (leader === undefined || leader === this.ctx.deployment.node) return false;
    const peer = this.#peers.get(leader);
    // Every node takes reports and passes them on: HTTP is most of what a report costs, and one node's share of a
    // core can't bear a large fleet's after a change of leader. A worker goes to the leader if this node can't.
    if (peer?.up && this.#isFresh(peer)) this.ctx.emit({ t: "relay", req, to: leader, raw });
    else this.ctx.emit({ t: "reportAnswer", req, answer: { t: "elsewhere", node: leader } });
    return true;
  }

  #answerWaiting(): void {
    if (this.#waitingReports.length === 0) return;
    const waiting = this.#waitingReports;
    this.#waitingReports = [];
    for (const entry of waiting) {
      if (this.#tryReport(entry)) continue;
      if (this.ctx.now < entry.until) this.#waitingReports.push(entry);
      else this.ctx.emit({ t: "reportAnswer", req: entry.req, answer: { t: "elsewhere", node: null } });
    }
  }

  /* ---- administration ---- */

  #admin(ask: AdminAsk, answer: (a: AdminAnswer) => void): void {
    switch (ask.t) {
      case "settings":
        this.ctx.state({ t: "get", key: KEYS.settings }, CALL_MS, (got) => {
          if (got.t === "item") answer({ t: "ok", body: { ...readOperator(got.item.value) } });
          else if (got.t === "absent") answer({ t: "ok", body: { ...readOperator(null) } });
          else answer(later("the state service does not answer"));
        });
        break;
      case "change":
        this.#changeSettings(ask.values, answer);
        break;
      case "machine":
        this.#changeMode(ask.name, ask.mode, answer);
        break;
      case "status":
        answer({ t: "ok", body: this.status() });
        break;
      default:
        ask satisfies never;
    }
  }

  #changeSettings(values: Record<string, unknown>, answer: (a: AdminAnswer) => void): void {
    this.ctx.state({ t: "get", key: KEYS.settings }, CALL_MS, (got) => {
      if (got.t !== "item" && got.t !== "absent") {
        answer(later("the state service does not answer"));
        return;
      }
      const result = changeOperator(readOperator(got.t === "item" ? got.item.value : null), values);
      if (!result.ok) {
        answer({ t: "bad", error: result.error });
        return;
      }
      const version = got.t === "item" ? got.item.version : 0;
      this.#writeConfig(KEYS.settings, version, result.settings, answer, { ...result.settings });
    });
  }

  #changeMode(name: string, mode: "open" | "cordon" | "drain", answer: (a: AdminAnswer) => void): void {
    const modes = { ...this.view.modes };
    if (mode === "open") delete modes[name];
    else modes[name] = mode;
    this.#writeConfig(KEYS.modes, this.view.modesVersion, modes, answer, { machine: name, mode });
  }

  #writeConfig(
    key: string,
    version: number,
    value: unknown,
    answer: (a: AdminAnswer) => void,
    body: Record<string, unknown>,
  ): void {
    const tooLarge: AdminAnswer = { t: "bad", error: "too much to be kept in one record" };
    if (bytesOf(value) > this.ctx.limits.valueBytes) {
      answer(tooLarge);
      return;
    }
    const conditions = [{ key, version }];
    this.ctx.state({ t: "txn", conditions, changes: [{ put: key, value }] }, CALL_MS, (result) => {
      if (result.t === "ok") {
        this.view.note({ key, value, version: result.revision });
        answer({ t: "ok", body });
      } else if (result.t === "invalid") {
        answer(tooLarge);
      } else {
        answer(
          later(result.t === "conflict" ? "changed at the same time" : "the state service does not answer"),
        );
      }
    });
  }

  status(): Record<string, unknown> {
    const { leaderTerm } = this;
    const base = {
      node: this.ctx.deployment.node,
      leader: this.leaderName,
      ready: this.ready,
      leading: leaderTerm !== null,
      peers: Object.fromEntries(
        [...this.#peers].map(([name, peer]) => [name, { link: peer.up, state_ok: peer.stateOk }]),
      ),
    };
    if (!leaderTerm) return base;
    const { tables } = leaderTerm;
    return {
      ...base,
      token: leaderTerm.term.token,
      confirmed: this.leadership.confirmed,
      machines: [...tables.machines.values()].map((machine) => ({
        name: machine.name,
        type: machine.typeName,
        zone: machine.zone,
        spot: machine.spot,
        phase: machine.lost ? "lost" : machine.phase,
        mode: machine.mode,
        tasks: machine.placements.size,
        share: Math.round(machine.share() * 1000) / 1000,
      })),
      jobs: tables.jobs.size,
      queue: [...tables.jobs.values()]
        .filter((job) => job.pending > 0)
        .map((job) => ({ job: job.uid, tasks: job.pending, why: job.waitsFor ?? "it is next" })),
      awaiting: [...tables.jobs.values()]
        .filter((job) => job.state === "active" && !job.released)
        .map((job) => ({ job: job.uid, tasks: job.spec.tasks, awaits: leaderTerm.pipelines.waitsFor(job) })),
      layout: this.view.layout,
      move: leaderTerm.rebalancer.pending,
      moves: leaderTerm.rebalancer.moves,
      rounds_cut: leaderTerm.scheduler.roundsCut,
      unwritten: leaderTerm.recorder.backlog,
    };
  }
}
