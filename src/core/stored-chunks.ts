import { readChunk, readChunkKey, type TaskRange } from "./records.js";
import type { StateItem } from "./types.js";

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
  readonly done: readonly number[];
  readonly placed: readonly StoredPlacement[];
}

export interface StoredChunks {
  readonly found: ReadonlyMap<string, readonly StoredChunk[]>;
  readonly unreadable: readonly { readonly key: string; readonly uid: string }[];
}

/**
 * Reads the records of placements, by job. Where records of different sizes cover the same task, as they do after the
 * limits of the state service have fallen, the newest one is right: each was whole when it was written.
 */
export function readChunks(items: readonly StateItem[]): StoredChunks {
  const found = new Map<string, StoredChunk[]>();
  const unreadable: { key: string; uid: string }[] = [];
  const covered = new Map<string, TaskRange[]>();
  for (const { key, value, version } of [...items].sort((a, b) => b.version - a.version)) {
    const name = readChunkKey(key);
    const record = readChunk(value);
    const uid = name?.uid ?? key.split("/")[1] ?? "";
    if (!name || !record) {
      unreadable.push({ key, uid });
      continue;
    }
    const newer = covered.get(uid) ?? [];
    const sizes = new Set(newer.map(({ count }) => count));
    // Records of one size never overlap.
    const others = sizes.size === 0 || (sizes.size === 1 && sizes.has(name.range.count)) ? [] : newer;
    const isNewest = (task: number) =>
      !others.some(({ first, count }) => task >= first && task < first + count);
    covered.set(uid, [...newer, name.range]);
    const done: number[] = [];
    for (const [first, last] of record.done)
      for (let task = first; task <= last; task++) if (isNewest(task)) done.push(task);
    const placed = record.held
      .map(([task, machine, session, attempt]) => ({ task, machine, session, attempt }))
      .filter(({ task }) => isNewest(task));
    const list = found.get(uid);
    if (list) list.push({ key, version, done, placed });
    else found.set(uid, [{ key, version, done, placed }]);
  }
  return { found, unreadable };
}
