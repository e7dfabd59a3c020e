/** One run of a task on a machine. */
export interface TaskRun {
  readonly machine: string;
  readonly attempt: number;
  readonly startMs: number;
  /** Null while the task runs. */
  endMs: number | null;
}

/** Two runs of a task that overlap in time on different machines. */
export interface DuplicateRun {
  readonly task: string;
  readonly runs: readonly [TaskRun, TaskRun];
}

/** The history of all task runs on the fake agents, with a check for duplicated placements. */
export class RunHistory {
  readonly #runs = new Map<string, TaskRun[]>();
  /** Number of runs started. */
  startCount = 0;

  /** Records the start of a run. */
  recordStart(task: string, run: TaskRun): void {
    this.startCount++;
    const runs = this.#runs.get(task);
    if (runs) runs.push(run);
    else this.#runs.set(task, [run]);
  }

  /** Returns pairs of consecutive runs of a task that overlap on different machines. */
  findDuplicates(): DuplicateRun[] {
    const found: DuplicateRun[] = [];
    for (const [task, runs] of this.#runs) {
      const sorted = [...runs].sort((a, b) => a.startMs - b.startMs);
      for (const [i, run] of sorted.entries()) {
        const next = sorted[i + 1];
        if (next && next.machine !== run.machine && (run.endMs === null || run.endMs > next.startMs))
          found.push({ task, runs: [run, next] });
      }
    }
    return found;
  }
}
