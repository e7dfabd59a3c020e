/** One run of a task on one machine, from its start to its end there. */
export interface TaskRun {
  readonly machine: string;
  readonly attempt: number;
  readonly beginMs: number;
  /** Null while the task runs. */
  endMs: number | null;
}

/** Two runs of one task that overlap on two machines. */
export interface DuplicateRun {
  readonly task: string;
  readonly runs: readonly [TaskRun, TaskRun];
}

/** Everything that every stand-in agent has run, and a checker over the whole of it. */
export class RunHistory {
  readonly #runs = new Map<string, TaskRun[]>();
  /** Runs that have begun. */
  begun = 0;

  /** Records the start of a run. */
  begin(task: string, run: TaskRun): void {
    this.begun++;
    const runs = this.#runs.get(task);
    if (runs) runs.push(run);
    else this.#runs.set(task, [run]);
  }

  /** Pairs of runs of one task that overlap on two machines. */
  duplicates(): DuplicateRun[] {
    const found: DuplicateRun[] = [];
    for (const [task, runs] of this.#runs) {
      const sorted = [...runs].sort((a, b) => a.beginMs - b.beginMs);
      for (const [i, run] of sorted.entries()) {
        const next = sorted[i + 1];
        if (next && next.machine !== run.machine && (run.endMs === null || run.endMs > next.beginMs))
          found.push({ task, runs: [run, next] });
      }
    }
    return found;
  }
}
