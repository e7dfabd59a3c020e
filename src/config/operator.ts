import * as v from "valibot";

/**
 * Settings that operators change at run time, with defaults and bounds. They are stored in the key-value store and
 * change only through the administration API.
 */

const number = (min: number, max: number) => v.pipe(v.number(), v.finite(), v.minValue(min), v.maxValue(max));
const integer = (min: number, max: number) => v.pipe(number(min, max), v.integer());

/** Design limit of a leader (docs/DESIGN.md, "Bounds"); the previous version does not accept more. */
const MAX_MACHINES = 10_000;

/** Schema of the stored settings. Unknown names are errors, so that misspelled ones are not ignored. */
export const operatorSchema = v.strictObject({
  /**
   * A machine is underutilized while its allocated CPU share is below `move_low`. Replicas migrate only to machines
   * whose share stays below `move_high`.
   */
  move_low: v.optional(number(0, 1), 0.3),
  move_high: v.optional(number(0, 1), 0.8),
  /**
   * Minimum interval between replica migrations, how long a machine must have been underutilized before one, and how
   * long the old copy of the replica drains.
   */
  move_round_s: v.optional(number(1, 3600), 30),
  move_window_s: v.optional(number(0, 600), 10),
  move_drain_s: v.optional(number(0, 600), 30),
  /** TTL of the leader lease. */
  leader_grant_ms: v.optional(integer(1000, 60_000), 3000),
  /** How long a leader that cannot reach the key-value store continues to reply to heartbeats. */
  hold_s: v.optional(number(0, 600), 30),
  /** Time budget of one scheduling round. */
  round_budget_ms: v.optional(number(1, 1000), 20),
  /** Maximum number of provisioned machines. */
  max_machines: v.optional(integer(0, MAX_MACHINES), MAX_MACHINES),
  /** Time after which an empty machine is terminated. */
  idle_s: v.optional(number(5, 86_400), 40),
  /**
   * Time window over which GPU jobs are counted, and the headroom in standard deviations of the number of machines that
   * jobs arriving during the startup of a machine are expected to need.
   */
  spare_window_s: v.optional(number(1, 3600), 120),
  spare_factor: v.optional(number(0, 10), 1.5),
  /** Jobs without GPUs may provision GPU machines at up to this multiple of their cost on machines without GPUs. */
  dear_factor: v.optional(number(1, 1000), 6),
  /** A machine that is not up after this multiple of its type's boot time is terminated. */
  boot_factor: v.optional(number(1.5, 100), 4),
  /** Interval at which the fencing token is raised so that ended attempts can be acknowledged. */
  token_raise_s: v.optional(number(5, 3600), 30),
  /** Jobs per second that all nodes together accept; 0 derives the rate from the key-value store's write rate. */
  admission_rate: v.optional(number(0, 10_000), 0),
  /** Limit on unfinished jobs of all teams; at the limit no new jobs are accepted. */
  admission_open_jobs: v.optional(integer(1, 1_000_000), 20_000),
  /** Weight of each team in admission, by team name; defaults to the guaranteed CPUs of the team. */
  admission_weights: v.optional(v.record(v.string(), number(0, 1_000_000)), {}),
  /** After this time without a task start in a class queue (a team's jobs of one class), its oldest job goes first. */
  admission_turn_s: v.optional(number(5, 160), 60),
});

/** The operator settings, by their stored names. */
export type OperatorSettings = v.InferOutput<typeof operatorSchema>;

/** The default settings. */
export const defaultOperatorSettings: OperatorSettings = v.parse(operatorSchema, {});

/** The settings after a change, or an error that names the invalid setting. */
export type OperatorSettingsResult =
  | { readonly ok: true; readonly settings: OperatorSettings }
  | { readonly ok: false; readonly error: string };

/** Applies a change to the current settings. */
export function changeOperatorSettings(
  current: OperatorSettings,
  change: Record<string, unknown>,
): OperatorSettingsResult {
  const result = v.safeParse(operatorSchema, { ...current, ...change });
  if (!result.success) {
    const issue = result.issues[0];
    return { ok: false, error: `${v.getDotPath(issue) ?? "settings"}: ${issue.message}` };
  }
  if (result.output.move_low >= result.output.move_high) {
    return { ok: false, error: "move_low: must be below move_high" };
  }
  return { ok: true, settings: result.output };
}

/** Reads stored settings, ignoring any that are unknown or out of bounds, as another version may have written them. */
export function readOperatorSettings(stored: unknown): OperatorSettings {
  if (typeof stored !== "object" || stored === null) return defaultOperatorSettings;
  let settings = defaultOperatorSettings;
  for (const [name, value] of Object.entries(stored)) {
    const change = changeOperatorSettings(settings, { [name]: value });
    if (change.ok) settings = change.settings;
  }
  return settings;
}
