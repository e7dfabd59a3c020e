import { Admission, type AdmissionStatus } from "../admission/admission.js";
import { Failover } from "../standby/failover.js";
import type { FailoverTimeline } from "../standby/failover-timeline.js";
import type { StandbyReport } from "../standby/standby.js";
import { Administration } from "./administration.js";
import { HeartbeatRouter } from "./agents/heartbeat-router.js";
import { Context, type TimeBudget } from "./context.js";
import { Election } from "./election/election.js";
import { ProgressCounts } from "./jobs/progress-counts.js";
import { JobRequests } from "./jobs/submissions.js";
import { leaderStatus } from "./leader-status.js";
import { LeaderTerm } from "./leader-term.js";
import type { Heartbeat, HeartbeatReply } from "./messages/agents.js";
import type { Command } from "./messages/commands.js";
import type { Effect } from "./messages/effects.js";
import type { PeerMessage } from "./messages/peers.js";
import type { StoreEntry } from "./messages/store.js";
import type { UserResponse } from "./messages/users.js";
import type { Deployment } from "./model/deployment.js";
import { NameRegistry } from "./model/interner.js";
import { PeerTable } from "./peer-table.js";
import { seededRandom } from "./random.js";
import { openJobsByTeam } from "./scheduling/team-load.js";
import { ConfigWatch } from "./store/config-watch.js";
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
  readonly names = new NameRegistry();
  readonly ctx: Context;
  readonly config: ConfigWatch;
  readonly election: Election;
  readonly jobs: JobRequests;
  readonly featureGate: FeatureGate;
  readonly #administration: Administration;
  leaderTerm: LeaderTerm | null = null;
  readonly #peers: PeerTable;
  readonly #progress = new ProgressCounts();
  readonly #reports: HeartbeatRouter;
  readonly #succession: Failover;
  /** Null where fair admission is not switched on. */
  readonly #admission: Admission | null;
  #heartbeatAt = Number.NEGATIVE_INFINITY;
  #sweepAt = 0;

  constructor(deployment: Deployment, identity: Identity) {
    this.ctx = new Context(deployment, this.names, seededRandom(identity.seed), identity.epochMs);
    this.#peers = new PeerTable(this.ctx);
    this.ctx.hasFairTurns = identity.admission ?? false;
    this.#admission = identity.admission ? new Admission(this.ctx, identity.incarnation) : null;
    this.#succession = new Failover(this.ctx, this.#peers, identity.standbyBytes ?? 0);
    this.config = new ConfigWatch(this.ctx, (key) => {
      this.election.onConfigChanged(key);
      if (key === KEYS.modes) this.leaderTerm?.applyMachineModes();
    });
    this.election = new Election(this.ctx, this.config, identity.incarnation, {
      onElected: (term) => {
        this.ctx.log("info", "elected", { token: term.fencingToken });
        this.#succession.onElected();
        this.leaderTerm = new LeaderTerm(
          this.ctx,
          this.config,
          this.election,
          term,
          this.featureGate,
          (cold) => this.#succession.source(term.leaderKeyVersion, cold),
        );
        this.#heartbeatAt = Number.NEGATIVE_INFINITY;
      },
      onSteppedDown: (why) => {
        this.ctx.log("info", "no longer leader", { why });
        this.leaderTerm?.end();
        this.leaderTerm = null;
        this.#heartbeatAt = Number.NEGATIVE_INFINITY;
      },
      isIsolated: () => this.#peers.isIsolated,
      campaignDelayMs: () => this.#succession.campaignDelayMs(this.leaderName),
      onLeaderKeyRemoved: () => this.#succession.onLeaderKeyRemoved(),
      hasStartsInFlight: () => this.leaderTerm?.agents.hasStartsInFlight() ?? false,
      cancellationsKnownThrough: () => this.leaderTerm?.cancellationsKnownThrough ?? null,
    });
    this.#administration = new Administration(this.ctx, this.config, () => this.status());
    this.#reports = new HeartbeatRouter(this.ctx, {
      replyAsLeader: (report) => this.#leaderAnswer(report),
      isLeader: () => this.leaderTerm !== null,
      leader: () => this.config.leader?.value.node ?? null,
      isReachablePeer: (node) => this.#peers.canReceive(node),
    });
    this.featureGate = new FeatureGate(this.ctx, this.config, () => this.election.lease);
    const intakeEvents = {
      onJobWritten: (item: StoreEntry, cancelled: boolean) => this.#learned(item, cancelled),
      isOlderPeerAlive: () =>
        !this.featureGate.isOpen && this.#peers.isAnyOlderAlive((node) => this.featureGate.isOlderPeer(node)),
      progressOf: (uid: string) => this.leaderTerm?.progressOf(uid) ?? this.#progress.get(uid) ?? null,
    };
    this.jobs = new JobRequests(this.ctx, this.config, intakeEvents, this.#admission);
  }

  /** Can this node take requests? Not while it alone is refused by the state service; in a common outage, yes. */
  get ready(): boolean {
    if (!this.config.isLoaded || this.config.machineTypes.length === 0) return false;
    const since = this.ctx.storeFailingSince;
    if (since === null || this.ctx.now - since < UNREADY_AFTER_MS) return true;
    // Without the state service and without peers it is likely this node that is cut off.
    return !this.#peers.isIsolated && !this.#peers.isStoreReachableByAny;
  }

  /** For the metrics: the standby, and the steps of this node's last takeover. */
  get failover(): { readonly standby: StandbyReport | null; readonly takeover: FailoverTimeline } {
    const { timeline: takeover } = this.#succession;
    return { standby: this.#succession.standbyReport(this.config.revision), takeover };
  }

  get leaderName(): string | null {
    if (this.leaderTerm) return this.ctx.deployment.node;
    return this.config.leader?.value.node ?? null;
  }

  handle(batch: readonly Command[], now: number, budget: TimeBudget): Effect[] {
    this.ctx.now = now;
    this.names.beginBatch();
    for (const command of batch) this.#guard(() => this.#one(command, budget));
    this.#guard(() => {
      this.#reports.retryWaiting();
      this.leaderTerm?.finishBatch(budget);
    });
    const effects = this.ctx.takeEffects();
    if (this.leaderTerm) this.#succession.noteEffects(effects, this.leaderTerm.agents.areRecordsLoaded);
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
      this.election.stepDown("a fault in the core");
    }
  }

  #one(command: Command, budget: TimeBudget): void {
    switch (command.kind) {
      case "tick":
        this.#tick(budget);
        break;
      case "submit":
        this.jobs.submit(command.uid, command.spec, (answer) => this.#respond(command.requestId, answer));
        break;
      case "poll":
        this.jobs.poll(command.uid, (answer) => this.#respond(command.requestId, answer));
        break;
      case "cancel":
        this.jobs.cancel(command.uid, (answer) => this.#respond(command.requestId, answer));
        break;
      case "administer":
        this.#administration.handle(command.request, (answer) => {
          this.ctx.emit({ kind: "respondToOperator", requestId: command.requestId, response: answer });
        });
        break;
      case "heartbeat":
        this.#reports.route(command.requestId, command.heartbeat, command.body);
        break;
      case "agentReplied":
        this.leaderTerm?.agents.onCommandReply(command.id, command.heartbeat, command.executed);
        break;
      case "storeResponded":
        this.ctx.onStoreResponse(command.id, command.response);
        break;
      case "cloudResponded":
        this.ctx.onCloudResponse(command.id, command.response);
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
        this.#peers.onLinkChanged(command.node, command.up);
        break;
      default:
        command satisfies never;
    }
  }

  #respond(requestId: number, response: UserResponse): void {
    this.ctx.emit({ kind: "respondToUser", requestId, response });
  }

  #tick(budget: TimeBudget): void {
    this.config.tick();
    this.jobs.flushPolls();
    this.jobs.flushRejections();
    this.election.tick();
    this.leaderTerm?.tick(budget);
    this.#succession.tick(this.leaderName);
    const { now } = this.ctx;
    if (this.leaderTerm && !this.featureGate.isOpen) this.featureGate.tick();
    if (now - this.#heartbeatAt >= HEARTBEAT_MS) {
      this.#mayHandOver();
      this.#sendHeartbeat();
    }
    if (now - this.#sweepAt >= SWEEP_MS) {
      this.#sweepAt = now;
      const used = this.leaderTerm?.indicesInUse() ?? {
        jobs: new Set<number>(),
        machines: new Set<number>(),
      };
      this.#reports.collectIndices(used);
      this.names.jobs.reclaim(used.jobs);
      this.names.machines.reclaim(used.machines);
      this.#reports.retainMachines(used.machines);
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
    const machines = [...this.leaderTerm.cluster.machines.values()].filter(
      (m) => m.phase === "up" && !m.isLeaseExpired,
    );
    const heard = machines.filter((m) => Number.isFinite(m.heartbeatAt));
    if (heard.length < CUT_OFF_MACHINES) return;
    // The other direction: where most don't hear, it is this node that can't send.
    if (heard.filter((m) => m.unreachableSince !== null).length > heard.length / 2) {
      this.election.resign("workers can't be reached from this node");
      return;
    }
    if (heard.some((m) => now - m.heartbeatAt < quietMs)) return;
    if (this.#peers.areAgentsHeardByAny || this.#peers.isIsolated)
      this.election.resign("no worker is heard here");
  }

  #sendHeartbeat(): void {
    this.#heartbeatAt = this.ctx.now;
    this.#tickAdmission();
    const message: PeerMessage = {
      kind: "heartbeat",
      fencingToken: this.election.lease?.fencingToken ?? this.election.highestTokenSeen,
      leader: this.leaderTerm ? this.ctx.deployment.node : null,
      storeHealthy: this.ctx.storeFailingSince === null && this.config.isLoaded,
      agentsHeard: this.#reports.countAgentsHeard(),
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
    const mayIssue = term?.agents.areRecordsLoaded === true && this.election.hasValidLease;
    const openJobs = () => openJobsByTeam(term?.cluster.jobs.values() ?? []);
    this.#admission?.tick(this.leaderName, mayIssue ? term.lease.firstFencingToken : null, { openJobs });
  }

  /** For the metrics; null where fair admission is not switched on. */
  get admissionStatus(): AdmissionStatus | null {
    return this.#admission?.report() ?? null;
  }

  #peerSaid(from: string, message: PeerMessage): void {
    if (!this.#peers.has(from)) return;
    switch (message.kind) {
      case "heartbeat":
        this.#peers.onHeartbeat(from, message);
        this.#admission?.heard(from, message.admission);
        this.featureGate.observePeerProtocol(from, message.protocol);
        this.election.observeToken(message.fencingToken);
        this.election.observePeerToken(from, message.fencingToken);
        break;
      case "jobRecord":
        this.leaderTerm?.applyJobRecord(message.entry);
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
      this.leaderTerm.applyJobRecord(item);
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
    if (!leaderTerm || !this.election.mayReplyToAgents) return null;
    const answer = leaderTerm.handleHeartbeat(report);
    return leaderTerm.hasEnded ? null : answer;
  }

  status(): Record<string, unknown> {
    const { leaderTerm } = this;
    const base = {
      node: this.ctx.deployment.node,
      leader: this.leaderName,
      ready: this.ready,
      leading: leaderTerm !== null,
      peers: this.#peers.status(),
    };
    const admission = this.#admission?.status();
    const status = {
      ...base,
      ...this.#succession.status(this.config.revision),
      ...(admission ? { admission } : {}),
    };
    const { hasValidLease: confirmed } = this.election;
    return leaderTerm ? { ...status, ...leaderStatus(leaderTerm, confirmed, this.config.layout) } : status;
  }
}
