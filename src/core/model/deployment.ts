import type { Resources } from "./resources.js";

/** The limits of the key-value store. */
export interface StoreLimits {
  /** Requests and writes a second. */
  readonly rps: number;
  readonly writeRps: number;
  readonly valueBytes: number;
  /** The size of a transaction. */
  readonly txnOps: number;
}

/** A team with its quota. */
export interface Team {
  readonly name: string;
  /** The guaranteed quota: what the team gets before others go beyond theirs. */
  readonly guarantee: Resources;
  /** The quota limit: the most that its tasks may use together; 0 means none is allowed. */
  readonly limit: Resources;
}

/** A machine type of the cloud's catalogue. It is stored in this form, so no field may be renamed. */
export interface MachineType {
  readonly name: string;
  readonly size: Resources;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly string[];
}

/** A service-level objective of the operators for the jobs of a class; fields that don't apply are null. */
export interface Objective {
  readonly kind: string;
  readonly jobClass: string | null;
  readonly withinS: number | null;
  readonly share: number | null;
}

/** The deployment as the platform's settings file describes it. Durations are in seconds. */
export interface Deployment {
  /** This node's name. */
  readonly node: string;
  /** The names of the other controller nodes. */
  readonly peers: readonly string[];
  readonly zones: readonly string[];
  readonly teams: readonly Team[];
  readonly objectives: readonly Objective[];
  readonly heartbeatIntervalS: number;
  /** How long an agent goes on without a reply before it ends its tasks. */
  readonly leaseS: number;
  /** How long a task of a gang waits for the others to be ready. */
  readonly gangWaitS: number;
  /** Within what time the tasks of a running gang notice that one of them has disappeared. */
  readonly gangPeerS: number;
  /** How long after a confirmed cancellation a task of the job may still run. */
  readonly cancelS: number;
  readonly storeRps: number;
  readonly storeWriteRps: number;
  readonly valueBytes: number;
  readonly txnOps: number;
  /** The limits that the key-value store will have from some moment on. */
  readonly nextStoreLimits?: StoreLimits | null;
  /** Requests to the cloud a second. */
  readonly cloudRps: number;
  /** By how much the cloud's list of machines usually lags. */
  readonly listLagS: number;
}
