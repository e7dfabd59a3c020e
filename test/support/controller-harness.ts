import { Controller } from "../../src/core/controller.js";
import type { AdminRequest, AdminResponse } from "../../src/core/messages/administration.js";
import type {
  AgentCommand,
  Heartbeat,
  HeartbeatReply,
  ReportedTask,
} from "../../src/core/messages/agents.js";
import type { CloudRequest, CloudResponse } from "../../src/core/messages/cloud.js";
import type { Command } from "../../src/core/messages/commands.js";
import type { Effect } from "../../src/core/messages/effects.js";
import type { PeerMessage } from "../../src/core/messages/peers.js";
import type { StoreRequest, StoreResponse } from "../../src/core/messages/store.js";
import type { UserResponse } from "../../src/core/messages/users.js";
import type { Deployment, MachineType } from "../../src/core/model/deployment.js";
import type { JobSpec } from "../../src/core/model/job-spec.js";
import { deployment, TYPES } from "./deployment.js";
import { FakeStore } from "./fake-store.js";

export interface SentCommands {
  readonly machine: string;
  readonly token: number;
  readonly session: number;
  readonly commands: readonly (AgentCommand & { uid: string })[];
}

export interface TaskStatus {
  readonly uid: string;
  readonly task: number;
  readonly attempt: number;
  readonly state: ReportedTask["state"];
  readonly cause?: ReportedTask["exitReason"];
}

/** One controller under a fake clock, with a scripted outside: nothing answers unless the test lets it. */
export class ControllerHarness {
  now = 1000;
  readonly controller: Controller;
  readonly store: FakeStore;
  /** Direct commands sent; those not yet answered wait in `unanswered`. */
  readonly sentCommands: SentCommands[] = [];
  readonly unansweredCommands: { id: number; machine: string }[] = [];
  readonly cloudCalls: CloudRequest[] = [];
  readonly errorLines: string[] = [];
  readonly logLines: string[] = [];
  /** The prefixes of which pages were asked for. */
  readonly listedPrefixes: string[] = [];
  /** The last heartbeat that was sent to each peer. */
  readonly heartbeats = new Map<string, PeerMessage>();
  /** The nodes that reports were passed on to. */
  readonly forwardedTo: string[] = [];
  /** What the state service does with a call; null answers for real. */
  storeRule: ((call: StoreRequest) => StoreResponse | "hang" | null) | null = null;
  hangingCalls: { id: number; call: StoreRequest }[] = [];
  cloudRule: (call: CloudRequest) => CloudResponse = (call) => {
    switch (call.kind) {
      case "listTypes":
        return { kind: "types", machineTypes: this.types };
      case "create":
        return { kind: "noCapacity" };
      case "delete":
        return { kind: "deleted" };
      case "list":
        return { kind: "page", machines: [], more: false };
    }
  };
  types: readonly MachineType[] = TYPES;
  isBudgetSpent = () => false;
  #req = 1;
  readonly #gathers: boolean;
  #sequence = new Map<string, number>();
  readonly #users = new Map<number, UserResponse>();
  readonly #reports = new Map<number, HeartbeatReply>();
  readonly #admins = new Map<number, AdminResponse>();
  readonly #follows: { id: number; call: Extract<StoreRequest, { kind: "watch" }>; at: number }[] = [];

  constructor(
    node = "n0",
    state = new FakeStore(),
    incarnation = `${node}-1`,
    settings: Partial<Deployment> = {},
    standbyBytes = 0,
    admission = false,
  ) {
    this.store = state;
    this.#gathers = admission;
    const identity = { incarnation, seed: 7, epochMs: 1_000_000, standbyBytes, admission };
    this.controller = new Controller({ ...deployment(node), ...settings }, identity);
  }

  /** A leader whose operators have these aims. */
  static withObjectives(
    objectives: Deployment["objectives"],
    more: Partial<Deployment> = {},
  ): ControllerHarness {
    return new ControllerHarness("n0", new FakeStore(), "n0-1", { objectives, ...more }).becomeLeader();
  }

  handle(...commands: Command[]): void {
    this.#run(this.controller.handle(commands, this.now, { isSpent: this.isBudgetSpent }));
  }

  #run(effects: readonly Effect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case "respondToUser":
          this.#users.set(effect.requestId, effect.response);
          break;
        case "respondToOperator":
          this.#admins.set(effect.requestId, effect.response);
          break;
        case "replyToAgent":
          this.#reports.set(effect.requestId, effect.reply);
          break;
        case "sendAgentCommands": {
          const machine = this.controller.names.machines.name(effect.machine);
          const orders = effect.commands.map((o) => ({ ...o, uid: this.controller.names.jobs.name(o.job) }));
          this.sentCommands.push({
            machine,
            token: effect.fencingToken,
            session: effect.incarnation,
            commands: orders,
          });
          this.unansweredCommands.push({ id: effect.id, machine });
          break;
        }
        case "callStore":
          this.#stateCall(effect.id, effect.request);
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
  }

  #stateCall(id: number, call: StoreRequest): void {
    if (call.kind === "list") this.listedPrefixes.push(call.prefix);
    const ruled = this.storeRule?.(call) ?? null;
    if (
      call.kind === "watch" &&
      call.waitMs > 0 &&
      (ruled === null || ruled === "hang" || ruled.kind !== "timeout")
    ) {
      this.#follows.push({ id, call, at: this.now });
      return;
    }
    if (ruled === "hang") this.hangingCalls.push({ id, call });
    else if (call.kind === "watch") {
      const found = ruled ?? this.store.changesSince(call.prefix, call.after);
      const none = { kind: "events", events: [], revision: this.store.revision } as const;
      this.handle({ kind: "storeResponded", id, response: found ?? none });
    } else this.handle({ kind: "storeResponded", id, response: ruled ?? this.store.run(call, this.now) });
  }

  /** Lets time pass in ticks of 100 ms. */
  advance(ms: number): void {
    const end = this.now + ms;
    while (this.now < end) {
      this.now += 100;
      this.store.expire(this.now);
      for (const follow of this.#follows.splice(0)) {
        // Where calls are refused, open watches wait.
        const open = (this.storeRule?.(follow.call) ?? null) === null;
        const found = open ? this.store.changesSince(follow.call.prefix, follow.call.after) : null;
        if (found) this.handle({ kind: "storeResponded", id: follow.id, response: found });
        else if (open && this.now >= follow.at + follow.call.waitMs) {
          const answer = { kind: "events", events: [], revision: this.store.revision } as const;
          this.handle({ kind: "storeResponded", id: follow.id, response: answer });
        } else this.#follows.push(follow);
      }
      this.handle({ kind: "tick" });
    }
  }

  becomeLeader(): this {
    this.advance(1500);
    return this;
  }

  submit(spec: JobSpec): UserResponse | undefined {
    const req = this.#req++;
    this.handle({ kind: "submit", requestId: req, uid: spec.uid, spec });
    // What is turned away is answered with the next tick.
    if (!this.#users.has(req) && this.#gathers) this.handle({ kind: "tick" });
    return this.#users.get(req);
  }

  poll(uid: string): UserResponse | undefined {
    const req = this.#req++;
    this.handle({ kind: "poll", requestId: req, uid });
    // Polls of known jobs are gathered until the next tick.
    this.handle({ kind: "tick" });
    return this.#users.get(req);
  }

  cancel(uid: string): UserResponse | undefined {
    const req = this.#req++;
    this.handle({ kind: "cancel", requestId: req, uid });
    return this.#users.get(req);
  }

  admin(ask: AdminRequest): AdminResponse | undefined {
    const req = this.#req++;
    this.handle({ kind: "administer", requestId: req, request: ask });
    return this.#admins.get(req);
  }

  makeHeartbeat(name: string, said: readonly TaskStatus[] = [], more: Partial<Heartbeat> = {}): Heartbeat {
    const sequence = (this.#sequence.get(name) ?? 0) + 1;
    this.#sequence.set(name, sequence);
    return {
      machine: this.controller.names.machines.intern(name),
      address: `${name}:1`,
      type: "small",
      zone: "a",
      spot: false,
      incarnation: 1,
      sequence,
      fencingToken: this.controller.election.lease?.fencingToken ?? 0,
      reclaimNoticeS: null,
      tasks: said.map(({ uid, task, attempt, state, cause }) => ({
        job: this.controller.names.jobs.intern(uid),
        task,
        attempt,
        state,
        exitReason: cause ?? null,
        saved: false,
      })),
      ...more,
    };
  }

  sendHeartbeat(
    name: string,
    said: readonly TaskStatus[] = [],
    more: Partial<Heartbeat> = {},
  ): HeartbeatReply | undefined {
    const req = this.#req++;
    this.handle({
      kind: "heartbeat",
      requestId: req,
      heartbeat: this.makeHeartbeat(name, said, more),
      body: null,
    });
    return this.#reports.get(req);
  }

  userResponse(req: number): UserResponse | undefined {
    return this.#users.get(req);
  }

  agentReply(req: number): HeartbeatReply | undefined {
    return this.#reports.get(req);
  }

  /** Answers every direct command under way to this machine with a report. */
  replyToCommands(name: string, said: readonly TaskStatus[] = [], more: Partial<Heartbeat> = {}): void {
    for (const entry of this.unansweredCommands.splice(0)) {
      if (entry.machine !== name) this.unansweredCommands.push(entry);
      else
        this.handle({
          kind: "agentReplied",
          id: entry.id,
          heartbeat: this.makeHeartbeat(name, said, more),
          executed: true,
        });
    }
  }

  /** Direct commands under way get no answer. */
  timeOutCommands(): void {
    for (const { id } of this.unansweredCommands.splice(0))
      this.handle({ kind: "agentReplied", id, heartbeat: null, executed: false });
  }

  startCommands(uid: string): { machine: string; task: number; attempt: number }[] {
    return this.sentCommands.flatMap(({ machine, commands: orders }) =>
      orders
        .filter((o) => o.kind === "start" && o.uid === uid)
        .map(({ task, attempt }) => ({ machine, task, attempt })),
    );
  }

  commandedTasks(op: AgentCommand["kind"], uid: string): string[] {
    return this.sentCommands.flatMap(({ machine, commands: orders }) =>
      orders.filter((o) => o.kind === op && o.uid === uid).map((o) => `${machine} ${o.task}`),
    );
  }
}

export function jobSpec(uid: string, more: Partial<JobSpec> = {}): JobSpec {
  return {
    uid,
    jobClass: "work",
    team: "red",
    shape: "array",
    priority: 1,
    tasks: 1,
    need: { cpu: 1000, gpu: 0, ram: 1000 },
    image: "img",
    imageGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: false,
    estimateS: 10,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    ...more,
  };
}
