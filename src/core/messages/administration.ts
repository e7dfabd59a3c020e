import type { MachineMode } from "../model/machine.js";

/** A request from an operator. */
export type AdminRequest =
  | { readonly kind: "getSettings" }
  | { readonly kind: "changeSettings"; readonly values: Record<string, unknown> }
  | { readonly kind: "setMachineMode"; readonly name: string; readonly mode: MachineMode }
  | { readonly kind: "getStatus" };

/** The response to an operator's request. */
export type AdminResponse =
  | { readonly kind: "ok"; readonly body: Record<string, unknown> }
  | { readonly kind: "invalid"; readonly error: string }
  | { readonly kind: "unavailable"; readonly error: string };
