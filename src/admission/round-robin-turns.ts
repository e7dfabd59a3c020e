/** The properties of a job that round-robin turns depend on. */
export interface WaitingJob {
  readonly spec: { readonly team: string; readonly jobClass: string };
  /** When the job joined its class queue, by the same clock as the `now` parameters of {@link RoundRobinTurns}. */
  readonly queuedSince: number;
}

/**
 * Round-robin turns between class queues. All jobs of one class of one team form a class queue. If a class queue has
 * waiting jobs and none of its tasks has started for some time, it gets a turn: its oldest job goes before all jobs
 * without a turn, whatever its size. This bounds the work that can delay a class queue's next task: the tasks that
 * start within that time, and then one job of each other class queue.
 */
export class RoundRobinTurns {
  /** Time of the last task start in each class queue. */
  readonly #lastStartAt = new Map<string, number>();

  /** Records that a task of the job has started, or that a new leader has found it running. */
  onStarted(job: WaitingJob, now: number): void {
    const queue = queueOf(job);
    this.#lastStartAt.set(queue, Math.max(now, this.#lastStartAt.get(queue) ?? Number.NEGATIVE_INFINITY));
  }

  /**
   * Restores the turns at a new leader from the jobs with started tasks. Start times are not stored, so the time when
   * the job was queued is used instead. It is never later than the start, so after a failover a turn may come early,
   * but never late.
   */
  restore(startedJobs: Iterable<WaitingJob>): void {
    for (const job of startedJobs) this.onStarted(job, job.queuedSince);
  }

  /**
   * Returns the position of each job in its class queue; the oldest has position 0. Jobs are served in order of
   * position, one from each class queue at a time.
   */
  classQueuePositions<J extends WaitingJob>(waiting: readonly J[]): Map<J, number> {
    const lengths = new Map<string, number>();
    const positions = new Map<J, number>();
    for (const job of [...waiting].sort((a, b) => a.queuedSince - b.queuedSince)) {
      const queue = queueOf(job);
      const position = lengths.get(queue) ?? 0;
      positions.set(job, position);
      lengths.set(queue, position + 1);
    }
    return positions;
  }

  /** Returns the jobs that have a turn: the oldest of each class queue without a task start for at least `afterMs`. */
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

  /** Returns the longest wait without a task start of the team's class queues; 0 if no job is waiting. */
  longestWaitMs(team: string, waiting: readonly WaitingJob[], now: number): number {
    let longestMs = 0;
    for (const job of waiting) {
      if (job.spec.team === team) longestMs = Math.max(longestMs, this.#waitMs(job, now));
    }
    return longestMs;
  }

  /** Returns how long a job has waited without a task start in its class queue. */
  #waitMs(job: WaitingJob, now: number): number {
    return now - Math.max(job.queuedSince, this.#lastStartAt.get(queueOf(job)) ?? Number.NEGATIVE_INFINITY);
  }
}

function queueOf({ spec: { team, jobClass } }: WaitingJob): string {
  return `${team}\n${jobClass}`;
}
