import type { Resources } from "./resources.js";

/** What the key-value store accepts. */
export interface StoreLimits {
  readonly rps: number;
  readonly writeRps: number;
  readonly valueBytes: number;
  readonly txnOps: number;
}

/** A team with its quota. */
export interface Team {
  readonly name: string;
  readonly guarantee: Resources;
  /** 0 means none is allowed. */
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

/** A service-level objective of the operators. */
export interface Objective {
  readonly kind: string;
  readonly jobClass: string | null;
  readonly withinS: number | null;
  readonly share: number | null;
}

/** What the platform's settings file says of the deployment. */
export interface Deployment {
  readonly node: string;
  readonly peers: readonly string[];
  readonly zones: readonly string[];
  readonly teams: readonly Team[];
  readonly objectives: readonly Objective[];
  readonly heartbeatIntervalS: number;
  readonly leaseS: number;
  readonly gangWaitS: number;
  readonly gangPeerS: number;
  readonly cancelS: number;
  readonly storeRps: number;
  readonly storeWriteRps: number;
  readonly valueBytes: number;
  readonly txnOps: number;
  /** The limits that the key-value store will have from some moment on. */
  readonly nextStoreLimits?: StoreLimits | null;
  readonly cloudRps: number;
  readonly listLagS: number;
}
