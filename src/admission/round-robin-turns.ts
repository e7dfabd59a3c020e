/** A job as far as turns go. */
export interface WaitingJob {
  readonly spec: { readonly team: string; readonly jobClass: string };
  /** When it began to wait, by the same clock as the other times here. */
  readonly queuedSince: number;
}

/**
 * Whose turn it is. The jobs of one class of one team are a line; a line of which nothing has begun for some time has a
 * turn: its oldest job goes before all that has none, whatever its size. So what others can put in front of a line's next
 * task is bounded: by what is begun within that time, and then by one job of each other line.
 */
export class RoundRobinTurns {
  /** When something of each line last began. */
  readonly #beganAt = new Map<string, number>();

  /** Something of a line has begun, or was found running by a new leader. */
  began(job: WaitingJob, now: number): void {
    const line = lineOf(job);
    this.#beganAt.set(line, Math.max(now, this.#beganAt.get(line) ?? Number.NEGATIVE_INFINITY));
  }

  /**
   * A new leader does not know when the jobs that it finds begun began: not before they were accepted. So a line's turn may
   * come early after a change of leader, never late.
   */
  restore(begun: Iterable<WaitingJob>): void {
    for (const job of begun) this.began(job, job.queuedSince);
  }

  /** Each job's place in its line, the oldest first: lines go in turns, not in one long row. */
  places<J extends WaitingJob>(waiting: readonly J[]): Map<J, number> {
    const lengths = new Map<string, number>();
    const places = new Map<J, number>();
    for (const job of [...waiting].sort((a, b) => a.queuedSince - b.queuedSince)) {
      const place = lengths.get(lineOf(job)) ?? 0;
      places.set(job, place);
      lengths.set(lineOf(job), place + 1);
    }
    return places;
  }

  /** Of the waiting jobs, those whose turn it is: the oldest of each line of which nothing began for so long. */
  due<J extends WaitingJob>(waiting: readonly J[], afterMs: number, now: number): Set<J> {
    const oldest = new Map<string, J>();
    for (const job of waiting) {
      const line = lineOf(job);
      const first = oldest.get(line);
      if (!first || job.queuedSince < first.queuedSince) oldest.set(line, job);
    }
    const due = new Set<J>();
    for (const job of oldest.values()) if (this.#waitMs(job, now) >= afterMs) due.add(job);
    return due;
  }

  /** How long nothing of a team has begun while some of it waited, in milliseconds; 0 where nothing waits. */
  longestWaitMs(team: string, waiting: readonly WaitingJob[], now: number): number {
    let longest = 0;
    for (const job of waiting) {
      if (job.spec.team === team) longest = Math.max(longest, this.#waitMs(job, now));
    }
    return longest;
  }

  /** For how long a job has waited with nothing of its line beginning. */
  #waitMs(job: WaitingJob, now: number): number {
    return now - Math.max(job.queuedSince, this.#beganAt.get(lineOf(job)) ?? Number.NEGATIVE_INFINITY);
  }
}

function lineOf({ spec: { team, jobClass } }: WaitingJob): string {
  return `${team}\n${jobClass}`;
}
