/** One task on one worker, from when it began to when it ended there. */
export interface Stay {
  readonly worker: string;
  readonly attempt: number;
  readonly beginMs: number;
  endMs: number | null;
}

export interface Duplicate {
  readonly piece: string;
  readonly stays: readonly [Stay, Stay];
}

/** Everything that every stand-in worker has run, and a checker over the whole of it. */
export class History {
  readonly #stays = new Map<string, Stay[]>();
  begun = 0;

  begin(piece: string, stay: Stay): void {
    this.begun++;
    const list = this.#stays.get(piece);
    if (list) list.push(stay);
    else this.#stays.set(piece, [stay]);
  }

  first(piece: string): Stay | undefined {
    return this.#stays.get(piece)?.[0];
  }

  /** Pairs of stays of one task that overlap on two workers. */
  duplicates(): Duplicate[] {
    const found: Duplicate[] = [];
    for (const [piece, stays] of this.#stays) {
      const sorted = [...stays].sort((a, b) => a.beginMs - b.beginMs);
      for (const [i, stay] of sorted.entries()) {
        const next = sorted[i + 1];
        if (next && next.worker !== stay.worker && (stay.endMs === null || stay.endMs > next.beginMs))
          found.push({ piece, stays: [stay, next] });
      }
    }
    return found;
  }
}
