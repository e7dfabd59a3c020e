/** The phases of a failover, in order. Status and metrics use these names. */
export const FAILOVER_PHASES = [
  "leaderGone",
  "elected",
  "confirmed",
  "ready",
  "firstAnswer",
  "firstStart",
] as const;

/** One of the {@link FAILOVER_PHASES}. */
export type FailoverPhase = (typeof FAILOVER_PHASES)[number];

/** When this node reached each phase of its last failover. */
export class FailoverTimeline {
  readonly #reachedAt = new Map<FailoverPhase, number>();
  /** Whether the records of the term came from the cache (warm) or from the store (cold). */
  source: "cold" | "warm" | null = null;
  /** Why the cache was not used; null if it was. */
  coldReason: string | null = null;

  /** Starts a new timeline when the leader key has been removed. */
  begin(now: number): void {
    this.#reachedAt.clear();
    this.source = null;
    this.coldReason = null;
    this.#reachedAt.set("leaderGone", now);
  }

  /** Records when a phase is reached; later calls for the same phase have no effect. */
  markReached(phase: FailoverPhase, now: number): void {
    if (!this.#reachedAt.has(phase)) this.#reachedAt.set(phase, now);
  }

  /** True once the last two phases have been reached. */
  get isOver(): boolean {
    return this.#reachedAt.has("firstStart") && this.#reachedAt.has("firstAnswer");
  }

  /**
   * Returns the phases reached so far, each with the milliseconds since the leader key was removed, or since the
   * election if this node did not see the removal.
   */
  phases(): [FailoverPhase, number][] {
    const beginAt = this.#reachedAt.get("leaderGone") ?? this.#reachedAt.get("elected");
    if (beginAt === undefined) return [];
    return FAILOVER_PHASES.flatMap((phase): [FailoverPhase, number][] => {
      const at = this.#reachedAt.get(phase);
      return at === undefined ? [] : [[phase, Math.round(at - beginAt)]];
    });
  }

  /** Returns the failover section of the node's status. */
  report(): Record<string, unknown> {
    const durations = this.phases().map(([phase, durationMs]) => [`${phase}_ms`, durationMs] as const);
    if (durations.length === 0) return {};
    return { source: this.source, why: this.coldReason, ...Object.fromEntries(durations) };
  }
}
