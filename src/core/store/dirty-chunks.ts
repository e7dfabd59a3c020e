import type { Job } from "../model/job.js";
import type { Placement } from "../model/placement.js";
import { KEYS, type TaskRange } from "./records.js";

/** Consecutive tasks of a job whose record is yet to be written. */
export interface DirtyChunk {
  readonly job: Job;
  readonly key: string;
  readonly range: TaskRange;
  since: number;
  urgent: boolean;
}

/** What the record of a range of tasks holds. */
export interface ChunkContent {
  /** Task, machine, session, attempt. */
  readonly held: [number, string, number, number][];
  readonly done: number[];
  readonly placements: Placement[];
}

export function contentOf(job: Job, { first, count }: TaskRange): ChunkContent {
  const content: ChunkContent = { held: [], done: [], placements: [] };
  const end = Math.min(job.spec.tasks, first + count);
  for (let task = first; task < end; task++) {
    if (job.isDone(task)) content.done.push(task);
    const placement = job.placements.get(task);
    if (!placement) continue;
    content.placements.push(placement);
    content.held.push([task, placement.machine.name, placement.incarnation, placement.attempt]);
  }
  return content;
}

/** Which records of placements are yet to be written, in chunks of the present size. */
export class DirtyChunks {
  readonly #chunks = new Map<string, DirtyChunk>();
  readonly #wantedTasks: () => number;
  /** Those in the transaction under way: not on record until it is answered. */
  writing: readonly DirtyChunk[] = [];
  /** The size of a chunk, as of the last look. */
  #tasks: number;

  constructor(wantedTasks: () => number) {
    this.#wantedTasks = wantedTasks;
    this.#tasks = wantedTasks();
  }

  get size(): number {
    return this.#chunks.size;
  }

  values(): Iterable<DirtyChunk> {
    return this.#chunks.values();
  }

  has(key: string): boolean {
    return this.#chunks.has(key);
  }

  delete(key: string): void {
    this.#chunks.delete(key);
  }

  /** Nothing of this job is to be written any more. */
  forget(job: Job): void {
    for (const dirty of this.#chunks.values()) if (dirty.job === job) this.#chunks.delete(dirty.key);
  }

  touch(job: Job, task: number, urgent: boolean, since: number): void {
    const range = this.#rangeOf(job, task);
    const key = KEYS.chunk(job.uid, range);
    const dirty = this.#chunks.get(key);
    if (dirty) dirty.urgent ||= urgent;
    else this.#chunks.set(key, { job, key, range, since, urgent });
  }

  isDirty(job: Job, task: number): boolean {
    if (this.#chunks.has(KEYS.chunk(job.uid, this.#rangeOf(job, task)))) return true;
    return this.writing.some(
      ({ job: other, range }) => other === job && task >= range.first && task < range.first + range.count,
    );
  }

  /** A chunk that could not be written is yet to be, in the size of now. */
  putBack(dirty: DirtyChunk): void {
    const newer = this.#chunks.get(dirty.key);
    if (dirty.range.count !== this.#rangeOf(dirty.job, dirty.range.first).count) this.#rechunk(dirty);
    else if (newer) newer.urgent ||= dirty.urgent;
    else this.#chunks.set(dirty.key, dirty);
  }

  /** From the opening of layout 2 on, what is yet to be written goes into chunks of its size. */
  followLayout(): void {
    const wanted = this.#wantedTasks();
    if (wanted === this.#tasks) return;
    this.#tasks = wanted;
    const old = [...this.#chunks.values()];
    this.#chunks.clear();
    for (const dirty of old) this.#rechunk(dirty);
  }

  #rangeOf(job: Job, task: number): TaskRange {
    const count = Math.min(this.#tasks, job.chunkTasks);
    return { first: task - (task % count), count };
  }

  /** Marks all that a chunk of another size covered, in chunks of the present one. */
  #rechunk({ job, range, since, urgent }: DirtyChunk): void {
    const end = Math.min(job.spec.tasks, range.first + range.count);
    for (let task = range.first; task < end; ) {
      this.touch(job, task, urgent, since);
      const { first, count } = this.#rangeOf(job, task);
      task = first + count;
    }
  }
}
