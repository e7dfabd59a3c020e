/** The steps of a takeover, in their order. */
export const PHASES = ["leaderGone", "elected", "confirmed", "ready", "firstAnswer", "firstStart"] as const;
export type Phase = (typeof PHASES)[number];

/** When each step of this node's last takeover came. */
export class Takeover {
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

  /** Milliseconds from the end of the former leader's key to each step. */
  report(): Record<string, unknown> {
    const begin = this.#at.get("leaderGone") ?? this.#at.get("elected");
    if (begin === undefined) return {};
    const steps = PHASES.flatMap((phase) => {
      const at = this.#at.get(phase);
      return at === undefined ? [] : [[`${phase}_ms`, Math.round(at - begin)] as const];
    });
    return { source: this.source, why: this.why, ...Object.fromEntries(steps) };
  }
}
