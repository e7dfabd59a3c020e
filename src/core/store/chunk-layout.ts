/** How a job's placements are cut into records (chunks) of consecutive tasks, and how the keys of these name the cut. */

/** The tasks of a chunk in layout 1, and the most in layout 2. */
export const MAX_TASKS_PER_CHUNK = 128;

/** The first layout in which chunks may have any size; in the one before, all have the same. */
const SIZED_CHUNKS_LAYOUT = 2;
/** What one task takes of a chunk's value, with names of ordinary length. */
const BYTES_PER_TASK = 64;

/** Consecutive tasks of a job, whose placements share a record. */
export interface TaskRange {
  readonly first: number;
  readonly count: number;
}

/** How many tasks a chunk covers: in layout 1 always the same; from layout 2 on as many as fit the value limit. */
export function chunkTasks(layout: number, valueBytes: number): number {
  if (layout < SIZED_CHUNKS_LAYOUT) return MAX_TASKS_PER_CHUNK;
  return Math.max(1, Math.min(MAX_TASKS_PER_CHUNK, Math.floor(valueBytes / BYTES_PER_TASK)));
}

/**
 * The key of a chunk. Those of the size of layout 1 are numbered, in layout 2 as well; others name their first task and
 * their size. `first` has to be a multiple of `count`.
 */
export function chunkKey(uid: string, { first, count }: TaskRange): string {
  return count === MAX_TASKS_PER_CHUNK ? `p/${uid}/${first / count}` : `p/${uid}/${first}.${count}`;
}

/** The job and the tasks that a chunk's key names; null if it is no such key. */
export function readChunkKey(key: string): { uid: string; range: TaskRange } | null {
  const match = /^p\/([^/]+)\/(\d+)(?:\.(\d+))?$/.exec(key);
  if (!match) return null;
  const [, uid = "", number = "", count] = match;
  if (count === undefined) {
    return { uid, range: { first: Number(number) * MAX_TASKS_PER_CHUNK, count: MAX_TASKS_PER_CHUNK } };
  }
  const range = { first: Number(number), count: Number(count) };
  return range.count > 0 ? { uid, range } : null;
}

/** Encodes task numbers, ascending, as ranges of first and last. */
export function toRanges(tasks: Iterable<number>): [number, number][] {
  const ranges: [number, number][] = [];
  for (const task of tasks) {
    const last = ranges[ranges.length - 1];
    if (last && last[1] === task - 1) last[1] = task;
    else ranges.push([task, task]);
  }
  return ranges;
}
