import { Admission, type AdmissionStatus } from "../admission/admission.js";
import { Succession } from "../standby/failover.js";
import type { Takeover } from "../standby/failover-timeline.js";
import type { StandbyReport } from "../standby/standby.js";
import { Administration } from "./administration.js";
import { ReportRouter } from "./agents/heartbeat-router.js";
import { type Budget, Context } from "./context.js";
import { Leadership } from "./election/election.js";
import { ProgressCounts } from "./jobs/progress-counts.js";
import { Intake } from "./jobs/submissions.js";
import { leaderStatus } from "./leader-status.js";
import { LeaderTerm } from "./leader-term.js";
import type { Heartbeat, HeartbeatReply } from "./messages/agents.js";
import type { Command } from "./messages/commands.js";
import type { Effect } from "./messages/effects.js";
import type { PeerMessage } from "./messages/peers.js";
import type { StoreEntry } from "./messages/store.js";
import type { UserResponse } from "./messages/users.js";
import type { Deployment } from "./model/deployment.js";
import { Directory } from "./model/interner.js";
import { PeerTable } from "./peer-table.js";
import { seeded } from "./random.js";
import { openJobsByTeam } from "./scheduling/team-load.js";
import { ConfigView } from "./store/config-watch.js";
import { FeatureGate } from "./store/feature-gate.js";
import { KEYS, PROTOCOL } from "./store/records.js";

const HEARTBEAT_MS = 1000;
/** A leader that has heard none of at least so many machines for so many report intervals is cut off from them. */
const CUT_OFF_MACHINES = 3;
const CUT_OFF_REPORTS = 3;
const SWEEP_MS = 30_000;
const UNREADY_AFTER_MS = 2500;

export interface Identity {
  readonly incarnation: string;
  readonly seed: number;
  /** Wall time at `now` 0. */
  readonly epochMs: number;
  /** The most bytes that this node may keep of the records while another leads; 0 or absent: it does not stand by. */
  readonly standbyBytes?: number;
  /** Whether submissions are admitted by the teams' shares. */
  readonly admission?: boolean;
}

/** The whole of a node without its inputs and outputs: commands and the time go in, effects come out. */
export class Controller {
  readonly directory = new Directory();
  readonly ctx: Context;
  readonly view: ConfigView;
  readonly leadership: Leadership;
  readonly intake: Intake;
  readonly gate: FeatureGate;
  readonly #administration: Administration;
  leaderTerm: LeaderTerm | null = null;
  readonly #peers: PeerTable;
  readonly #progress = new ProgressCounts();
  readonly #reports: ReportRouter;
  readonly #succession: Succession;
  /** Null where fair admission is not switched on. */
  readonly #admission: Admission | null;
  #heartbeatAt = Number.NEGATIVE_INFINITY;
  #sweepAt = 0;

  constructor(deployment: Deployment, identity: Identity) {
    this.ctx = new Context(deployment, this.directory, seeded(identity.seed), identity.epochMs);
    this.#peers = new PeerTable(this.ctx);
    this.ctx.fairTurns = identity.admission ?? false;
    this.#admission = identity.admission ? new Admission(this.ctx, identity.incarnation) : null;
    this.#succession = new Succession(this.ctx, this.#peers, identity.standbyBytes ?? 0);
    this.view = new ConfigView(this.ctx, (key) => {
      this.leadership.configChanged(key);
      if (key === KEYS.modes) this.leaderTerm?.applyModes();
    });
    this.leadership = new Leadership(this.ctx, this.view, identity.incarnation, {
      elected: (term) => {
        this.ctx.log("info", "elected", { token: term.token });
        this.#succession.elected();
        this.leaderTerm = new LeaderTerm(this.ctx, this.view, this.leadership, term, this.gate, (cold) =>
          this.#succession.source(term.version, cold),
        );
        this.#heartbeatAt = Number.NEGATIVE_INFINITY;
      },
      deposed: (why) => {
        this.ctx.log("info", "no longer leader", { why });
        this.leaderTerm?.end();
        this.leaderTerm = null;
        this.#heartbeatAt = Number.NEGATIVE_INFINITY;
      },
      alone: () => this.#peers.isAlone,
      deferMs: () => this.#succession.deferMs(this.leaderName),
      vacant: () => this.#succession.vacant(),
      startsUnderWay: () => this.leaderTerm?.fleet.startsUnderWay() ?? false,
      knownThrough: () => this.leaderTerm?.knownThrough ?? null,
    });
    this.#administration = new Administration(this.ctx, this.view, () => this.status());
    this.#reports = new ReportRouter(this.ctx, {
      leaderAnswer: (report) => this.#leaderAnswer(report),
      isLeader: () => this.leaderTerm !== null,
      leader: () => this.view.leader?.value.node ?? null,
      isHeard: (node) => this.#peers.canReceive(node),
    });
    this.gate = new FeatureGate(this.ctx, this.view, () => this.leadership.term);
    const intakeEvents = {
      learned: (item: StoreEntry, cancelled: boolean) => this.#learned(item, cancelled),
      oldPeerHeard: () => !this.gate.isOpen && this.#peers.anyOld((node) => this.gate.isOld(node)),
      counts: (uid: string) => this.leaderTerm?.counts(uid) ?? this.#progress.get(uid) ?? null,
    };
    this.intake = new Intake(this.ctx, this.view, intakeEvents, this.#admission);
  }

  /** Can this node take requests? Not while it alone is refused by the state service; in a common outage, yes. */
  get ready(): boolean {
    if (!this.view.loaded || this.view.types.length === 0) return false;
    const since = this.ctx.stateFailingSince;
    if (since === null || this.ctx.now - since < UNREADY_AFTER_MS) return true;
    // Without the state service and without peers it is likely this node that is cut off.
    return !this.#peers.isAlone && !this.#peers.anyServed;
  }

  /** For the metrics: the standby, and the steps of this node's last takeover. */
  get succession(): { readonly standby: StandbyReport | null; readonly takeover: Takeover } {
    const { takeover } = this.#succession;
    return { standby: this.#succession.standbyReport(this.view.revision), takeover };
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
      this.#reports.answerWaiting();
      this.leaderTerm?.settle(budget);
    });
    const effects = this.ctx.takeEffects();
    if (this.leaderTerm) this.#succession.noteEffects(effects, this.leaderTerm.fleet.loaded);
    return effects;
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
    switch (command.kind) {
      case "tick":
        this.#tick(budget);
        break;
      case "submit":
        this.intake.submit(command.uid, command.spec, (answer) => this.#respond(command.requestId, answer));
        break;
      case "poll":
        this.intake.poll(command.uid, (answer) => this.#respond(command.requestId, answer));
        break;
      case "cancel":
        this.intake.cancel(command.uid, (answer) => this.#respond(command.requestId, answer));
        break;
      case "administer":
        this.#administration.handle(command.request, (answer) => {
          this.ctx.emit({ kind: "respondToOperator", requestId: command.requestId, response: answer });
        });
        break;
      case "heartbeat":
        this.#reports.take(command.requestId, command.heartbeat, command.body);
        break;
      case "agentReplied":
        this.leaderTerm?.fleet.doAnswered(command.id, command.heartbeat, command.executed);
        break;
      case "storeResponded":
        this.ctx.stateAnswered(command.id, command.response);
        break;
      case "cloudResponded":
        this.ctx.cloudAnswered(command.id, command.response);
        break;
      case "peerMessage":
        this.#peerSaid(command.from, command.message);
        break;
      case "forwardedHeartbeat": {
        const answer = this.#leaderAnswer(command.heartbeat) ?? { kind: "unavailable" };
        this.ctx.emit({ kind: "replyToForwardedHeartbeat", to: command.from, id: command.id, reply: answer });
        break;
      }
      case "peerLinkChanged":
        this.#peers.link(command.node, command.up);
        break;
      default:
        command satisfies never;
    }
  }

  #respond(requestId: number, response: UserResponse): void {
    this.ctx.emit({ kind: "respondToUser", requestId, response });
  }

  #tick(budget: Budget): void {
    this.view.tick();
    this.intake.comparePolls();
    this.intake.answerRefused();
    this.leadership.tick();
    this.leaderTerm?.tick(budget);
    this.#succession.tick(this.leaderName);
    const { now } = this.ctx;
    if (this.leaderTerm && !this.gate.isOpen) this.gate.tick();
    if (now - this.#heartbeatAt >= HEARTBEAT_MS) {
      this.#mayHandOver();
      this.#sendHeartbeat();
    }
    if (now - this.#sweepAt >= SWEEP_MS) {
      this.#sweepAt = now;
      const used = this.leaderTerm?.inUse() ?? { jobs: new Set<number>(), machines: new Set<number>() };
      this.#reports.addInUse(used);
      this.directory.jobs.sweep(used.jobs);
      this.directory.machines.sweep(used.machines);
      this.#reports.forgetAllBut(used.machines);
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
    const quietMs = deployment.heartbeatIntervalS * CUT_OFF_REPORTS * 1000;
    const machines = [...this.leaderTerm.tables.machines.values()].filter((m) => m.phase === "up" && !m.lost);
    const heard = machines.filter((m) => Number.isFinite(m.heardAt));
    if (heard.length < CUT_OFF_MACHINES) return;
    // The other direction: where most don't hear, it is this node that can't send.
    if (heard.filter((m) => m.unreachableSince !== null).length > heard.length / 2) {
      this.leadership.handOver("workers can't be reached from this node");
      return;
    }
    if (heard.some((m) => now - m.heardAt < quietMs)) return;
    if (this.#peers.anyHearsWorkers || this.#peers.isAlone)
      this.leadership.handOver("no worker is heard here");
  }

  #sendHeartbeat(): void {
    this.#heartbeatAt = this.ctx.now;
    this.#tickAdmission();
    const message: PeerMessage = {
      kind: "heartbeat",
      fencingToken: this.leadership.term?.token ?? this.leadership.highestSeen,
      leader: this.leaderTerm ? this.ctx.deployment.node : null,
      storeHealthy: this.ctx.stateFailingSince === null && this.view.loaded,
      agentsHeard: this.#reports.workersHeard(),
      protocol: PROTOCOL,
      standby: this.#succession.warmth,
    };
    for (const to of this.ctx.deployment.peers) {
      const admission = this.#admission?.noteFor(to);
      this.ctx.emit({ kind: "sendToPeer", to, message: { ...message, admission } });
    }
  }

  /** Only a leader that may decide issues slices, and only once it knows what is accepted. */
  #tickAdmission(): void {
    const term = this.leaderTerm;
    const mayIssue = term?.fleet.loaded === true && this.leadership.confirmed;
    const openJobs = () => openJobsByTeam(term?.tables.jobs.values() ?? []);
    this.#admission?.tick(this.leaderName, mayIssue ? term.term.firstToken : null, { openJobs });
  }

  /** For the metrics; null where fair admission is not switched on. */
  get admissionStatus(): AdmissionStatus | null {
    return this.#admission?.report() ?? null;
  }

  #peerSaid(from: string, message: PeerMessage): void {
    if (!this.#peers.has(from)) return;
    switch (message.kind) {
      case "heartbeat":
        this.#peers.heard(from, message);
        this.#admission?.heard(from, message.admission);
        this.gate.peerSpeaks(from, message.protocol);
        this.leadership.sawToken(message.fencingToken);
        this.leadership.peerShows(from, message.fencingToken);
        break;
      case "jobRecord":
        this.leaderTerm?.learnJob(message.entry);
        break;
      case "progress":
        this.#progress.note(message.rows);
        break;
      case "forwardedHeartbeats":
      case "forwardedReplies":
        break;
      default:
        message satisfies never;
    }
  }

  #learned(item: StoreEntry, cancelled: boolean): void {
    if (this.leaderTerm) {
      this.leaderTerm.learnJob(item);
      return;
    }
    const leader = this.leaderName;
    // A cancellation goes to every peer: one of them may lead, or still answer workers, without this node's knowing.
    for (const to of this.ctx.deployment.peers) {
      if (to === leader || cancelled)
        this.ctx.emit({ kind: "sendToPeer", to, message: { kind: "jobRecord", entry: item } });
    }
  }

  /* ---- workers' reports ---- */

  /** Only the leader's answers carry a token; null if this node may not answer. */
  #leaderAnswer(report: Heartbeat): HeartbeatReply | null {
    const { leaderTerm } = this;
    if (!leaderTerm || !this.leadership.mayAnswer) return null;
    const answer = leaderTerm.report(report);
    return leaderTerm.over ? null : answer;
  }

  status(): Record<string, unknown> {
    const { leaderTerm } = this;
    const base = {
      node: this.ctx.deployment.node,
      leader: this.leaderName,
      ready: this.ready,
      leading: leaderTerm !== null,
      peers: this.#peers.report(),
    };
    const admission = this.#admission?.status();
    const status = {
      ...base,
      ...this.#succession.status(this.view.revision),
      ...(admission ? { admission } : {}),
    };
    const { confirmed } = this.leadership;
    return leaderTerm ? { ...status, ...leaderStatus(leaderTerm, confirmed, this.view.layout) } : status;
  }
}
