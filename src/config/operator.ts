import * as v from "valibot";

/**
 * The operators' own settings. They live in the state service and change only through the
 * administration API; these are the defaults and the bounds.
 */
const number = (min: number, max: number) => v.pipe(v.number(), v.finite(), v.minValue(min), v.maxValue(max));
const whole = (min: number, max: number) => v.pipe(number(min, max), v.integer());

/** The most machines that a leader is meant for (docs/DESIGN.md, "Bounds"); the version in production reads no more. */
const MOST_MACHINES = 10_000;

export const operatorSchema = v.strictObject({
  move_low: v.optional(number(0, 1), 0.3),
  move_high: v.optional(number(0, 1), 0.8),
  move_round_s: v.optional(number(1, 3600), 30),
  move_window_s: v.optional(number(0, 600), 10),
  move_drain_s: v.optional(number(0, 600), 30),
  leader_grant_ms: v.optional(whole(1000, 60_000), 3000),
  hold_s: v.optional(number(0, 600), 30),
  round_budget_ms: v.optional(number(1, 1000), 20),
  max_machines: v.optional(whole(0, MOST_MACHINES), MOST_MACHINES),
  idle_s: v.optional(number(5, 86_400), 40),
  spare_window_s: v.optional(number(1, 3600), 120),
  spare_factor: v.optional(number(0, 10), 1.5),
  dear_factor: v.optional(number(1, 1000), 6),
  boot_factor: v.optional(number(1.5, 100), 4),
  token_raise_s: v.optional(number(5, 3600), 30),
  /** Jobs accepted a second by all nodes; 0: as many as the state service's changes suffice for. */
  admission_rate: v.optional(number(0, 10_000), 0),
  admission_open_jobs: v.optional(whole(1, 1_000_000), 20_000),
  /** By team; a team that is not named has its guaranteed CPUs as its weight. */
  admission_weights: v.optional(v.record(v.string(), number(0, 1_000_000)), {}),
  admission_turn_s: v.optional(number(5, 160), 60),
});

export type OperatorSettings = v.InferOutput<typeof operatorSchema>;

export const defaultOperator: OperatorSettings = v.parse(operatorSchema, {});

/** Checks a change against the present settings; the message names the setting at fault. */
export function changeOperator(
  present: OperatorSettings,
  change: Record<string, unknown>,
): { ok: true; settings: OperatorSettings } | { ok: false; error: string } {
  const result = v.safeParse(operatorSchema, { ...present, ...change });
  if (!result.success) {
    const issue = result.issues[0];
    return { ok: false, error: `${v.getDotPath(issue) ?? "settings"}: ${issue.message}` };
  }
  if (result.output.move_low >= result.output.move_high) {
    return { ok: false, error: "move_low: must be below move_high" };
  }
  return { ok: true, settings: result.output };
}

/** Reads stored settings; what is unknown or out of bounds (another version wrote it) falls back to its default. */
export function readOperator(stored: unknown): OperatorSettings {
  if (typeof stored !== "object" || stored === null) return defaultOperator;
  let settings = defaultOperator;
  for (const [name, value] of Object.entries(stored)) {
    const next = changeOperator(settings, { [name]: value });
    if (next.ok) settings = next.settings;
  }
  return settings;
}
