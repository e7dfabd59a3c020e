/** What round-robin turns depend on in a job. */
export interface WaitingJob {
  readonly spec: { readonly team: string; readonly jobClass: string };
  /** When it joined its queue, by the same clock as the other times here. */
  readonly queuedSince: number;
}

/**
 * Round-robin turns between queues. The jobs of one class of one team form a queue. A queue with waiting jobs of which no
 * task has started for some time has a turn: its oldest job goes before all that have none, whatever its size. This bounds
 * what others can put in front of a queue's next task: what they start within that time, and then one job of each other
 * queue.
 */
export class RoundRobinTurns {
  /** When a task of each queue last started. */
  readonly #lastStartAt = new Map<string, number>();

  /** A task of the job has started, or was found running by a new leader. */
  onStarted(job: WaitingJob, now: number): void {
    const queue = queueOf(job);
    this.#lastStartAt.set(queue, Math.max(now, this.#lastStartAt.get(queue) ?? Number.NEGATIVE_INFINITY));
  }

  /**
   * Restores the turns of a new leader from the jobs with tasks that have started. When they started is not on record, but
   * it was not before they were accepted, so a turn may come early after a change of leader, never late.
   */
  restore(begun: Iterable<WaitingJob>): void {
    for (const job of begun) this.onStarted(job, job.queuedSince);
  }

  /** Each job's place in its queue, the oldest first, from 0. Jobs are taken by place, one of each queue after the other. */
  places<J extends WaitingJob>(waiting: readonly J[]): Map<J, number> {
    const lengths = new Map<string, number>();
    const places = new Map<J, number>();
    for (const job of [...waiting].sort((a, b) => a.queuedSince - b.queuedSince)) {
      const queue = queueOf(job);
      const place = lengths.get(queue) ?? 0;
      places.set(job, place);
      lengths.set(queue, place + 1);
    }
    return places;
  }

  /** The jobs that have a turn: the oldest of each queue of which nothing has started for at least `afterMs`. */
  due<J extends WaitingJob>(waiting: readonly J[], afterMs: number, now: number): Set<J> {
    const oldest = new Map<string, J>();
    for (const job of waiting) {
      const queue = queueOf(job);
      const first = oldest.get(queue);
      if (!first || job.queuedSince < first.queuedSince) oldest.set(queue, job);
    }
    const due = new Set<J>();
    for (const job of oldest.values()) if (this.#waitMs(job, now) >= afterMs) due.add(job);
    return due;
  }

  /** The longest time in milliseconds that a queue of the team has waited with nothing starting; 0 if nothing waits. */
  longestWaitMs(team: string, waiting: readonly WaitingJob[], now: number): number {
    let longestMs = 0;
    for (const job of waiting) {
      if (job.spec.team === team) longestMs = Math.max(longestMs, this.#waitMs(job, now));
    }
    return longestMs;
  }

  /** How long a job has waited with nothing of its queue starting. */
  #waitMs(job: WaitingJob, now: number): number {
    return now - Math.max(job.queuedSince, this.#lastStartAt.get(queueOf(job)) ?? Number.NEGATIVE_INFINITY);
  }
}

function queueOf({ spec: { team, jobClass } }: WaitingJob): string {
  return `${team}\n${jobClass}`;
}
