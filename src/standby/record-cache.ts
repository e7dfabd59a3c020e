import type { StoreEntry, WatchEvent } from "../core/messages/store.js";
import type { StoredRecords } from "../core/store/record-reader.js";
import { KEYS } from "../core/store/records.js";

/** The records that a leader begins with, by the prefixes of their keys. */
export const CACHED_PREFIXES = [KEYS.machines, KEYS.chunks, KEYS.jobs] as const;
export type CachedPrefix = (typeof CACHED_PREFIXES)[number];

/** What a record takes beside its value: key, version and the entry itself. */
const ENTRY_BYTES = 150;
const NUMBER_BYTES = 8;
const CONTAINER_BYTES = 32;

interface CachedRecord {
  readonly item: StoreEntry;
  readonly bytes: number;
}

/** The records under one prefix, and the revision through which every change to them is in here. */
class Section {
  readonly records = new Map<string, CachedRecord>();
  through = 0;
}

/**
 * A copy of the records in the state service: keys, values and versions, nothing derived from them. It is data, never
 * a sign of life: what is proved by token, report or lease is proved by these alone.
 */
export class RecordCache {
  readonly #sections = new Map<CachedPrefix, Section>(
    CACHED_PREFIXES.map((prefix) => [prefix, new Section()]),
  );
  readonly #mostBytes: number;
  /** An estimate of the memory that it takes. */
  bytes = 0;

  constructor(mostBytes = Number.POSITIVE_INFINITY) {
    this.#mostBytes = mostBytes;
  }

  get isTooLarge(): boolean {
    return this.bytes > this.#mostBytes;
  }

  get size(): number {
    let sum = 0;
    for (const { records } of this.#sections.values()) sum += records.size;
    return sum;
  }

  through(prefix: CachedPrefix): number {
    return this.#section(prefix).through;
  }

  /** The revision through which all of it is complete. */
  get completeThrough(): number {
    return Math.min(...CACHED_PREFIXES.map((prefix) => this.through(prefix)));
  }

  clear(): void {
    for (const section of this.#sections.values()) {
      section.records.clear();
      section.through = 0;
    }
    this.bytes = 0;
  }

  /** Forgets what is under a prefix: its records are about to be read. */
  begin(prefix: CachedPrefix): void {
    const section = this.#section(prefix);
    for (const key of [...section.records.keys()]) this.#remove(section, key);
    section.through = 0;
  }

  /** Takes over one page of the records under a prefix. */
  add(prefix: CachedPrefix, items: readonly StoreEntry[]): void {
    const section = this.#section(prefix);
    for (const item of items) this.#put(section, item);
  }

  /** All pages are in here; the first was read at this revision. */
  complete(prefix: CachedPrefix, revision: number): void {
    this.#section(prefix).through = revision;
  }

  /**
   * Takes over all changes under a prefix from where it was complete to a later revision. A change that is in here
   * already, or an answer that is older than what is known, changes nothing.
   */
  apply(prefix: CachedPrefix, events: readonly WatchEvent[], through: number): void {
    const section = this.#section(prefix);
    if (through < section.through) return;
    const inOrder = [...events].sort((a, b) => versionOf(a) - versionOf(b));
    for (const event of inOrder) {
      const key = event.kind === "put" ? event.entry.key : event.key;
      const known = section.records.get(key);
      if (versionOf(event) <= (known?.item.version ?? 0)) continue;
      if (event.kind === "removed") this.#remove(section, key);
      else if (versionOf(event) > section.through || known) this.#put(section, event.entry);
    }
    section.through = through;
  }

  /** All records, in the order in which a list has them. */
  records(): StoredRecords {
    const sorted = (prefix: CachedPrefix) =>
      [...this.#section(prefix).records.values()]
        .map(({ item }) => item)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
    return { machines: sorted(KEYS.machines), chunks: sorted(KEYS.chunks), jobs: sorted(KEYS.jobs) };
  }

  #section(prefix: CachedPrefix): Section {
    const section = this.#sections.get(prefix);
    if (!section) throw new RangeError(`no records are kept under ${prefix}`);
    return section;
  }

  #put(section: Section, item: StoreEntry): void {
    this.#remove(section, item.key);
    const bytes = ENTRY_BYTES + estimateBytes(item.value);
    section.records.set(item.key, { item, bytes });
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

/** What a value takes in memory, about: cheaper than writing it out. */
function estimateBytes(value: unknown): number {
  if (typeof value === "string") return CONTAINER_BYTES + value.length;
  if (typeof value !== "object" || value === null) return NUMBER_BYTES;
  let sum = CONTAINER_BYTES;
  for (const part of Object.values(value)) sum += NUMBER_BYTES + estimateBytes(part);
  return sum;
}
