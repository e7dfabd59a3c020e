import type { AdmissionNote } from "../admission/messages.js";

/** The terms of the domain. Everything here is plain data; names have become dense indices at the boundary. */

export type Shape = "array" | "gang" | "service";
/** Higher numbers win: 3 is production, 0 is idle. */
export type Priority = 0 | 1 | 2 | 3;
export type TaskState = "fetching" | "waiting" | "running" | "saving" | "ended";
export type Cause = "done" | "stopped" | "peers" | "incomplete" | "error" | "no_room" | "busy" | "unknown";

/** Resources are whole thousandths, so that sums never drift. */
export interface Amount {
  readonly cpu: number;
  readonly gpu: number;
  readonly ram: number;
}

/** A job as its user described it, by names: this is the form that is stored. */
export interface JobSpec {
  readonly uid: string;
  readonly jobClass: string;
  readonly team: string;
  readonly shape: Shape;
  readonly priority: Priority;
  readonly tasks: number;
  readonly need: Amount;
  readonly image: string;
  readonly imageGb: number;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly oneZone: boolean;
  readonly spread: boolean;
  readonly spot: boolean;
  readonly estimateS: number;
  readonly checkpointS: number;
  readonly saveS: number;
  readonly deadlineS: number | null;
  /** The jobs that have to be done before any task of this one starts; absent where there are none. */
  readonly awaits?: readonly string[];
}

/** What the state service takes. */
export interface StateLimits {
  readonly rps: number;
  readonly writeRps: number;
  readonly valueBytes: number;
  readonly txnOps: number;
}

export interface Team {
  readonly name: string;
  readonly guarantee: Amount;
  /** 0 means none is allowed. */
  readonly limit: Amount;
}

export interface MachineType {
  readonly name: string;
  readonly size: Amount;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly string[];
}

export interface Objective {
  readonly kind: string;
  readonly jobClass: string | null;
  readonly withinS: number | null;
  readonly share: number | null;
}

/** What the platform's file says of the deployment. */
export interface Deployment {
  readonly node: string;
  readonly peers: readonly string[];
  readonly zones: readonly string[];
  readonly teams: readonly Team[];
  readonly objectives: readonly Objective[];
  readonly reportS: number;
  readonly leaseS: number;
  readonly gangWaitS: number;
  readonly gangPeerS: number;
  readonly cancelS: number;
  readonly stateRps: number;
  readonly stateWriteRps: number;
  readonly valueBytes: number;
  readonly txnOps: number;
  /** The limits that the state service will have from some moment on. */
  readonly stateNext?: StateLimits | null;
  readonly cloudRps: number;
  readonly listLagS: number;
}

export interface ReportedTask {
  readonly job: number;
  readonly task: number;
  readonly attempt: number;
  readonly state: TaskState;
  readonly cause: Cause | null;
  readonly saved: boolean;
}

export interface Report {
  readonly machine: number;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly session: number;
  readonly sequence: number;
  readonly token: number;
  readonly noticeS: number | null;
  readonly tasks: readonly ReportedTask[];
}

export type Order =
  | { readonly op: "start"; readonly job: number; readonly task: number; readonly attempt: number }
  | {
      readonly op: "stop";
      readonly job: number;
      readonly task: number;
      readonly attempt: number;
      readonly graceS: number;
    }
  | { readonly op: "forget"; readonly job: number; readonly task: number; readonly attempt: number };

export interface ListedMachine {
  readonly name: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly phase: "booting" | "running" | "failed";
  readonly ageS: number;
}

/* ---- the state service ---- */

export type StateChange =
  | { readonly put: string; readonly value: unknown; readonly grant?: number }
  | { readonly remove: string };
export interface StateCondition {
  readonly key: string;
  readonly version: number;
}
export interface StateItem {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

export type StateCall =
  | {
      readonly t: "txn";
      readonly conditions: readonly StateCondition[];
      readonly changes: readonly StateChange[];
    }
  | { readonly t: "get"; readonly key: string }
  | { readonly t: "list"; readonly prefix: string; readonly after: string | null }
  | { readonly t: "grant"; readonly lifeMs: number }
  | { readonly t: "renew"; readonly grant: number }
  | { readonly t: "drop"; readonly grant: number }
  | { readonly t: "follow"; readonly prefix: string; readonly after: number; readonly waitMs: number };

export type StateEvent =
  | { readonly t: "put"; readonly item: StateItem }
  | { readonly t: "removed"; readonly key: string; readonly version: number };

export type StateAnswer =
  | { readonly t: "ok"; readonly revision: number }
  | { readonly t: "conflict"; readonly failed: readonly string[] }
  | { readonly t: "item"; readonly item: StateItem }
  | { readonly t: "absent" }
  | {
      readonly t: "page";
      readonly items: readonly StateItem[];
      readonly more: boolean;
      readonly revision: number;
    }
  | { readonly t: "granted"; readonly grant: number }
  | { readonly t: "events"; readonly events: readonly StateEvent[]; readonly revision: number }
  | { readonly t: "compacted" }
  /** The call was not executed and may be repeated. */
  | { readonly t: "refused"; readonly why: string }
  /** The same, for the rate of calls or changes: to be repeated more slowly. */
  | { readonly t: "throttled" }
  /** The call was not executed and must not be repeated as it is: malformed, or beyond a limit. */
  | { readonly t: "invalid"; readonly why: string }
  /** Nothing came back: it may have been, or may yet be, executed. */
  | { readonly t: "silent" };

/* ---- the cloud ---- */

export type CloudCall =
  | { readonly t: "types" }
  | {
      readonly t: "hire";
      readonly request: string;
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
      readonly count: number;
    }
  | { readonly t: "release"; readonly machines: readonly string[] }
  | { readonly t: "list"; readonly after: string | null };

export type CloudAnswer =
  | { readonly t: "types"; readonly types: readonly MachineType[] }
  | { readonly t: "hired"; readonly machines: readonly string[] }
  | { readonly t: "no_capacity" }
  | { readonly t: "released" }
  | { readonly t: "page"; readonly machines: readonly ListedMachine[]; readonly more: boolean }
  | { readonly t: "refused"; readonly why: string }
  | { readonly t: "silent" };

/* ---- users ---- */

export type Phase = "queued" | "running" | "done" | "cancelled";
export interface JobView {
  readonly uid: string;
  readonly phase: Phase;
  readonly done: number;
  readonly running: number;
  /** The unfinished jobs among those that it names; absent where there are none. */
  readonly awaits?: readonly string[];
}
export type UserAnswer =
  | { readonly t: "accepted"; readonly known: boolean; readonly view: JobView }
  | { readonly t: "view"; readonly view: JobView }
  | { readonly t: "unknown" }
  | { readonly t: "never"; readonly error: string }
  | { readonly t: "malformed"; readonly error: string }
  | { readonly t: "later"; readonly error: string; readonly afterS: number }
  /** Its team has more than its share on the way: to come back after so many seconds. */
  | { readonly t: "overloaded"; readonly error: string; readonly afterS: number };

/* ---- peers ---- */

/** A worker's report as a follower passes it on, and the leader's answer to it, under the follower's id. */
export interface PassedReport {
  readonly id: number;
  readonly body: unknown;
}
export interface PassedAnswer {
  readonly id: number;
  readonly status: number;
  readonly body: unknown;
}

export type PeerMessage =
  | {
      readonly t: "beat";
      readonly token: number;
      readonly leader: string | null;
      readonly stateOk: boolean;
      readonly workersHeard: number;
      /** The protocol that the sender speaks; absent in the version before the first that has one. */
      readonly protocol?: number | undefined;
      /** Whether the sender could lead from its cache of the records; absent where the standby is not switched on. */
      readonly standby?: "cold" | "warm" | undefined;
      /** Absent where fair admission is not switched on. */
      readonly admission?: AdmissionNote | undefined;
    }
  | { readonly t: "job"; readonly item: StateItem }
  | { readonly t: "progress"; readonly rows: readonly (readonly [string, number, number])[] }
  | { readonly t: "reports"; readonly list: readonly PassedReport[] }
  | { readonly t: "reportAnswers"; readonly list: readonly PassedAnswer[] };

export type ReportAnswer =
  | { readonly t: "orders"; readonly token: number; readonly orders: readonly Order[] }
  | { readonly t: "elsewhere"; readonly node: string | null }
  | { readonly t: "later" };

/* ---- inputs and outputs of the core ---- */

export type Command =
  | { readonly t: "tick" }
  | { readonly t: "submit"; readonly req: number; readonly uid: string; readonly spec: JobSpec | string }
  | { readonly t: "poll"; readonly req: number; readonly uid: string }
  | { readonly t: "cancel"; readonly req: number; readonly uid: string }
  | { readonly t: "admin"; readonly req: number; readonly ask: AdminAsk }
  | { readonly t: "report"; readonly req: number; readonly report: Report; readonly raw: unknown }
  | { readonly t: "doDone"; readonly id: number; readonly report: Report | null; readonly executed: boolean }
  | { readonly t: "state"; readonly id: number; readonly answer: StateAnswer }
  | { readonly t: "cloud"; readonly id: number; readonly answer: CloudAnswer }
  | { readonly t: "peer"; readonly from: string; readonly message: PeerMessage }
  | { readonly t: "peerReport"; readonly from: string; readonly id: number; readonly report: Report }
  | { readonly t: "peerLink"; readonly node: string; readonly up: boolean };

export type AdminAsk =
  | { readonly t: "settings" }
  | { readonly t: "change"; readonly values: Record<string, unknown> }
  | { readonly t: "machine"; readonly name: string; readonly mode: "open" | "cordon" | "drain" }
  | { readonly t: "status" };

export type AdminAnswer =
  | { readonly t: "ok"; readonly body: Record<string, unknown> }
  | { readonly t: "bad"; readonly error: string }
  | { readonly t: "missing"; readonly error: string }
  | { readonly t: "later"; readonly error: string };

export type LogLevel = "error" | "info" | "debug";

export type Effect =
  | { readonly t: "answer"; readonly req: number; readonly answer: UserAnswer }
  | { readonly t: "adminAnswer"; readonly req: number; readonly answer: AdminAnswer }
  | { readonly t: "reportAnswer"; readonly req: number; readonly answer: ReportAnswer }
  | {
      readonly t: "peerReportAnswer";
      readonly to: string;
      readonly id: number;
      readonly answer: ReportAnswer;
    }
  | { readonly t: "relay"; readonly req: number; readonly to: string; readonly raw: unknown }
  | {
      readonly t: "do";
      readonly id: number;
      readonly machine: number;
      readonly address: string;
      readonly token: number;
      readonly session: number;
      readonly orders: readonly Order[];
    }
  | { readonly t: "state"; readonly id: number; readonly call: StateCall; readonly timeoutMs: number }
  | { readonly t: "cloud"; readonly id: number; readonly call: CloudCall }
  | { readonly t: "peerSend"; readonly to: string; readonly message: PeerMessage }
  | {
      readonly t: "log";
      readonly level: LogLevel;
      readonly text: string;
      readonly data: Record<string, unknown>;
    };
