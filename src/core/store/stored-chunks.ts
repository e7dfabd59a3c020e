import type { StoreEntry } from "../messages/store.js";
import { MAX_TASKS_PER_CHUNK, readChunkKey, type TaskRange } from "./chunk-layout.js";
import { type ChunkRecord, readChunk } from "./records.js";

/** A placement as it is on record. */
export interface StoredPlacement {
  readonly task: number;
  readonly machine: string;
  readonly incarnation: number;
  readonly attempt: number;
}

/** The record of a chunk of a job's tasks, without the tasks that another record overrides. */
export interface StoredChunk {
  readonly key: string;
  readonly version: number;
  /** How many tasks the record covers, overridden ones included. */
  readonly count: number;
  readonly done: readonly number[];
  readonly placements: readonly StoredPlacement[];
}

/** The chunks on record. */
export interface StoredChunks {
  /** Readable chunks by the uid of their job. */
  readonly byJob: ReadonlyMap<string, readonly StoredChunk[]>;
  /** Records that could not be decoded; the uid is a guess where the key can't be read either. */
  readonly unreadable: readonly { readonly key: string; readonly uid: string }[];
}

interface ParsedChunk {
  readonly key: string;
  readonly uid: string;
  readonly version: number;
  readonly range: TaskRange;
  readonly record: ChunkRecord;
}

/**
 * Which tasks of a job the records added so far cover. The first tasks of the records are kept by their size: records of
 * one size never overlap, so a task is looked up once a size.
 */
class Coverage {
  readonly #firstsByCount = new Map<number, Set<number>>();

  /** Adds a record. Returns a predicate: is this task of it covered by no record that was added before? */
  add({ first, count }: TaskRange): (task: number) => boolean {
    const otherSizes = [...this.#firstsByCount].filter(([otherCount]) => otherCount !== count);
    const firsts = this.#firstsByCount.get(count);
    if (firsts) firsts.add(first);
    else this.#firstsByCount.set(count, new Set([first]));
    return (task) =>
      !otherSizes.some(([otherCount, otherFirsts]) => otherFirsts.has(task - (task % otherCount)));
  }
}

/**
 * Decodes placement records, by job. Records of different sizes may cover the same task after the store's limits have
 * fallen. Then:
 *
 * - A record smaller than the largest size overrides one of the largest size, whatever their versions: a transaction of
 *   the leader from before the fall may be executed after its later ones, as these don't touch the key that it writes.
 * - Of two smaller records the newer one overrides the older: their size changes only with the leader, and a late
 *   transaction of a previous leader fails (I5).
 */
export function readChunks(entries: readonly StoreEntry[]): StoredChunks {
  const { parsed, unreadable } = parseAll(entries);
  const chunksByJob = new Map<string, StoredChunk[]>();
  const coverageByJob = new Map<string, Coverage>();
  for (const chunk of parsed.sort(byPrecedence)) {
    const { uid } = chunk;
    const coverage = coverageByJob.get(uid) ?? new Coverage();
    coverageByJob.set(uid, coverage);
    const stored = effectiveChunk(chunk, coverage);
    const chunks = chunksByJob.get(uid);
    if (chunks) chunks.push(stored);
    else chunksByJob.set(uid, [stored]);
  }
  return { byJob: chunksByJob, unreadable };
}

function parseAll(entries: readonly StoreEntry[]): {
  parsed: ParsedChunk[];
  unreadable: { key: string; uid: string }[];
} {
  const parsed: ParsedChunk[] = [];
  const unreadable: { key: string; uid: string }[] = [];
  for (const { key, value, version } of entries) {
    const name = readChunkKey(key);
    const record = readChunk(value);
    if (name && record) parsed.push({ key, version, ...name, record });
    else unreadable.push({ key, uid: name?.uid ?? key.split("/")[1] ?? "" });
  }
  return { parsed, unreadable };
}

/** Sorts records so that each is overridden by earlier ones only. */
function byPrecedence(a: ParsedChunk, b: ParsedChunk): number {
  const isLargest = ({ range }: ParsedChunk) => Number(range.count === MAX_TASKS_PER_CHUNK);
  return isLargest(a) - isLargest(b) || b.version - a.version;
}

/** What a record says of the tasks that no record of higher precedence covers. */
function effectiveChunk({ key, version, range, record }: ParsedChunk, coverage: Coverage): StoredChunk {
  const isEffective = coverage.add(range);
  const done: number[] = [];
  for (const [first, last] of record.done)
    for (let task = first; task <= last; task++) if (isEffective(task)) done.push(task);
  const effectivePlacements = record.held
    .map(([task, machine, incarnation, attempt]) => ({ task, machine, incarnation, attempt }))
    .filter(({ task }) => isEffective(task));
  return { key, version, count: range.count, done, placements: effectivePlacements };
}
