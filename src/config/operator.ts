import * as v from "valibot";

/**
 * The operators' own settings. They are stored in the key-value store and change only through the administration API;
 * these are the defaults and the bounds.
 */

const number = (min: number, max: number) => v.pipe(v.number(), v.finite(), v.minValue(min), v.maxValue(max));
const whole = (min: number, max: number) => v.pipe(number(min, max), v.integer());

/** The most machines that a leader is meant for (docs/DESIGN.md, "Bounds"); the version in production reads no more. */
const MAX_MACHINES = 10_000;

/** The stored form of the settings. A name that is unknown is an error, so that a mistyped one is not ignored. */
export const operatorSchema = v.strictObject({
  /** A machine is cold while its booked CPU share is below `move_low`; replicas move to where it stays below `move_high`. */
  move_low: v.optional(number(0, 1), 0.3),
  move_high: v.optional(number(0, 1), 0.8),
  /** How often a replica migration may begin, how long a machine must have been cold, how long the old replica drains. */
  move_round_s: v.optional(number(1, 3600), 30),
  move_window_s: v.optional(number(0, 600), 10),
  move_drain_s: v.optional(number(0, 600), 30),
  /** TTL of the leader's lease. */
  leader_grant_ms: v.optional(whole(1000, 60_000), 3000),
  /** How long a leader that can't reach the key-value store goes on replying to heartbeats. */
  hold_s: v.optional(number(0, 600), 30),
  /** Time for one scheduling round. */
  round_budget_ms: v.optional(number(1, 1000), 20),
  /** No more are provisioned. */
  max_machines: v.optional(whole(0, MAX_MACHINES), MAX_MACHINES),
  /** An empty machine is terminated after this. */
  idle_s: v.optional(number(5, 86_400), 40),
  /** Over what time GPU work is counted for the headroom, and how much headroom there is, in standard deviations. */
  spare_window_s: v.optional(number(1, 3600), 120),
  spare_factor: v.optional(number(0, 10), 1.5),
  /** Small work may provision GPU machines up to this multiple of its cost elsewhere. */
  dear_factor: v.optional(number(1, 1000), 6),
  /** A machine is terminated if it is not up after this many times its type's boot time. */
  boot_factor: v.optional(number(1.5, 100), 4),
  /** How often the fencing token is raised, so that ended attempts can be acknowledged. */
  token_raise_s: v.optional(number(5, 3600), 30),
  /** Jobs accepted a second by all nodes; 0: as many as the key-value store's write rate suffices for. */
  admission_rate: v.optional(number(0, 10_000), 0),
  /** Unfinished jobs of all teams up to which new ones are accepted. */
  admission_open_jobs: v.optional(whole(1, 1_000_000), 20_000),
  /** By team; a team that is not named has its guaranteed CPUs as its weight. */
  admission_weights: v.optional(v.record(v.string(), number(0, 1_000_000)), {}),
  /** After this long without a start the oldest job of a class of a team goes first. */
  admission_turn_s: v.optional(number(5, 160), 60),
});

/** The operators' settings, by their stored names. */
export type OperatorSettings = v.InferOutput<typeof operatorSchema>;

/** The settings as long as an operator has changed none. */
export const defaultOperatorSettings: OperatorSettings = v.parse(operatorSchema, {});

/** The settings after a change, or what is wrong with it; the error names the setting at fault. */
export type OperatorSettingsResult =
  | { readonly ok: true; readonly settings: OperatorSettings }
  | { readonly ok: false; readonly error: string };

/** Applies a change to the present settings. */
export function changeOperatorSettings(
  present: OperatorSettings,
  change: Record<string, unknown>,
): OperatorSettingsResult {
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

/** Reads stored settings; one that is unknown or out of bounds (another version wrote it) falls back to its default. */
export function readOperatorSettings(stored: unknown): OperatorSettings {
  if (typeof stored !== "object" || stored === null) return defaultOperatorSettings;
  let settings = defaultOperatorSettings;
  for (const [name, value] of Object.entries(stored)) {
    const change = changeOperatorSettings(settings, { [name]: value });
    if (change.ok) settings = change.settings;
  }
  return settings;
}
