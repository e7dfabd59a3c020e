import type { MachineType } from "../model/deployment.js";

/** Requests to the cloud provider and their responses. */

/** A machine as listed by the cloud. */
export interface CloudMachine {
  readonly name: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly phase: "booting" | "running" | "failed";
  readonly ageS: number;
}

/** A request to the cloud. */
export type CloudRequest =
  | { readonly kind: "listTypes" }
  | {
      readonly kind: "create";
      /** Makes the request idempotent: a repeated request with the same id creates no further machines. */
      readonly requestId: string;
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
      readonly count: number;
    }
  | { readonly kind: "delete"; readonly machines: readonly string[] }
  | { readonly kind: "list"; readonly after: string | null };

/** The outcome of a request to the cloud. */
export type CloudResponse =
  | { readonly kind: "types"; readonly machineTypes: readonly MachineType[] }
  | { readonly kind: "created"; readonly machines: readonly string[] }
  | { readonly kind: "noCapacity" }
  | { readonly kind: "deleted" }
  | { readonly kind: "page"; readonly machines: readonly CloudMachine[]; readonly more: boolean }
  /** Refused for exceeding the request rate; not executed. */
  | { readonly kind: "throttled" }
  /** The cloud takes no requests; not executed. */
  | { readonly kind: "unavailable"; readonly reason: string }
  /** This request is refused whenever it is sent. */
  | { readonly kind: "rejected"; readonly reason: string }
  | { readonly kind: "timeout" };
