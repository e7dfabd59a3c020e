import type { StoreEntry, WatchEvent } from "../core/messages/store.js";
import type { StoredRecords } from "../core/store/record-reader.js";
import { KEYS } from "../core/store/records.js";

/** Key prefixes of the records that a leader loads at the start of its term. */
export const CACHED_PREFIXES = [KEYS.machinesPrefix, KEYS.chunksPrefix, KEYS.jobsPrefix] as const;

/** One of the {@link CACHED_PREFIXES}. */
export type CachedPrefix = (typeof CACHED_PREFIXES)[number];

/** Estimated memory of an entry without its value: key, version and the entry object. */
const ENTRY_BYTES = 150;
const NUMBER_BYTES = 8;
const CONTAINER_BYTES = 32;

interface CachedRecord {
  readonly entry: StoreEntry;
  readonly bytes: number;
}

/** The records under one prefix. */
class Section {
  readonly records = new Map<string, CachedRecord>();
  /** The section contains all changes up to and including this revision; 0 until it is complete. */
  completeThrough = 0;
}

/**
 * A cache of store records: keys, values and versions, but no derived state. Its contents are no evidence of liveness;
 * only fencing tokens, heartbeats and leases are.
 */
export class RecordCache {
  readonly #sections = new Map<CachedPrefix, Section>(
    CACHED_PREFIXES.map((prefix) => [prefix, new Section()]),
  );
  readonly #maxBytes: number;
  /** Estimated memory use of the cache. */
  bytes = 0;

  /** The cache does not enforce `maxBytes` itself; its user must check `isTooLarge`. */
  constructor(maxBytes = Number.POSITIVE_INFINITY) {
    this.#maxBytes = maxBytes;
  }

  /** True if the cache exceeds its memory limit. */
  get isTooLarge(): boolean {
    return this.bytes > this.#maxBytes;
  }

  /** Number of cached records. */
  get size(): number {
    let sum = 0;
    for (const { records } of this.#sections.values()) sum += records.size;
    return sum;
  }

  /** Returns the revision up to and including which a prefix contains all changes; 0 until it is complete. */
  prefixCompleteThrough(prefix: CachedPrefix): number {
    return this.#section(prefix).completeThrough;
  }

  /** The revision up to and including which all prefixes contain all changes; 0 until all of them are complete. */
  get completeThrough(): number {
    return Math.min(...CACHED_PREFIXES.map((prefix) => this.prefixCompleteThrough(prefix)));
  }

  /** Drops all records. */
  clear(): void {
    for (const section of this.#sections.values()) {
      section.records.clear();
      section.completeThrough = 0;
    }
    this.bytes = 0;
  }

  /** Drops the records of a prefix before all of them are read again. */
  beginLoad(prefix: CachedPrefix): void {
    const section = this.#section(prefix);
    for (const key of [...section.records.keys()]) this.#remove(section, key);
    section.completeThrough = 0;
  }

  /** Adds one page of records under a prefix. */
  addPage(prefix: CachedPrefix, entries: readonly StoreEntry[]): void {
    const section = this.#section(prefix);
    for (const entry of entries) this.#put(section, entry);
  }

  /**
   * Marks a prefix as complete once all pages are added. `revision` is that of the first page, as later changes may be
   * missing.
   */
  completeLoad(prefix: CachedPrefix, revision: number): void {
    this.#section(prefix).completeThrough = revision;
  }

  /**
   * Applies all changes under a prefix from the revision at which it was complete up to and including `through`.
   * Idempotent and independent of order: changes that were already applied and results older than the cache have no
   * effect.
   */
  apply(prefix: CachedPrefix, events: readonly WatchEvent[], through: number): void {
    const section = this.#section(prefix);
    if (through < section.completeThrough) return;
    const byVersion = [...events].sort((a, b) => versionOf(a) - versionOf(b));
    for (const event of byVersion) {
      const key = event.kind === "put" ? event.entry.key : event.key;
      const known = section.records.get(key);
      if (versionOf(event) <= (known?.entry.version ?? 0)) continue;
      if (event.kind === "removed") this.#remove(section, key);
      // A key that is missing from a complete section has been removed, so an older put must not restore it.
      else if (versionOf(event) > section.completeThrough || known) this.#put(section, event.entry);
    }
    section.completeThrough = through;
  }

  /** Returns all records in key order, as a range read returns them. */
  records(): StoredRecords {
    const sorted = (prefix: CachedPrefix) =>
      [...this.#section(prefix).records.values()]
        .map(({ entry }) => entry)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
    return {
      machines: sorted(KEYS.machinesPrefix),
      chunks: sorted(KEYS.chunksPrefix),
      jobs: sorted(KEYS.jobsPrefix),
    };
  }

  #section(prefix: CachedPrefix): Section {
    const section = this.#sections.get(prefix);
    if (!section) throw new RangeError(`records under ${prefix} are not cached`);
    return section;
  }

  #put(section: Section, entry: StoreEntry): void {
    this.#remove(section, entry.key);
    const bytes = ENTRY_BYTES + estimateBytes(entry.value);
    section.records.set(entry.key, { entry, bytes });
    this.bytes += bytes;
  }

  #remove(section: Section, key: string): void {
    const known = section.records.get(key);
    if (!known) return;
    section.records.delete(key);
    this.bytes -= known.bytes;
  }
}

function versionOf(event: WatchEvent): number {
  return event.kind === "put" ? event.entry.version : event.version;
}

/** Estimates the memory use of a value; this is cheaper than serializing it. */
function estimateBytes(value: unknown): number {
  if (typeof value === "string") return CONTAINER_BYTES + value.length;
  if (typeof value !== "object" || value === null) return NUMBER_BYTES;
  let sum = CONTAINER_BYTES;
  for (const part of Object.values(value)) sum += NUMBER_BYTES + estimateBytes(part);
  return sum;
}
