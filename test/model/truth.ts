import type { Heartbeat } from "../../src/core/messages/agents.js";
import type { MachineType } from "../../src/core/model/deployment.js";
import type { JobSpec, TaskState } from "../../src/core/model/job-spec.js";

/** What the model world knows of workers and jobs: the truth that the service is checked against. */

export interface WorkerTask {
  readonly uid: string;
  readonly task: number;
  readonly attempt: number;
  state: TaskState;
  cause: Heartbeat["tasks"][number]["exitReason"];
  saved: boolean;
  until: number;
}

export interface Worker {
  readonly name: string;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly hiredAt: number;
  upAt: number;
  alive: boolean;
  hungUntil: number;
  cutUntil: number;
  deafUntil: number;
  /** Its reports reach no node, while direct commands reach it. */
  muteUntil: number;
  session: number;
  sequence: number;
  token: number;
  tasks: WorkerTask[];
  /** When the last answered report was sent, or the session began. */
  leaseFrom: number;
  node: number;
  nextReport: number;
  inFlight: number;
  noticeAt: number | null;
  images: Set<string>;
}

export interface Job {
  readonly spec: JobSpec;
  acceptedAt: number | null;
  cancelAsked: boolean;
  cancelledAt: number | null;
  toldDone: boolean;
  /** When a question about it was last answered. */
  answeredAt: number;
  readonly done: Set<number>;
  finishedAt: number | null;
  /** Since when tasks of it wait though there is a place for them; null while there is none. */
  leftSince: number | null;
}
