/** The phases of a failover, in order. Status and metrics use these names. */
export const PHASES = ["leaderGone", "elected", "confirmed", "ready", "firstAnswer", "firstStart"] as const;

/** One of the {@link PHASES}. */
export type Phase = (typeof PHASES)[number];

/** When this node reached each phase of its last failover. */
export class FailoverTimeline {
  readonly #reachedAt = new Map<Phase, number>();
  /** Whether the records of the term came from the cache (warm) or from the store (cold). */
  source: "cold" | "warm" | null = null;
  /** Why the cache was not used; null if it was. */
  coldReason: string | null = null;

  /** Starts a new timeline when the previous leader's key has been removed. */
  begin(now: number): void {
    this.#reachedAt.clear();
    this.source = null;
    this.coldReason = null;
    this.#reachedAt.set("leaderGone", now);
  }

  /** Records when a phase is reached; later calls for the same phase have no effect. */
  markReached(phase: Phase, now: number): void {
    if (!this.#reachedAt.has(phase)) this.#reachedAt.set(phase, now);
  }

  /** True once the last two phases have been reached. */
  get isOver(): boolean {
    return this.#reachedAt.has("firstStart") && this.#reachedAt.has("firstAnswer");
  }

  /**
   * The phases reached so far, each with the milliseconds since the previous leader's key was removed, or since the
   * election if this node did not see the removal.
   */
  phases(): [Phase, number][] {
    const beginAt = this.#reachedAt.get("leaderGone") ?? this.#reachedAt.get("elected");
    if (beginAt === undefined) return [];
    return PHASES.flatMap((phase): [Phase, number][] => {
      const at = this.#reachedAt.get(phase);
      return at === undefined ? [] : [[phase, Math.round(at - beginAt)]];
    });
  }

  /** The failover section of the node's status. */
  report(): Record<string, unknown> {
    const durations = this.phases().map(([phase, durationMs]) => [`${phase}_ms`, durationMs] as const);
    if (durations.length === 0) return {};
    return { source: this.source, why: this.coldReason, ...Object.fromEntries(durations) };
  }
}
