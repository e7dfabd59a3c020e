import type { Resources } from "./resources.js";

/** Limits of the key-value store. */
export interface StoreLimits {
  /** Maximum requests and writes per second. */
  readonly rps: number;
  readonly writeRps: number;
  readonly valueBytes: number;
  /** Maximum number of changes in a transaction. */
  readonly txnOps: number;
}

/** A team with its quota. */
export interface Team {
  readonly name: string;
  /** The guaranteed quota, which is served before other teams exceed theirs. */
  readonly guarantee: Resources;
  /** The quota limit: the maximum total usage of its tasks; 0 allows none. */
  readonly limit: Resources;
}

/** A machine type of the cloud's catalog. Stored in this form, so no field may be renamed. */
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

/** A service-level objective for the jobs of a class. Fields that do not apply are null. */
export interface Objective {
  readonly kind: string;
  readonly jobClass: string | null;
  readonly withinS: number | null;
  readonly share: number | null;
}

/** The deployment described by the platform's settings file. Durations are in seconds. */
export interface Deployment {
  /** This node's name. */
  readonly node: string;
  /** The names of the other controller nodes. */
  readonly peers: readonly string[];
  readonly zones: readonly string[];
  readonly teams: readonly Team[];
  readonly objectives: readonly Objective[];
  readonly heartbeatIntervalS: number;
  /** Duration of an agent lease: without a reply for this long, an agent terminates its tasks. */
  readonly leaseS: number;
  /** How long a task of a gang waits for the other tasks to become ready. */
  readonly gangWaitS: number;
  /** Maximum time for the tasks of a running gang to detect that one of them has disappeared. */
  readonly gangPeerS: number;
  /** How long after a confirmed cancellation a task of the job may still run. */
  readonly cancelS: number;
  readonly storeRps: number;
  readonly storeWriteRps: number;
  readonly valueBytes: number;
  readonly txnOps: number;
  /** Limits that will apply to the key-value store from an unspecified time on. */
  readonly nextStoreLimits?: StoreLimits | null;
  /** Maximum requests to the cloud per second. */
  readonly cloudRps: number;
  /** Typical lag of the cloud's machine list. */
  readonly listLagS: number;
}
