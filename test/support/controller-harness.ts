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
/** Long enough for an election in a store without a leader record. */
const ELECTION_MS = 1500;

/** A batch of direct commands to an agent, with jobs identified by uid. */
export interface SentCommands {
  readonly machine: string;
  readonly fencingToken: number;
  readonly incarnation: number;
  readonly commands: readonly (AgentCommand & { uid: string })[];
}

/** A batch of direct commands that the test has not answered yet. */
export interface UnansweredCommands {
  readonly id: number;
  readonly machine: string;
}

/** Options of a {@link ControllerHarness}. */
export interface HarnessOptions {
  /** The incarnation of the process; `NODE-1` by default. */
  readonly incarnation?: string;
  /** Settings that differ from those of the small deployment. */
  readonly settings?: Partial<Deployment>;
  /** The size limit of the standby cache in bytes; the standby is off by default. */
  readonly standbyBytes?: number;
  /** True to enable fair admission. */
  readonly admission?: boolean;
}

/** Runs one controller with a fake clock, store and cloud. Agents and peers only send what the test sends for them. */
export class ControllerHarness {
  now = 1000;
  readonly controller: Controller;
  readonly store: FakeStore;
  /** All batches of direct commands; unanswered ones are in `unansweredCommands` as well. */
  readonly sentCommands: SentCommands[] = [];
  readonly unansweredCommands: UnansweredCommands[] = [];
  readonly cloudCalls: CloudRequest[] = [];
  readonly errorLines: string[] = [];
  readonly logLines: string[] = [];
  /** The fields of the log lines, by message; the last line of each message. */
  readonly logFields = new Map<string, Record<string, unknown>>();
  /** The last heartbeat sent to each peer. */
  readonly heartbeats = new Map<string, PeerMessage>();
  /** The nodes that agent heartbeats were forwarded to, in order. */
  readonly forwardedTo: string[] = [];
  /** Responds to each cloud call, immediately. */
  cloudRule: (request: CloudRequest) => CloudResponse = (request) => this.#emptyCloud(request);
  /** The machine types that the cloud offers. */
  types: readonly MachineType[] = TYPES;
  /** Returns whether the CPU time budget of the current batch is spent. */
  isBudgetSpent = () => false;
  #nextRequestId = 1;
  readonly #admission: boolean;
  readonly #storeCalls: ScriptedStore;
  readonly #heartbeatFactory: HeartbeatFactory;
  readonly #userResponses = new Map<number, UserResponse>();
  readonly #agentReplies = new Map<number, HeartbeatReply>();
  readonly #adminResponses = new Map<number, AdminResponse>();

  constructor(node = "n0", store = new FakeStore(), options: HarnessOptions = {}) {
    const { incarnation = `${node}-1`, settings = {}, standbyBytes = 0, admission = false } = options;
    this.store = store;
    this.#admission = admission;
    const identity = { incarnation, seed: 7, epochMs: 1_000_000, standbyBytes, admission };
    this.controller = new Controller({ ...deployment(node), ...settings }, identity);
    this.#heartbeatFactory = new HeartbeatFactory(this.controller.names);
    this.#storeCalls = new ScriptedStore(store, (id, response) =>
      this.handle({ kind: "storeResponded", id, response }),
    );
  }

  /** Creates a leader with the given service-level objectives. */
  static withObjectives(
    objectives: Deployment["objectives"],
    settings: Partial<Deployment> = {},
  ): ControllerHarness {
    return new ControllerHarness("n0", new FakeStore(), {
      settings: { objectives, ...settings },
    }).becomeLeader();
  }

  /** Overrides the store's responses; null passes all calls to the fake store. */
  get storeRule(): StoreRule | null {
    return this.#storeCalls.rule;
  }

  set storeRule(rule: StoreRule | null) {
    this.#storeCalls.rule = rule;
  }

  /** Calls left without a response by the store rule. */
  get hangingCalls(): HangingCall[] {
    return this.#storeCalls.hangingCalls;
  }

  /** The prefixes of all list calls to the store, in order. */
  get listedPrefixes(): string[] {
    return this.#storeCalls.listedPrefixes;
  }

  /** Lets the controller handle a batch of commands and executes the effects. */
  handle(...commands: Command[]): void {
    const effects = this.controller.handle(commands, this.now, { isSpent: this.isBudgetSpent });
    for (const effect of effects) this.#execute(effect);
  }

  /** Advances the fake clock tick by tick. */
  advance(forMs: number): void {
    const endsAt = this.now + forMs;
    while (this.now < endsAt) {
      this.now += TICK_MS;
      this.#storeCalls.step(this.now);
      this.handle({ kind: "tick" });
    }
  }

  /** Advances the clock long enough to win an election without other candidates. */
  becomeLeader(): this {
    this.advance(ELECTION_MS);
    return this;
  }

  /** Submits a job; returns undefined if there is no response yet. */
  submit(spec: JobSpec): UserResponse | undefined {
    const requestId = this.#nextRequestId++;
    this.handle({ kind: "submit", requestId, uid: spec.uid, submitted: { ok: true, spec } });
    // Rejections are batched until the next tick.
    if (!this.#userResponses.has(requestId) && this.#admission) this.handle({ kind: "tick" });
    return this.#userResponses.get(requestId);
  }

  /** Polls the status of a job; returns undefined if there is no response yet. */
  poll(uid: string): UserResponse | undefined {
    const requestId = this.#nextRequestId++;
    this.handle({ kind: "poll", requestId, uid });
    // Polls of known jobs are batched until the next tick.
    this.handle({ kind: "tick" });
    return this.#userResponses.get(requestId);
  }

  /** Cancels a job; returns undefined if there is no response yet. */
  cancel(uid: string): UserResponse | undefined {
    const requestId = this.#nextRequestId++;
    this.handle({ kind: "cancel", requestId, uid });
    return this.#userResponses.get(requestId);
  }

  /** Sends an operator request; returns undefined if there is no response yet. */
  admin(request: AdminRequest): AdminResponse | undefined {
    const requestId = this.#nextRequestId++;
    this.handle({ kind: "administer", requestId, request });
    return this.#adminResponses.get(requestId);
  }

  /** Returns the response to a user request that the test passed to `handle`. */
  userResponse(requestId: number): UserResponse | undefined {
    return this.#userResponses.get(requestId);
  }

  /** Returns the reply to a heartbeat that the test passed to `handle`. */
  agentReply(requestId: number): HeartbeatReply | undefined {
    return this.#agentReplies.get(requestId);
  }

  /** Creates an agent's next heartbeat, with the current leader's fencing token. */
  makeHeartbeat(
    machine: string,
    tasks: readonly TaskStatus[] = [],
    overrides: Partial<Heartbeat> = {},
  ): Heartbeat {
    const fencingToken = this.controller.election.lease?.fencingToken ?? 0;
    return this.#heartbeatFactory.make(machine, fencingToken, tasks, overrides);
  }

  /** Sends an agent's next heartbeat; returns undefined if there is no reply yet. */
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

  /** Acknowledges all pending command batches for a machine as executed. */
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

  /** Times out all pending command batches. */
  timeOutCommands(): void {
    for (const { id } of this.unansweredCommands.splice(0))
      this.handle({ kind: "agentReplied", id, heartbeat: null, executed: false });
  }

  /** Returns all start commands sent for a job, including retries. */
  startCommands(uid: string): { machine: string; task: number; attempt: number }[] {
    return this.sentCommands.flatMap(({ machine, commands }) =>
      commands
        .filter((command) => command.kind === "start" && command.uid === uid)
        .map(({ task, attempt }) => ({ machine, task, attempt })),
    );
  }

  /** Returns machine and task of each command of the given kind sent for a job. */
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
        this.logFields.set(effect.text, effect.data);
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

  /** Responds like a cloud that has machine types, but neither machines nor capacity. */
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
