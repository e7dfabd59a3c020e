import { Controller } from "../../src/core/controller.js";
import type { AdminRequest, AdminResponse } from "../../src/core/messages/administration.js";
import type { AgentCommand, Heartbeat, HeartbeatReply } from "../../src/core/messages/agents.js";
import type { CloudRequest, CloudResponse } from "../../src/core/messages/cloud.js";
import type { Command } from "../../src/core/messages/commands.js";
import type { Effect, SendAgentCommands } from "../../src/core/messages/effects.js";
import type { PeerMessage } from "../../src/core/messages/peers.js";
import type { UserResponse } from "../../src/core/messages/users.js";
import type { Deployment, MachineType } from "../../src/core/model/deployment.js";
import type { JobSpec } from "../../src/core/model/job-spec.js";
import { deployment, TYPES } from "./deployment.js";
import { FakeStore } from "./fake-store.js";
import { HeartbeatFactory, type TaskStatus } from "./heartbeat-factory.js";
import { type HangingCall, ScriptedStore, type StoreRule } from "./scripted-store.js";

export type { TaskStatus } from "./heartbeat-factory.js";
export { jobSpec } from "./job-spec.js";

const TICK_MS = 100;
/** Long enough for a campaign in a store without a leader. */
const ELECTION_MS = 1500;

/** A batch of commands that was sent to an agent directly, with its jobs by uid. */
export interface SentCommands {
  readonly machine: string;
  readonly fencingToken: number;
  readonly incarnation: number;
  readonly commands: readonly (AgentCommand & { uid: string })[];
}

/** A batch of commands that the test has not answered. */
export interface UnansweredCommands {
  readonly id: number;
  readonly machine: string;
}

/** One controller under a fake clock, with scripted surroundings: agents and peers say nothing unless the test lets them. */
export class ControllerHarness {
  now = 1000;
  readonly controller: Controller;
  readonly store: FakeStore;
  /** All batches sent to agents directly; those not yet answered are in `unansweredCommands`, too. */
  readonly sentCommands: SentCommands[] = [];
  readonly unansweredCommands: UnansweredCommands[] = [];
  readonly cloudCalls: CloudRequest[] = [];
  readonly errorLines: string[] = [];
  readonly logLines: string[] = [];
  /** The last heartbeat that was sent to each peer. */
  readonly heartbeats = new Map<string, PeerMessage>();
  /** The nodes that heartbeats of agents were forwarded to. */
  readonly forwardedTo: string[] = [];
  /** Answers each call to the cloud, at once. */
  cloudRule: (request: CloudRequest) => CloudResponse = (request) => this.#emptyCloud(request);
  /** The machine types that the cloud has. */
  types: readonly MachineType[] = TYPES;
  /** Is the processor budget of the batch spent? */
  isBudgetSpent = () => false;
  #nextRequestId = 1;
  readonly #admission: boolean;
  readonly #storeCalls: ScriptedStore;
  readonly #heartbeatFactory: HeartbeatFactory;
  readonly #userResponses = new Map<number, UserResponse>();
  readonly #agentReplies = new Map<number, HeartbeatReply>();
  readonly #adminResponses = new Map<number, AdminResponse>();

  constructor(
    node = "n0",
    store = new FakeStore(),
    incarnation = `${node}-1`,
    settings: Partial<Deployment> = {},
    standbyBytes = 0,
    admission = false,
  ) {
    this.store = store;
    this.#admission = admission;
    const identity = { incarnation, seed: 7, epochMs: 1_000_000, standbyBytes, admission };
    this.controller = new Controller({ ...deployment(node), ...settings }, identity);
    this.#heartbeatFactory = new HeartbeatFactory(this.controller.names);
    this.#storeCalls = new ScriptedStore(store, (id, response) =>
      this.handle({ kind: "storeResponded", id, response }),
    );
  }

  /** A leader whose operators have set these service-level objectives. */
  static withObjectives(
    objectives: Deployment["objectives"],
    settings: Partial<Deployment> = {},
  ): ControllerHarness {
    return new ControllerHarness("n0", new FakeStore(), "n0-1", {
      objectives,
      ...settings,
    }).becomeLeader();
  }

  /** What the store does with each call; null lets it answer for real. */
  get storeRule(): StoreRule | null {
    return this.#storeCalls.rule;
  }

  set storeRule(rule: StoreRule | null) {
    this.#storeCalls.rule = rule;
  }

  /** Calls that the rule of the store lets hang. */
  get hangingCalls(): HangingCall[] {
    return this.#storeCalls.hangingCalls;
  }

  /** The prefixes of which the store was asked for pages. */
  get listedPrefixes(): string[] {
    return this.#storeCalls.listedPrefixes;
  }

  /** Hands the controller a batch of commands and carries out its effects. */
  handle(...commands: Command[]): void {
    const effects = this.controller.handle(commands, this.now, { isSpent: this.isBudgetSpent });
    for (const effect of effects) this.#execute(effect);
  }

  /** Lets time pass, tick by tick. */
  advance(forMs: number): void {
    const endsAt = this.now + forMs;
    while (this.now < endsAt) {
      this.now += TICK_MS;
      this.#storeCalls.step(this.now);
      this.handle({ kind: "tick" });
    }
  }

  /** Lets enough time pass for an election that nobody else stands in. */
  becomeLeader(): this {
    this.advance(ELECTION_MS);
    return this;
  }

  /** Submits a job; undefined while there is no response. */
  submit(spec: JobSpec): UserResponse | undefined {
    const requestId = this.#nextRequestId++;
    this.handle({ kind: "submit", requestId, uid: spec.uid, submitted: { ok: true, spec } });
    // Rejections are gathered until the next tick.
    if (!this.#userResponses.has(requestId) && this.#admission) this.handle({ kind: "tick" });
    return this.#userResponses.get(requestId);
  }

  /** Asks for the status of a job; undefined while there is no response. */
  poll(uid: string): UserResponse | undefined {
    const requestId = this.#nextRequestId++;
    this.handle({ kind: "poll", requestId, uid });
    // Polls of known jobs are gathered until the next tick.
    this.handle({ kind: "tick" });
    return this.#userResponses.get(requestId);
  }

  /** Cancels a job; undefined while there is no response. */
  cancel(uid: string): UserResponse | undefined {
    const requestId = this.#nextRequestId++;
    this.handle({ kind: "cancel", requestId, uid });
    return this.#userResponses.get(requestId);
  }

  /** Sends a request of an operator; undefined while there is no response. */
  admin(request: AdminRequest): AdminResponse | undefined {
    const requestId = this.#nextRequestId++;
    this.handle({ kind: "administer", requestId, request });
    return this.#adminResponses.get(requestId);
  }

  /** The response to a user's request that the test has made itself. */
  userResponse(requestId: number): UserResponse | undefined {
    return this.#userResponses.get(requestId);
  }

  /** The reply to a heartbeat that the test has sent itself. */
  agentReply(requestId: number): HeartbeatReply | undefined {
    return this.#agentReplies.get(requestId);
  }

  /** The next heartbeat of an agent, which has seen the present leader's fencing token. */
  makeHeartbeat(
    machine: string,
    tasks: readonly TaskStatus[] = [],
    overrides: Partial<Heartbeat> = {},
  ): Heartbeat {
    const fencingToken = this.controller.election.lease?.fencingToken ?? 0;
    return this.#heartbeatFactory.make(machine, fencingToken, tasks, overrides);
  }

  /** Sends an agent's next heartbeat; undefined while there is no reply. */
  sendHeartbeat(
    machine: string,
    tasks: readonly TaskStatus[] = [],
    overrides: Partial<Heartbeat> = {},
  ): HeartbeatReply | undefined {
    const requestId = this.#nextRequestId++;
    const heartbeat = this.makeHeartbeat(machine, tasks, overrides);
    this.handle({ kind: "heartbeat", requestId, heartbeat, body: null });
    return this.#agentReplies.get(requestId);
  }

  /** The agent answers every batch of commands under way to its machine: it was carried out. */
  replyToCommands(
    machine: string,
    tasks: readonly TaskStatus[] = [],
    overrides: Partial<Heartbeat> = {},
  ): void {
    for (const batch of this.unansweredCommands.splice(0)) {
      if (batch.machine !== machine) {
        this.unansweredCommands.push(batch);
        continue;
      }
      const heartbeat = this.makeHeartbeat(machine, tasks, overrides);
      this.handle({ kind: "agentReplied", id: batch.id, heartbeat, executed: true });
    }
  }

  /** All batches of commands under way get no answer. */
  timeOutCommands(): void {
    for (const { id } of this.unansweredCommands.splice(0))
      this.handle({ kind: "agentReplied", id, heartbeat: null, executed: false });
  }

  /** The starts of a job's tasks that were sent, repeats included. */
  startCommands(uid: string): { machine: string; task: number; attempt: number }[] {
    return this.sentCommands.flatMap(({ machine, commands }) =>
      commands
        .filter((command) => command.kind === "start" && command.uid === uid)
        .map(({ task, attempt }) => ({ machine, task, attempt })),
    );
  }

  /** Machine and task of each command of a kind that was sent about a job. */
  commandedTasks(kind: AgentCommand["kind"], uid: string): string[] {
    return this.sentCommands.flatMap(({ machine, commands }) =>
      commands
        .filter((command) => command.kind === kind && command.uid === uid)
        .map(({ task }) => `${machine} ${task}`),
    );
  }

  #execute(effect: Effect): void {
    switch (effect.kind) {
      case "respondToUser":
        this.#userResponses.set(effect.requestId, effect.response);
        break;
      case "respondToOperator":
        this.#adminResponses.set(effect.requestId, effect.response);
        break;
      case "replyToAgent":
        this.#agentReplies.set(effect.requestId, effect.reply);
        break;
      case "sendAgentCommands":
        this.#recordSentCommands(effect);
        break;
      case "callStore":
        this.#storeCalls.call(effect.id, effect.request, this.now);
        break;
      case "callCloud":
        this.cloudCalls.push(effect.request);
        this.handle({ kind: "cloudResponded", id: effect.id, response: this.cloudRule(effect.request) });
        break;
      case "log":
        if (effect.level === "error") this.errorLines.push(effect.text);
        this.logLines.push(effect.text);
        break;
      case "forwardHeartbeat":
        this.forwardedTo.push(effect.to);
        break;
      case "sendToPeer":
        if (effect.message.kind === "heartbeat") this.heartbeats.set(effect.to, effect.message);
        break;
      case "replyToForwardedHeartbeat":
        break;
      default:
        effect satisfies never;
    }
  }

  #recordSentCommands(effect: SendAgentCommands): void {
    const { machines, jobs } = this.controller.names;
    const { id, fencingToken, incarnation } = effect;
    const machine = machines.nameOf(effect.machine);
    const commands = effect.commands.map((command) => ({ ...command, uid: jobs.nameOf(command.job) }));
    this.sentCommands.push({ machine, fencingToken, incarnation, commands });
    this.unansweredCommands.push({ id, machine });
  }

  /** A cloud that has machine types, but neither machines nor capacity. */
  #emptyCloud(request: CloudRequest): CloudResponse {
    switch (request.kind) {
      case "listTypes":
        return { kind: "types", machineTypes: this.types };
      case "create":
        return { kind: "noCapacity" };
      case "delete":
        return { kind: "deleted" };
      case "list":
        return { kind: "page", machines: [], more: false };
    }
  }
}
