import type { StoreEntry, WatchEvent } from "../core/messages/store.js";
import type { StoredRecords } from "../core/store/record-reader.js";
import { KEYS } from "../core/store/records.js";

/** The key prefixes of the records that a leader's term starts from. */
export const CACHED_PREFIXES = [KEYS.machinesPrefix, KEYS.chunksPrefix, KEYS.jobsPrefix] as const;

/** One of the {@link CACHED_PREFIXES}. */
export type CachedPrefix = (typeof CACHED_PREFIXES)[number];

/** The memory that an entry takes beside its value: key, version and the entry itself. */
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
  /** The revision through which the section has every change; 0 while it is not complete. */
  completeThrough = 0;
}

/**
 * A copy of records of the store: keys, values and versions, nothing derived from them. It proves nothing about liveness:
 * only fencing tokens, heartbeats and leases do.
 */
export class RecordCache {
  readonly #sections = new Map<CachedPrefix, Section>(
    CACHED_PREFIXES.map((prefix) => [prefix, new Section()]),
  );
  readonly #maxBytes: number;
  /** The memory that the cache takes, estimated. */
  bytes = 0;

  /** `maxBytes` bounds nothing by itself: the user of the cache has to look at `isTooLarge`. */
  constructor(maxBytes = Number.POSITIVE_INFINITY) {
    this.#maxBytes = maxBytes;
  }

  /** True if the cache has outgrown its bound. */
  get isTooLarge(): boolean {
    return this.bytes > this.#maxBytes;
  }

  /** The number of records. */
  get size(): number {
    let sum = 0;
    for (const { records } of this.#sections.values()) sum += records.size;
    return sum;
  }

  /** The revision through which one prefix has every change; 0 while it is not complete. */
  through(prefix: CachedPrefix): number {
    return this.#section(prefix).completeThrough;
  }

  /** The revision through which all prefixes have every change; 0 while one is not complete. */
  get completeThrough(): number {
    return Math.min(...CACHED_PREFIXES.map((prefix) => this.through(prefix)));
  }

  /** Drops all records. */
  clear(): void {
    for (const section of this.#sections.values()) {
      section.records.clear();
      section.completeThrough = 0;
    }
    this.bytes = 0;
  }

  /** Drops the records of a prefix before they are read from the beginning. */
  begin(prefix: CachedPrefix): void {
    const section = this.#section(prefix);
    for (const key of [...section.records.keys()]) this.#remove(section, key);
    section.completeThrough = 0;
  }

  /** Adds one page of the records under a prefix. */
  add(prefix: CachedPrefix, entries: readonly StoreEntry[]): void {
    const section = this.#section(prefix);
    for (const entry of entries) this.#put(section, entry);
  }

  /** All pages were added. `revision` is that of the first page: later changes may be missing from it. */
  complete(prefix: CachedPrefix, revision: number): void {
    this.#section(prefix).completeThrough = revision;
  }

  /**
   * Applies all changes under a prefix from where it was complete `through` a later revision. Idempotent and independent
   * of order: a change that was applied before, or a result older than the cache, changes nothing.
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
      // A key that is absent in a complete section was removed: a put from before that must not restore it.
      else if (versionOf(event) > section.completeThrough || known) this.#put(section, event.entry);
    }
    section.completeThrough = through;
  }

  /** All records, in the order of keys, as a range read returns them. */
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
    if (!section) throw new RangeError(`no records are cached under ${prefix}`);
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

/** Estimates the memory that a value takes; cheaper than serialising it. */
function estimateBytes(value: unknown): number {
  if (typeof value === "string") return CONTAINER_BYTES + value.length;
  if (typeof value !== "object" || value === null) return NUMBER_BYTES;
  let sum = CONTAINER_BYTES;
  for (const part of Object.values(value)) sum += NUMBER_BYTES + estimateBytes(part);
  return sum;
}
