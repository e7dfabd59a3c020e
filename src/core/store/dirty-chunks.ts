import type { Job } from "../model/job.js";
import type { Placement } from "../model/placement.js";
import type { TaskRange } from "./chunk-layout.js";
import { KEYS } from "./records.js";

/** Consecutive tasks of a job whose current state has not been written to their placement record yet. */
export interface DirtyChunk {
  readonly job: Job;
  readonly key: string;
  readonly range: TaskRange;
  dirtyAt: number;
  /** True if the chunk contains a start; otherwise its write is deferred, so that several changes share it. */
  urgent: boolean;
}

/** The content of the record of a range of tasks. */
export interface ChunkContent {
  /** Task, machine, incarnation and attempt of each active placement. */
  readonly active: [number, string, number, number][];
  /** Tasks that are done, ascending. */
  readonly done: number[];
  /** The placements listed in `active`. */
  readonly placements: Placement[];
}

/** Collects the current state of a range of a job's tasks. */
export function collectChunkContent(job: Job, { first, count }: TaskRange): ChunkContent {
  const content: ChunkContent = { active: [], done: [], placements: [] };
  const end = Math.min(job.spec.tasks, first + count);
  for (let task = first; task < end; task++) {
    if (job.isDone(task)) content.done.push(task);
    const placement = job.placements.get(task);
    if (!placement) continue;
    content.placements.push(placement);
    content.active.push([task, placement.machine.name, placement.incarnation, placement.attempt]);
  }
  return content;
}

/**
 * Placement records that have not been written yet, in chunks of the size required by the current layout and value
 * limit. The chunk size of a job never increases, because smaller records override larger ones that overlap them.
 */
export class DirtyChunks {
  /** Chunks in the transaction in flight; they do not count as recorded until it is committed (I6). */
  inFlight: readonly DirtyChunk[] = [];
  readonly #chunks = new Map<string, DirtyChunk>();
  readonly #wantedChunkTasks: () => number;
  /** Tasks per chunk as of the last call to `applyLayout`. */
  #chunkTasks: number;

  constructor(wantedChunkTasks: () => number) {
    this.#wantedChunkTasks = wantedChunkTasks;
    this.#chunkTasks = wantedChunkTasks();
  }

  /** Number of dirty chunks, excluding those in flight. */
  get size(): number {
    return this.#chunks.size;
  }

  /** Returns the dirty chunks in the order in which they became dirty. */
  values(): Iterable<DirtyChunk> {
    return this.#chunks.values();
  }

  /** True if the chunk with this key is dirty. */
  has(key: string): boolean {
    return this.#chunks.has(key);
  }

  /** Removes a chunk that is being written or is no longer needed. */
  delete(key: string): void {
    this.#chunks.delete(key);
  }

  /** Removes all chunks of a job. */
  removeJob(job: Job): void {
    for (const chunk of this.#chunks.values()) if (chunk.job === job) this.#chunks.delete(chunk.key);
  }

  /** Marks the chunk of a task as dirty. An already dirty chunk keeps its age; an urgent change makes it urgent. */
  markDirty(job: Job, task: number, urgent: boolean, dirtyAt: number): void {
    const range = this.#rangeOf(job, task);
    const key = KEYS.chunk(job.uid, range);
    const chunk = this.#chunks.get(key);
    if (chunk) chunk.urgent ||= urgent;
    else this.#chunks.set(key, { job, key, range, dirtyAt, urgent });
  }

  /** True while a change to this task is queued or in flight. */
  isDirty(job: Job, task: number): boolean {
    if (this.#chunks.has(KEYS.chunk(job.uid, this.#rangeOf(job, task)))) return true;
    return this.inFlight.some(
      ({ job: other, range }) => other === job && task >= range.first && task < range.first + range.count,
    );
  }

  /** Requeues a chunk of an uncommitted transaction, using the current chunk size. */
  requeue(chunk: DirtyChunk): void {
    const newer = this.#chunks.get(chunk.key);
    if (chunk.range.count !== this.#rangeOf(chunk.job, chunk.range.first).count) this.#rechunk(chunk);
    else if (newer) newer.urgent ||= chunk.urgent;
    else this.#chunks.set(chunk.key, chunk);
  }

  /** Divides the dirty chunks anew if the layout or the value limit requires another chunk size than before. */
  applyLayout(): void {
    const wanted = this.#wantedChunkTasks();
    if (wanted === this.#chunkTasks) return;
    this.#chunkTasks = wanted;
    const previous = [...this.#chunks.values()];
    this.#chunks.clear();
    for (const chunk of previous) this.#rechunk(chunk);
  }

  #rangeOf(job: Job, task: number): TaskRange {
    const count = Math.min(this.#chunkTasks, job.chunkTasks);
    return { first: task - (task % count), count };
  }

  /** Marks every task covered by a chunk of another size as dirty. */
  #rechunk({ job, range, dirtyAt, urgent }: DirtyChunk): void {
    const end = Math.min(job.spec.tasks, range.first + range.count);
    for (let task = range.first; task < end; ) {
      this.markDirty(job, task, urgent, dirtyAt);
      const { first, count } = this.#rangeOf(job, task);
      task = first + count;
    }
  }
}
