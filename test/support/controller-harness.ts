import { Controller } from "../../src/core/controller.js";
import type {
  AdminAnswer,
  AdminAsk,
  CloudAnswer,
  CloudCall,
  Command,
  Deployment,
  Effect,
  JobSpec,
  MachineType,
  Order,
  PeerMessage,
  Report,
  ReportAnswer,
  ReportedTask,
  StateAnswer,
  StateCall,
  UserAnswer,
} from "../../src/core/types.js";
import { deployment, TYPES } from "./deployment.js";
import { StateService } from "./fake-store.js";

export interface SentOrders {
  readonly machine: string;
  readonly token: number;
  readonly session: number;
  readonly orders: readonly (Order & { uid: string })[];
}

export interface Said {
  readonly uid: string;
  readonly task: number;
  readonly attempt: number;
  readonly state: ReportedTask["state"];
  readonly cause?: ReportedTask["cause"];
}

/** One controller under a fake clock, with a scripted outside: nothing answers unless the test lets it. */
export class Bench {
  now = 1000;
  readonly core: Controller;
  readonly state: StateService;
  /** Direct commands sent; those not yet answered wait in `unanswered`. */
  readonly sent: SentOrders[] = [];
  readonly unanswered: { id: number; machine: string }[] = [];
  readonly cloudCalls: CloudCall[] = [];
  readonly faults: string[] = [];
  readonly logged: string[] = [];
  /** The prefixes of which pages were asked for. */
  readonly lists: string[] = [];
  /** The last heartbeat that was sent to each peer. */
  readonly heartbeats = new Map<string, PeerMessage>();
  /** The nodes that reports were passed on to. */
  readonly relays: string[] = [];
  /** What the state service does with a call; null answers for real. */
  stateRule: ((call: StateCall) => StateAnswer | "hang" | null) | null = null;
  hung: { id: number; call: StateCall }[] = [];
  cloudRule: (call: CloudCall) => CloudAnswer = (call) => {
    switch (call.t) {
      case "types":
        return { t: "types", types: this.types };
      case "hire":
        return { t: "no_capacity" };
      case "release":
        return { t: "released" };
      case "list":
        return { t: "page", machines: [], more: false };
    }
  };
  types: readonly MachineType[] = TYPES;
  budget = () => false;
  #req = 1;
  readonly #gathers: boolean;
  #sequence = new Map<string, number>();
  readonly #users = new Map<number, UserAnswer>();
  readonly #reports = new Map<number, ReportAnswer>();
  readonly #admins = new Map<number, AdminAnswer>();
  readonly #follows: { id: number; call: Extract<StateCall, { t: "follow" }>; at: number }[] = [];

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
    this.#run(this.core.handle(commands, this.now, { spent: this.budget }));
  }

  #run(effects: readonly Effect[]): void {
    for (const effect of effects) {
      switch (effect.t) {
        case "answer":
          this.#users.set(effect.req, effect.answer);
          break;
        case "adminAnswer":
          this.#admins.set(effect.req, effect.answer);
          break;
        case "reportAnswer":
          this.#reports.set(effect.req, effect.answer);
          break;
        case "do": {
          const machine = this.core.directory.machines.name(effect.machine);
          const orders = effect.orders.map((o) => ({ ...o, uid: this.core.directory.jobs.name(o.job) }));
          this.sent.push({ machine, token: effect.token, session: effect.session, orders });
          this.unanswered.push({ id: effect.id, machine });
          break;
        }
        case "state":
          this.#stateCall(effect.id, effect.call);
          break;
        case "cloud":
          this.cloudCalls.push(effect.call);
          this.give({ t: "cloud", id: effect.id, answer: this.cloudRule(effect.call) });
          break;
        case "log":
          if (effect.level === "error") this.faults.push(effect.text);
          this.logged.push(effect.text);
          break;
        case "relay":
          this.relays.push(effect.to);
          break;
        case "peerSend":
          if (effect.message.t === "beat") this.heartbeats.set(effect.to, effect.message);
          break;
        case "peerReportAnswer":
          break;
        default:
          effect satisfies never;
      }
    }
  }

  #stateCall(id: number, call: StateCall): void {
    if (call.t === "list") this.lists.push(call.prefix);
    const ruled = this.stateRule?.(call) ?? null;
    if (
      call.t === "follow" &&
      call.waitMs > 0 &&
      (ruled === null || ruled === "hang" || ruled.t !== "silent")
    ) {
      this.#follows.push({ id, call, at: this.now });
      return;
    }
    if (ruled === "hang") this.hung.push({ id, call });
    else if (call.t === "follow") {
      const found = ruled ?? this.state.since(call.prefix, call.after);
      const none = { t: "events", events: [], revision: this.state.revision } as const;
      this.give({ t: "state", id, answer: found ?? none });
    } else this.give({ t: "state", id, answer: ruled ?? this.state.run(call, this.now) });
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
        if (found) this.give({ t: "state", id: follow.id, answer: found });
        else if (open && this.now >= follow.at + follow.call.waitMs) {
          const answer = { t: "events", events: [], revision: this.state.revision } as const;
          this.give({ t: "state", id: follow.id, answer });
        } else this.#follows.push(follow);
      }
      this.give({ t: "tick" });
    }
  }

  lead(): this {
    this.pass(1500);
    return this;
  }

  submit(spec: JobSpec): UserAnswer | undefined {
    const req = this.#req++;
    this.give({ t: "submit", req, uid: spec.uid, spec });
    // What is turned away is answered with the next tick.
    if (!this.#users.has(req) && this.#gathers) this.give({ t: "tick" });
    return this.#users.get(req);
  }

  poll(uid: string): UserAnswer | undefined {
    const req = this.#req++;
    this.give({ t: "poll", req, uid });
    // Polls of known jobs are gathered until the next tick.
    this.give({ t: "tick" });
    return this.#users.get(req);
  }

  cancel(uid: string): UserAnswer | undefined {
    const req = this.#req++;
    this.give({ t: "cancel", req, uid });
    return this.#users.get(req);
  }

  admin(ask: AdminAsk): AdminAnswer | undefined {
    const req = this.#req++;
    this.give({ t: "admin", req, ask });
    return this.#admins.get(req);
  }

  makeReport(name: string, said: readonly Said[] = [], more: Partial<Report> = {}): Report {
    const sequence = (this.#sequence.get(name) ?? 0) + 1;
    this.#sequence.set(name, sequence);
    return {
      machine: this.core.directory.machines.intern(name),
      address: `${name}:1`,
      type: "small",
      zone: "a",
      spot: false,
      session: 1,
      sequence,
      token: this.core.leadership.term?.token ?? 0,
      noticeS: null,
      tasks: said.map(({ uid, task, attempt, state, cause }) => ({
        job: this.core.directory.jobs.intern(uid),
        task,
        attempt,
        state,
        cause: cause ?? null,
        saved: false,
      })),
      ...more,
    };
  }

  report(name: string, said: readonly Said[] = [], more: Partial<Report> = {}): ReportAnswer | undefined {
    const req = this.#req++;
    this.give({ t: "report", req, report: this.makeReport(name, said, more), raw: null });
    return this.#reports.get(req);
  }

  toldUser(req: number): UserAnswer | undefined {
    return this.#users.get(req);
  }

  answered(req: number): ReportAnswer | undefined {
    return this.#reports.get(req);
  }

  /** Answers every direct command under way to this machine with a report. */
  answerDo(name: string, said: readonly Said[] = [], more: Partial<Report> = {}): void {
    for (const entry of this.unanswered.splice(0)) {
      if (entry.machine !== name) this.unanswered.push(entry);
      else
        this.give({ t: "doDone", id: entry.id, report: this.makeReport(name, said, more), executed: true });
    }
  }

  /** Direct commands under way get no answer. */
  silenceDo(): void {
    for (const { id } of this.unanswered.splice(0))
      this.give({ t: "doDone", id, report: null, executed: false });
  }

  starts(uid: string): { machine: string; task: number; attempt: number }[] {
    return this.sent.flatMap(({ machine, orders }) =>
      orders
        .filter((o) => o.op === "start" && o.uid === uid)
        .map(({ task, attempt }) => ({ machine, task, attempt })),
    );
  }

  ops(op: Order["op"], uid: string): string[] {
    return this.sent.flatMap(({ machine, orders }) =>
      orders.filter((o) => o.op === op && o.uid === uid).map((o) => `${machine} ${o.task}`),
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
