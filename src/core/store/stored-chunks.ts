import type { StoreEntry } from "../messages/store.js";
import { type ChunkRecord, MAX_TASKS_PER_CHUNK, readChunk, readChunkKey, type TaskRange } from "./records.js";

export interface StoredPlacement {
  readonly task: number;
  readonly machine: string;
  readonly session: number;
  readonly attempt: number;
}

/** A record of a job's placements, without what a newer one has overtaken. */
export interface StoredChunk {
  readonly key: string;
  readonly version: number;
  /** How many tasks it covers. */
  readonly count: number;
  readonly done: readonly number[];
  readonly placed: readonly StoredPlacement[];
}

interface Parsed {
  readonly key: string;
  readonly uid: string;
  readonly version: number;
  readonly range: TaskRange;
  readonly record: ChunkRecord;
}

/** The tasks of a job that records read so far cover, by the size of these. */
class Coverage {
  /** The first tasks of the records of each size: those of one size never overlap. */
  readonly #firsts = new Map<number, Set<number>>();

  /** Adds a record; tells of each of its tasks whether none added before it covers it. */
  add({ first, count }: TaskRange): (task: number) => boolean {
    const others = [...this.#firsts].filter(([size]) => size !== count);
    const same = this.#firsts.get(count);
    if (same) same.add(first);
    else this.#firsts.set(count, new Set([first]));
    return (task) => !others.some(([size, firsts]) => firsts.has(task - (task % size)));
  }
}

export interface StoredChunks {
  readonly found: ReadonlyMap<string, readonly StoredChunk[]>;
  readonly unreadable: readonly { readonly key: string; readonly uid: string }[];
}

/** A record of the largest size loses to any smaller one; among the others the newest is first. */
function byWeight(a: Parsed, b: Parsed): number {
  const largest = ({ range }: Parsed) => Number(range.count === MAX_TASKS_PER_CHUNK);
  return largest(a) - largest(b) || b.version - a.version;
}

/**
 * Reads the records of placements, by job. Where records of different sizes cover the same task, as they do after the
 * limits of the state service have fallen, a smaller one is right, whole as it was written: the version does not tell, as
 * a leader's transaction from before the fall may be carried out after its later ones, under a key that these leave alone.
 * Of smaller ones the newest is right: their size changes only with the leader, whose late transactions fail.
 */
export function readChunks(items: readonly StoreEntry[]): StoredChunks {
  const found = new Map<string, StoredChunk[]>();
  const unreadable: { key: string; uid: string }[] = [];
  const covered = new Map<string, Coverage>();
  const parsed: Parsed[] = [];
  for (const { key, value, version } of items) {
    const name = readChunkKey(key);
    const record = readChunk(value);
    if (name && record) parsed.push({ key, version, ...name, record });
    else unreadable.push({ key, uid: name?.uid ?? key.split("/")[1] ?? "" });
  }
  for (const { key, version, uid, range, record } of parsed.sort(byWeight)) {
    const newer = covered.get(uid) ?? new Coverage();
    covered.set(uid, newer);
    const isNewest = newer.add(range);
    const done: number[] = [];
    for (const [first, last] of record.done)
      for (let task = first; task <= last; task++) if (isNewest(task)) done.push(task);
    const placed = record.held
      .map(([task, machine, session, attempt]) => ({ task, machine, session, attempt }))
      .filter(({ task }) => isNewest(task));
    const list = found.get(uid);
    const chunk = { key, version, count: range.count, done, placed };
    if (list) list.push(chunk);
    else found.set(uid, [chunk]);
  }
  return { found, unreadable };
}
