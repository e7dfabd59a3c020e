import type { StoreEntry } from "../messages/store.js";
import { MAX_TASKS_PER_CHUNK, readChunkKey, type TaskRange } from "./chunk-layout.js";
import { type ChunkRecord, readChunk } from "./records.js";

/** A placement as read from the store. */
export interface StoredPlacement {
  readonly task: number;
  readonly machine: string;
  readonly incarnation: number;
  readonly attempt: number;
}

/** The stored record of a chunk, without tasks overridden by another record. */
export interface StoredChunk {
  readonly key: string;
  readonly version: number;
  /** Number of tasks that the record covers, including overridden ones. */
  readonly count: number;
  readonly done: readonly number[];
  readonly placements: readonly StoredPlacement[];
}

/** All chunks read from the store. */
export interface StoredChunks {
  /** Decoded chunks, keyed by the uid of their job. */
  readonly byJob: ReadonlyMap<string, readonly StoredChunk[]>;
  /** Records that could not be decoded; the uid is a guess if the key could not be parsed either. */
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
 * Tracks which tasks of a job are covered by the records added so far. The first tasks of the records are indexed by
 * record size: records of one size never overlap, so checking a task takes one lookup per size.
 */
class Coverage {
  readonly #firstsByCount = new Map<number, Set<number>>();

  /** Adds a record. Returns a predicate that is true for its tasks that no previously added record covers. */
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
 * Decodes placement records and groups them by job. After the store's limits have been lowered, records of different
 * sizes may cover the same task. In that case:
 *
 * - A record below the maximum size overrides one of the maximum size, regardless of their versions: a transaction that
 *   the leader sent before the change may be executed after its later ones, which do not write the same key.
 * - Of two records below the maximum size, the newer overrides the older: this size changes only when the leader
 *   changes, and a late transaction of an earlier leader fails (I5).
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

/** Sorts records by descending precedence: a record is overridden only by earlier ones. */
function byPrecedence(a: ParsedChunk, b: ParsedChunk): number {
  const isLargest = ({ range }: ParsedChunk) => Number(range.count === MAX_TASKS_PER_CHUNK);
  return isLargest(a) - isLargest(b) || b.version - a.version;
}

/** Returns a record's content, limited to tasks that no record of higher precedence covers. */
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
