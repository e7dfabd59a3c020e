import type { MachineMode } from "../core/model/machine.js";

/** Operators' requests as they come in. */

/** A change of settings, or what is wrong with its form; the values themselves are checked by the controller. */
export type SettingsChange =
  | { readonly ok: true; readonly values: Record<string, unknown> }
  | { readonly ok: false; readonly error: string };

/** A machine's mode, or what is wrong with it. */
export type MachineModeChange =
  | { readonly ok: true; readonly mode: MachineMode }
  | { readonly ok: false; readonly error: string };

/** Reads the body of a change of settings. */
export function decodeSettingsChange(body: unknown): SettingsChange {
  if (typeof body !== "object" || body === null || Array.isArray(body)) {
    return { ok: false, error: "the body must be a JSON object of settings" };
  }
  return { ok: true, values: { ...body } };
}

/** Reads the body of a change of a machine's mode. */
export function decodeMachineMode(body: unknown): MachineModeChange {
  const mode = typeof body === "object" && body !== null && "mode" in body ? body.mode : undefined;
  if (mode === "open" || mode === "cordon" || mode === "drain") return { ok: true, mode };
  return { ok: false, error: "mode: must be open, cordon or drain" };
}
