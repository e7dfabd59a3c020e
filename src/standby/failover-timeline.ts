/** The steps of a takeover, in their order. */
export const PHASES = ["leaderGone", "elected", "confirmed", "ready", "firstAnswer", "firstStart"] as const;
export type Phase = (typeof PHASES)[number];

/** When each step of this node's last takeover came. */
export class FailoverTimeline {
  readonly #at = new Map<Phase, number>();
  /** Where the records came from. */
  source: "cold" | "warm" | null = null;
  /** Why a cache was not used, where there was one. */
  why: string | null = null;

  /** Begins anew: the key of the leader before is gone. */
  begin(now: number): void {
    this.#at.clear();
    this.source = null;
    this.why = null;
    this.#at.set("leaderGone", now);
  }

  /** Notes a step, once. */
  note(phase: Phase, now: number): void {
    if (!this.#at.has(phase)) this.#at.set(phase, now);
  }

  get isOver(): boolean {
    return this.#at.has("firstStart") && this.#at.has("firstAnswer");
  }

  /** Milliseconds from the end of the former leader's key to each step that has come. */
  phases(): [Phase, number][] {
    const begin = this.#at.get("leaderGone") ?? this.#at.get("elected");
    if (begin === undefined) return [];
    return PHASES.flatMap((phase): [Phase, number][] => {
      const at = this.#at.get(phase);
      return at === undefined ? [] : [[phase, Math.round(at - begin)]];
    });
  }

  /** For the status. */
  report(): Record<string, unknown> {
    const steps = this.phases().map(([phase, ms]) => [`${phase}_ms`, ms] as const);
    if (steps.length === 0) return {};
    return { source: this.source, why: this.why, ...Object.fromEntries(steps) };
  }
}
