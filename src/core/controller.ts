import { Admission, type AdmissionStatus } from "../admission/admission.js";
import { Failover } from "../standby/failover.js";
import type { FailoverTimeline } from "../standby/failover-timeline.js";
import type { StandbyReport } from "../standby/standby.js";
import { Administration } from "./administration.js";
import { reasonToResign } from "./agent-isolation.js";
import { HeartbeatRouter, type HeartbeatRouterCallbacks } from "./agents/heartbeat-router.js";
import { Context, type TimeBudget } from "./context.js";
import { Election } from "./election/election.js";
import type { ElectionCallbacks } from "./election/election-callbacks.js";
import { type JobRequestCallbacks, JobRequests } from "./jobs/job-requests.js";
import { ProgressCounts } from "./jobs/progress-counts.js";
import { leaderStatus } from "./leader-status.js";
import { LeaderTerm } from "./leader-term.js";
import type { Heartbeat, HeartbeatReply } from "./messages/agents.js";
import type { Command } from "./messages/commands.js";
import type { Effect } from "./messages/effects.js";
import type { UserResponse } from "./messages/users.js";
import type { Deployment } from "./model/deployment.js";
import { NameRegistry } from "./model/interner.js";
import type { LeaderLease } from "./model/leader-lease.js";
import { PeerHeartbeatSender } from "./peer-heartbeat-sender.js";
import { PeerMessageHandler } from "./peer-message-handler.js";
import { PeerTable } from "./peer-table.js";
import { seededRandom } from "./random.js";
import { countUnfinishedJobsByTeam } from "./scheduling/team-load.js";
import { ConfigWatch } from "./store/config-watch.js";
import { FeatureGate } from "./store/feature-gate.js";
import { KEYS } from "./store/records.js";

const RECLAIM_INTERVAL_MS = 30_000;
/** A node becomes unready after its calls to the key-value store have failed for this long. */
const UNREADY_AFTER_MS = 2500;

/** The parameters that are specific to one process of a node. */
export interface ProcessIdentity {
  /** Unique to this process among all processes of the node. */
  readonly incarnation: string;
  /** Seed of the random number generator. */
  readonly seed: number;
  /** Wall-clock time in ms when `Context.now` is 0. */
  readonly epochMs: number;
  /** Size limit of the standby cache in bytes; 0 or absent disables it. */
  readonly standbyBytes?: number;
  /** True if submissions are subject to fair admission by the teams' shares. */
  readonly admission?: boolean;
}

/**
 * The logic of one node without its I/O: it takes commands and the time, and returns effects. Every node handles the
 * requests of users, operators and agents. The leader additionally has a `LeaderTerm`.
 */
export class Controller {
  readonly names = new NameRegistry();
  readonly ctx: Context;
  readonly config: ConfigWatch;
  readonly election: Election;
  readonly jobs: JobRequests;
  readonly featureGate: FeatureGate;
  /** The current term of this node as leader; null while it is not the leader. */
  leaderTerm: LeaderTerm | null = null;
  readonly #administration: Administration;
  readonly #peers: PeerTable;
  readonly #heartbeatRouter: HeartbeatRouter;
  readonly #peerHeartbeats: PeerHeartbeatSender;
  readonly #peerMessages: PeerMessageHandler;
  readonly #progress = new ProgressCounts();
  readonly #failover: Failover;
  /** Null if fair admission is disabled. */
  readonly #admission: Admission | null;
  #reclaimedAt = 0;

  constructor(deployment: Deployment, identity: ProcessIdentity) {
    const { incarnation, seed, epochMs, standbyBytes = 0, admission = false } = identity;
    const ctx = new Context(deployment, this.names, seededRandom(seed), epochMs);
    this.ctx = ctx;
    ctx.areRoundRobinTurnsEnabled = admission;
    this.#peers = new PeerTable(ctx);
    this.#admission = admission ? new Admission(ctx, incarnation) : null;
    this.#failover = new Failover(ctx, this.#peers, standbyBytes);
    this.config = new ConfigWatch(ctx, (key) => this.#onConfigChanged(key));
    this.election = new Election(ctx, this.config, incarnation, this.#electionCallbacks());
    this.#administration = new Administration(ctx, this.config, () => this.status());
    this.#heartbeatRouter = new HeartbeatRouter(ctx, this.#heartbeatRouterCallbacks());
    this.featureGate = new FeatureGate(ctx, this.config, () => this.election.lease);
    this.jobs = new JobRequests(ctx, this.config, this.#jobRequestCallbacks(), this.#admission);
    this.#peerHeartbeats = new PeerHeartbeatSender(ctx, {
      config: this.config,
      election: this.election,
      heartbeatRouter: this.#heartbeatRouter,
      failover: this.#failover,
      admission: this.#admission,
    });
    this.#peerMessages = new PeerMessageHandler(ctx, {
      peers: this.#peers,
      election: this.election,
      featureGate: this.featureGate,
      progress: this.#progress,
      admission: this.#admission,
      applyJobRecord: (entry) => this.leaderTerm?.applyJobRecord(entry),
    });
  }

  #electionCallbacks(): ElectionCallbacks {
    return {
      onElected: (lease) => this.#beginTerm(lease),
      onSteppedDown: () => this.#endTerm(),
      isIsolated: () => this.#peers.isIsolated,
      campaignDelayMs: () => this.#failover.campaignDelayMs(this.leaderName),
      onLeaderKeyRemoved: () => this.#failover.onLeaderKeyRemoved(),
      hasUnacknowledgedStarts: () => this.leaderTerm?.agents.hasUnacknowledgedStarts() ?? false,
      cancellationsKnownThrough: () => this.leaderTerm?.cancellationsKnownThrough ?? null,
    };
  }

  #heartbeatRouterCallbacks(): HeartbeatRouterCallbacks {
    return {
      replyAsLeader: (heartbeat) => this.#replyAsLeader(heartbeat),
      isLeader: () => this.leaderTerm !== null,
      leader: () => this.config.leader?.value.node ?? null,
      isReachablePeer: (node) => this.#peers.isReachable(node),
    };
  }

  #jobRequestCallbacks(): JobRequestCallbacks {
    return {
      onJobWritten: (entry, isCancellation) => {
        if (this.leaderTerm) this.leaderTerm.applyJobRecord(entry);
        else this.#peerMessages.sendJobRecord(entry, isCancellation, this.leaderName);
      },
      isOlderPeerAlive: () =>
        !this.featureGate.isOpen && this.#peers.isAnyOlderAlive((node) => this.featureGate.isOlderPeer(node)),
      progressOf: (uid) => this.leaderTerm?.progressOf(uid) ?? this.#progress.get(uid) ?? null,
    };
  }

  /* ---- status and metrics ---- */

  /** True if this node can serve requests. A store outage that affects all nodes leaves it ready. */
  get isReady(): boolean {
    if (!this.config.isLoaded || this.config.machineTypes.length === 0) return false;
    const { now, storeFailingSince } = this.ctx;
    if (storeFailingSince === null || now - storeFailingSince < UNREADY_AFTER_MS) return true;
    // Without the key-value store and without peers, this node is most likely the partitioned one.
    return !this.#peers.isIsolated && !this.#peers.isStoreReachableByAny;
  }

  /** For the metrics: the standby cache and the steps of this node's last failover. */
  get failover(): { readonly standby: StandbyReport | null; readonly takeover: FailoverTimeline } {
    const { timeline } = this.#failover;
    return { standby: this.#failover.standbyReport(this.config.revision), takeover: timeline };
  }

  /** For the metrics; null if fair admission is disabled. */
  get admissionStatus(): AdmissionStatus | null {
    return this.#admission?.snapshot() ?? null;
  }

  /** The name of the leader as known to this node; null if none is known. */
  get leaderName(): string | null {
    if (this.leaderTerm) return this.ctx.deployment.node;
    return this.config.leader?.value.node ?? null;
  }

  /** Returns the status page of this node. Operators' tools depend on the field names. */
  status(): Record<string, unknown> {
    const { leaderTerm } = this;
    const admission = this.#admission?.status();
    const status = {
      node: this.ctx.deployment.node,
      leader: this.leaderName,
      ready: this.isReady,
      leading: leaderTerm !== null,
      peers: this.#peers.status(),
      ...this.#failover.status(this.config.revision),
      ...(admission ? { admission } : {}),
    };
    if (!leaderTerm) return status;
    return { ...status, ...leaderStatus(leaderTerm, this.election.hasValidLease, this.config.layout) };
  }

  /* ---- commands in, effects out ---- */

  /** Executes a batch of commands at the given time and returns the resulting effects in order. */
  handle(batch: readonly Command[], now: number, budget: TimeBudget): Effect[] {
    this.ctx.now = now;
    this.names.beginBatch();
    for (const command of batch) this.#containFaults(() => this.#handleCommand(command, budget));
    this.#containFaults(() => {
      this.#heartbeatRouter.retryWaiting();
      this.leaderTerm?.finishBatch(budget);
    });
    const effects = this.ctx.takeEffects();
    if (this.leaderTerm) this.#failover.observeEffects(effects, this.leaderTerm.agents.areRecordsLoaded);
    return effects;
  }

  /**
   * An exception must not terminate the process, recur endlessly, or affect more than the command that raised it:
   * clients wait for the responses to the other commands of the batch. Effects emitted so far are kept. The term ends,
   * and the cluster state, which may be corrupt, is discarded; the next leader loads the records.
   */
  #containFaults(run: () => void): void {
    try {
      run();
    } catch (error) {
      const stack = error instanceof Error ? error.stack : String(error);
      this.ctx.log("error", "command failed", { error: stack });
      this.election.stepDown("a command failed");
    }
  }

  #handleCommand(command: Command, budget: TimeBudget): void {
    switch (command.kind) {
      case "tick":
        this.#tick(budget);
        break;
      case "submit":
        this.jobs.submit(command.uid, command.submitted, this.#respondToUser(command.requestId));
        break;
      case "poll":
        this.jobs.poll(command.uid, this.#respondToUser(command.requestId));
        break;
      case "cancel":
        this.jobs.cancel(command.uid, this.#respondToUser(command.requestId));
        break;
      case "administer":
        this.#administration.handle(command.request, (response) => {
          this.ctx.emit({ kind: "respondToOperator", requestId: command.requestId, response });
        });
        break;
      case "heartbeat":
        this.#heartbeatRouter.route(command.requestId, command.heartbeat, command.body);
        break;
      case "forwardedHeartbeat":
        this.#replyToForwardedHeartbeat(command.from, command.id, command.heartbeat);
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
        this.#peerMessages.onMessage(command.from, command.message);
        break;
      case "peerLinkChanged":
        this.#peers.onLinkChanged(command.node, command.up);
        break;
      default:
        command satisfies never;
    }
  }

  #respondToUser(requestId: number): (response: UserResponse) => void {
    return (response) => this.ctx.emit({ kind: "respondToUser", requestId, response });
  }

  #tick(budget: TimeBudget): void {
    this.config.tick();
    this.jobs.flushPolls();
    this.jobs.flushRejections();
    this.election.tick();
    this.leaderTerm?.tick(budget);
    this.#failover.tick(this.leaderName);
    if (this.leaderTerm && !this.featureGate.isOpen) this.featureGate.tick();
    if (this.#peerHeartbeats.isDue) {
      this.#resignIfIsolatedFromAgents();
      this.#tickAdmission();
      this.#peerHeartbeats.send(this.leaderTerm !== null);
    }
    if (this.ctx.now - this.#reclaimedAt >= RECLAIM_INTERVAL_MS) this.#reclaimIndices();
  }

  /** Frees the indices of names that are no longer in use, so that memory stays bounded. */
  #reclaimIndices(): void {
    this.#reclaimedAt = this.ctx.now;
    const inUse = this.leaderTerm?.indicesInUse() ?? {
      jobs: new Set<number>(),
      machines: new Set<number>(),
    };
    this.#heartbeatRouter.collectIndices(inUse);
    this.names.jobs.reclaim(inUse.jobs);
    this.names.machines.reclaim(inUse.machines);
    this.#heartbeatRouter.retainMachines(inUse.machines);
  }

  /* ---- leadership ---- */

  #onConfigChanged(key: string): void {
    this.election.onConfigChanged(key);
    if (key === KEYS.machineModes) this.leaderTerm?.applyMachineModes();
  }

  #beginTerm(lease: LeaderLease): void {
    this.#failover.onElected();
    this.leaderTerm = new LeaderTerm(this.ctx, {
      config: this.config,
      election: this.election,
      lease,
      featureGate: this.featureGate,
      chooseSource: (fullRead) => this.#failover.recordSource(lease.leaderKeyVersion, fullRead),
    });
    this.#peerHeartbeats.expedite();
  }

  #endTerm(): void {
    this.leaderTerm?.end();
    this.leaderTerm = null;
    this.#peerHeartbeats.expedite();
  }

  #resignIfIsolatedFromAgents(): void {
    if (!this.leaderTerm) return;
    const reason = reasonToResign(this.ctx, this.leaderTerm.cluster.machines.values(), this.#peers);
    if (reason !== null) this.election.resign(reason);
  }

  /** A leader issues permit leases only while its lease is valid, and only after it has loaded the job records. */
  #tickAdmission(): void {
    const term = this.leaderTerm;
    const mayIssue = term?.agents.areRecordsLoaded === true && this.election.hasValidLease;
    const openJobs = () => countUnfinishedJobsByTeam(term?.cluster.jobs.values() ?? []);
    this.#admission?.tick(this.leaderName, mayIssue ? term.lease.firstFencingToken : null, { openJobs });
  }

  /* ---- agents' heartbeats ---- */

  #replyToForwardedHeartbeat(from: string, id: number, heartbeat: Heartbeat): void {
    const reply = this.#replyAsLeader(heartbeat) ?? { kind: "unavailable" };
    this.ctx.emit({ kind: "replyToForwardedHeartbeat", to: from, id, reply });
  }

  /**
   * Returns the leader's reply; replies of other nodes carry no fencing token. Returns null if this node may not reply,
   * or if the heartbeat itself ends the term because it carries a higher token.
   */
  #replyAsLeader(heartbeat: Heartbeat): HeartbeatReply | null {
    const { leaderTerm } = this;
    if (!leaderTerm || !this.election.mayReplyToAgents) return null;
    const reply = leaderTerm.handleHeartbeat(heartbeat);
    return leaderTerm.hasEnded ? null : reply;
  }
}
