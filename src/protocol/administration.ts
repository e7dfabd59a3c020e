import type { MachineMode } from "../core/model/machine.js";

/** Decodes operators' requests. */

/** A settings change, or why its body is malformed. The controller validates the values. */
export type SettingsChange =
  | { readonly ok: true; readonly values: Record<string, unknown> }
  | { readonly ok: false; readonly error: string };

/** A machine mode, or why it is invalid. */
export type MachineModeChange =
  | { readonly ok: true; readonly mode: MachineMode }
  | { readonly ok: false; readonly error: string };

/** Decodes the body of a settings change. */
export function decodeSettingsChange(body: unknown): SettingsChange {
  if (typeof body !== "object" || body === null || Array.isArray(body)) {
    return { ok: false, error: "the body must be a JSON object of settings" };
  }
  return { ok: true, values: { ...body } };
}

/** Decodes the body of a machine mode change. */
export function decodeMachineMode(body: unknown): MachineModeChange {
  const mode = typeof body === "object" && body !== null && "mode" in body ? body.mode : undefined;
  if (mode === "open" || mode === "cordon" || mode === "drain") return { ok: true, mode };
  return { ok: false, error: "mode: must be open, cordon or drain" };
}
