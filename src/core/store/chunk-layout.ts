/** Divides a job's placements into records (chunks) of consecutive tasks, and maps chunks to keys. */

/** Number of tasks per chunk in layout 1, and the maximum in layout 2. */
export const MAX_TASKS_PER_CHUNK = 128;

/** The first layout with chunks of variable size; layout 1 has a fixed size. */
const SIZED_CHUNKS_LAYOUT = 2;
/** Estimated encoded size of one task in a chunk, for names of typical length. */
const BYTES_PER_TASK = 64;

/** Consecutive tasks of a job whose placements are stored in one record. */
export interface TaskRange {
  readonly first: number;
  readonly count: number;
}

/** Returns the number of tasks per chunk: fixed in layout 1, as many as fit the value limit from layout 2 on. */
export function chunkTasks(layout: number, valueBytes: number): number {
  if (layout < SIZED_CHUNKS_LAYOUT) return MAX_TASKS_PER_CHUNK;
  return Math.max(1, Math.min(MAX_TASKS_PER_CHUNK, Math.floor(valueBytes / BYTES_PER_TASK)));
}

/**
 * Returns the key of a chunk. A chunk of the layout 1 size is numbered, also in layout 2; the key of any other chunk
 * contains its first task and its size. `first` must be a multiple of `count`.
 */
export function chunkKey(uid: string, { first, count }: TaskRange): string {
  return count === MAX_TASKS_PER_CHUNK ? `p/${uid}/${first / count}` : `p/${uid}/${first}.${count}`;
}

/** Parses a chunk key into its job and task range; null if the key is not a chunk key. */
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

/** Encodes ascending task numbers as inclusive ranges of first and last. */
export function toRanges(tasks: Iterable<number>): [number, number][] {
  const ranges: [number, number][] = [];
  for (const task of tasks) {
    const last = ranges[ranges.length - 1];
    if (last && last[1] === task - 1) last[1] = task;
    else ranges.push([task, task]);
  }
  return ranges;
}
