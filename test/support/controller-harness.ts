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
import { StateService } from "./fake-store.js";

export interface SentOrders {
  readonly machine: string;
  readonly token: number;
  readonly session: number;
  readonly orders: readonly (AgentCommand & { uid: string })[];
}

export interface Said {
  readonly uid: string;
  readonly task: number;
  readonly attempt: number;
  readonly state: ReportedTask["state"];
  readonly cause?: ReportedTask["exitReason"];
}

/** One controller under a fake clock, with a scripted outside: nothing answers unless the test lets it. */
export class Bench {
  now = 1000;
  readonly core: Controller;
  readonly state: StateService;
  /** Direct commands sent; those not yet answered wait in `unanswered`. */
  readonly sent: SentOrders[] = [];
  readonly unanswered: { id: number; machine: string }[] = [];
  readonly cloudCalls: CloudRequest[] = [];
  readonly faults: string[] = [];
  readonly logged: string[] = [];
  /** The prefixes of which pages were asked for. */
  readonly lists: string[] = [];
  /** The last heartbeat that was sent to each peer. */
  readonly heartbeats = new Map<string, PeerMessage>();
  /** The nodes that reports were passed on to. */
  readonly relays: string[] = [];
  /** What the state service does with a call; null answers for real. */
  stateRule: ((call: StoreRequest) => StoreResponse | "hang" | null) | null = null;
  hung: { id: number; call: StoreRequest }[] = [];
  cloudRule: (call: CloudRequest) => CloudResponse = (call) => {
    switch (call.kind) {
      case "listTypes":
        return { kind: "types", types: this.types };
      case "create":
        return { kind: "noCapacity" };
      case "delete":
        return { kind: "deleted" };
      case "list":
        return { kind: "page", machines: [], more: false };
    }
  };
  types: readonly MachineType[] = TYPES;
  budget = () => false;
  #req = 1;
  readonly #gathers: boolean;
  #sequence = new Map<string, number>();
  readonly #users = new Map<number, UserResponse>();
  readonly #reports = new Map<number, HeartbeatReply>();
  readonly #admins = new Map<number, AdminResponse>();
  readonly #follows: { id: number; call: Extract<StoreRequest, { kind: "watch" }>; at: number }[] = [];

  constructor(
    node = "n0",
    state = new StateService(),
    incarnation = `${node}-1`,
    settings: Partial<Deployment> = {},
    standbyBytes = 0,
    admission = false,
  ) {
    this.state = state;
    this.#gathers = admission;
    const identity = { incarnation, seed: 7, epochMs: 1_000_000, standbyBytes, admission };
    this.core = new Controller({ ...deployment(node), ...settings }, identity);
  }

  /** A leader whose operators have these aims. */
  static withAims(objectives: Deployment["objectives"], more: Partial<Deployment> = {}): Bench {
    return new Bench("n0", new StateService(), "n0-1", { objectives, ...more }).lead();
  }

  give(...commands: Command[]): void {
    this.#run(this.core.handle(commands, this.now, { isSpent: this.budget }));
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
          const machine = this.core.names.machines.name(effect.machine);
          const orders = effect.commands.map((o) => ({ ...o, uid: this.core.names.jobs.name(o.job) }));
          this.sent.push({ machine, token: effect.fencingToken, session: effect.incarnation, orders });
          this.unanswered.push({ id: effect.id, machine });
          break;
        }
        case "callStore":
          this.#stateCall(effect.id, effect.request);
          break;
        case "callCloud":
          this.cloudCalls.push(effect.request);
          this.give({ kind: "cloudResponded", id: effect.id, response: this.cloudRule(effect.request) });
          break;
        case "log":
          if (effect.level === "error") this.faults.push(effect.text);
          this.logged.push(effect.text);
          break;
        case "forwardHeartbeat":
          this.relays.push(effect.to);
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
    if (call.kind === "list") this.lists.push(call.prefix);
    const ruled = this.stateRule?.(call) ?? null;
    if (
      call.kind === "watch" &&
      call.waitMs > 0 &&
      (ruled === null || ruled === "hang" || ruled.kind !== "timeout")
    ) {
      this.#follows.push({ id, call, at: this.now });
      return;
    }
    if (ruled === "hang") this.hung.push({ id, call });
    else if (call.kind === "watch") {
      const found = ruled ?? this.state.since(call.prefix, call.after);
      const none = { kind: "events", events: [], revision: this.state.revision } as const;
      this.give({ kind: "storeResponded", id, response: found ?? none });
    } else this.give({ kind: "storeResponded", id, response: ruled ?? this.state.run(call, this.now) });
  }

  /** Lets time pass in ticks of 100 ms. */
  pass(ms: number): void {
    const end = this.now + ms;
    while (this.now < end) {
      this.now += 100;
      this.state.expire(this.now);
      for (const follow of this.#follows.splice(0)) {
        // Where calls are refused, open watches wait.
        const open = (this.stateRule?.(follow.call) ?? null) === null;
        const found = open ? this.state.since(follow.call.prefix, follow.call.after) : null;
        if (found) this.give({ kind: "storeResponded", id: follow.id, response: found });
        else if (open && this.now >= follow.at + follow.call.waitMs) {
          const answer = { kind: "events", events: [], revision: this.state.revision } as const;
          this.give({ kind: "storeResponded", id: follow.id, response: answer });
        } else this.#follows.push(follow);
      }
      this.give({ kind: "tick" });
    }
  }

  lead(): this {
    this.pass(1500);
    return this;
  }

  submit(spec: JobSpec): UserResponse | undefined {
    const req = this.#req++;
    this.give({ kind: "submit", requestId: req, uid: spec.uid, spec });
    // What is turned away is answered with the next tick.
    if (!this.#users.has(req) && this.#gathers) this.give({ kind: "tick" });
    return this.#users.get(req);
  }

  poll(uid: string): UserResponse | undefined {
    const req = this.#req++;
    this.give({ kind: "poll", requestId: req, uid });
    // Polls of known jobs are gathered until the next tick.
    this.give({ kind: "tick" });
    return this.#users.get(req);
  }

  cancel(uid: string): UserResponse | undefined {
    const req = this.#req++;
    this.give({ kind: "cancel", requestId: req, uid });
    return this.#users.get(req);
  }

  admin(ask: AdminRequest): AdminResponse | undefined {
    const req = this.#req++;
    this.give({ kind: "administer", requestId: req, request: ask });
    return this.#admins.get(req);
  }

  makeReport(name: string, said: readonly Said[] = [], more: Partial<Heartbeat> = {}): Heartbeat {
    const sequence = (this.#sequence.get(name) ?? 0) + 1;
    this.#sequence.set(name, sequence);
    return {
      machine: this.core.names.machines.intern(name),
      address: `${name}:1`,
      type: "small",
      zone: "a",
      spot: false,
      incarnation: 1,
      sequence,
      fencingToken: this.core.election.lease?.fencingToken ?? 0,
      reclaimNoticeS: null,
      tasks: said.map(({ uid, task, attempt, state, cause }) => ({
        job: this.core.names.jobs.intern(uid),
        task,
        attempt,
        state,
        exitReason: cause ?? null,
        saved: false,
      })),
      ...more,
    };
  }

  report(
    name: string,
    said: readonly Said[] = [],
    more: Partial<Heartbeat> = {},
  ): HeartbeatReply | undefined {
    const req = this.#req++;
    this.give({
      kind: "heartbeat",
      requestId: req,
      heartbeat: this.makeReport(name, said, more),
      body: null,
    });
    return this.#reports.get(req);
  }

  toldUser(req: number): UserResponse | undefined {
    return this.#users.get(req);
  }

  answered(req: number): HeartbeatReply | undefined {
    return this.#reports.get(req);
  }

  /** Answers every direct command under way to this machine with a report. */
  answerDo(name: string, said: readonly Said[] = [], more: Partial<Heartbeat> = {}): void {
    for (const entry of this.unanswered.splice(0)) {
      if (entry.machine !== name) this.unanswered.push(entry);
      else
        this.give({
          kind: "agentReplied",
          id: entry.id,
          heartbeat: this.makeReport(name, said, more),
          executed: true,
        });
    }
  }

  /** Direct commands under way get no answer. */
  silenceDo(): void {
    for (const { id } of this.unanswered.splice(0))
      this.give({ kind: "agentReplied", id, heartbeat: null, executed: false });
  }

  starts(uid: string): { machine: string; task: number; attempt: number }[] {
    return this.sent.flatMap(({ machine, orders }) =>
      orders
        .filter((o) => o.kind === "start" && o.uid === uid)
        .map(({ task, attempt }) => ({ machine, task, attempt })),
    );
  }

  ops(op: AgentCommand["kind"], uid: string): string[] {
    return this.sent.flatMap(({ machine, orders }) =>
      orders.filter((o) => o.kind === op && o.uid === uid).map((o) => `${machine} ${o.task}`),
    );
  }
}

export function job(uid: string, more: Partial<JobSpec> = {}): JobSpec {
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
