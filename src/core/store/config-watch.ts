import { defaultOperatorSettings, readOperatorSettings } from "../../config/operator.js";
import type { Context } from "../context.js";
import type { StoreEntry, StoreResponse, WatchEvent } from "../messages/store.js";
import type { MachineType } from "../model/deployment.js";
import {
  KEYS,
  type LeaderRecord,
  readEpoch,
  readFeatures,
  readLeader,
  readModes,
  readTypes,
} from "./records.js";

/** How long the store may hold back its response to a watch until something changes. */
const WATCH_WAIT_MS = 5000;
/** How much longer than that a response is waited for. */
const WATCH_GRACE_MS = 2000;
const READ_TIMEOUT_MS = 2000;
const RETRY_DELAY_MS = 500;

/** Keys that a full read clears if they are absent: they were deleted while no watch was running. */
const KEYS_CLEARED_BY_READ = [KEYS.leader, KEYS.migration, KEYS.machineModes];

/** A value with the version of the key that it was read from. */
export interface Versioned<T> {
  readonly value: T;
  readonly version: number;
}

/** How one key is applied; both return whether the configuration has changed. */
interface KeyHandler {
  readonly put: (entry: StoreEntry) => boolean;
  /** Absent where a deletion is ignored. */
  readonly remove?: (version: number) => boolean;
}

/**
 * The cluster configuration (keys under `c/`) as this node knows it: one full read, then one watch after another. Every
 * node has one. Entries are applied in the order of their versions, key by key; an older one is ignored.
 */
export class ConfigWatch {
  /** The leader key; null while there is no leader. */
  leader: Versioned<LeaderRecord> | null = null;
  /** The highest fencing token on record; null before the first. */
  epoch: Versioned<number> | null = null;
  machineTypes: readonly MachineType[] = [];
  machineTypesVersion = 0;
  settingsVersion = 0;
  /** Machines that operators have cordoned or are draining, by name. */
  machineModes: Record<string, "cordon" | "drain"> = {};
  machineModesVersion = 0;
  /** The migration record, undecoded; null while its key does not exist. */
  migration: StoreEntry | null = null;
  /** The layout in which records are written: 1, that of the previous version, until the feature gate opens. It never falls. */
  layout = 1;
  featuresVersion = 0;
  /** False until the first full read. */
  isLoaded = false;
  /** The store's revision as of the last response. */
  revision = 0;
  readonly #ctx: Context;
  readonly #onChanged: (key: string) => void;
  readonly #handlers: ReadonlyMap<string, KeyHandler>;
  #isReading = false;
  #isWatching = false;
  #retryAt = 0;

  constructor(
    ctx: Context,
    /** Called with each key that has changed, and with the common prefix after the first full read. */
    onChanged: (key: string) => void,
  ) {
    this.#ctx = ctx;
    this.#onChanged = onChanged;
    this.#handlers = new Map<string, KeyHandler>([
      [
        KEYS.leader,
        { put: (entry) => this.#putLeader(entry), remove: (version) => this.#removeLeader(version) },
      ],
      [KEYS.epoch, { put: (entry) => this.#putEpoch(entry) }],
      [KEYS.settings, { put: (entry) => this.#putSettings(entry), remove: () => this.#resetSettings() }],
      [KEYS.machineTypes, { put: (entry) => this.#putMachineTypes(entry) }],
      [
        KEYS.machineModes,
        { put: (entry) => this.#putMachineModes(entry), remove: () => this.#clearMachineModes() },
      ],
      [KEYS.features, { put: (entry) => this.#putFeatures(entry) }],
      [
        KEYS.migration,
        {
          put: (entry) => this.#putMigration(entry),
          remove: (version) => this.#removeMigration(version),
        },
      ],
    ]);
  }

  /** Starts the full read, or the next watch, if none is under way. */
  tick(): void {
    if (this.#ctx.now < this.#retryAt) return;
    if (!this.isLoaded) this.#read();
    else if (!this.#isWatching) this.#watch();
  }

  /** Reads all keys again, for a caller that knows that this view is outdated: its conditional write has failed. */
  reread(): void {
    this.#read();
  }

  /** Applies an entry, also one that this node has just written itself. Older versions are ignored. */
  apply(entry: StoreEntry): void {
    if (this.#handlers.get(entry.key)?.put(entry)) this.#onChanged(entry.key);
  }

  #remove(key: string, version = Number.POSITIVE_INFINITY): void {
    if (this.#handlers.get(key)?.remove?.(version)) this.#onChanged(key);
  }

  #read(): void {
    if (this.#isReading) return;
    this.#isReading = true;
    this.#ctx.callStore(
      { kind: "list", prefix: KEYS.configPrefix, after: null },
      READ_TIMEOUT_MS,
      (response) => {
        this.#isReading = false;
        if (response.kind !== "page") {
          this.#retryAt = this.#ctx.now + RETRY_DELAY_MS;
          return;
        }
        // A watch has delivered something newer meanwhile.
        if (this.isLoaded && response.revision < this.revision) return;
        this.#applyAll(response.entries, response.revision);
        this.tick();
      },
    );
  }

  #applyAll(entries: readonly StoreEntry[], revision: number): void {
    const present = new Set(entries.map((entry) => entry.key));
    for (const key of KEYS_CLEARED_BY_READ) if (!present.has(key)) this.#remove(key);
    for (const entry of entries) this.apply(entry);
    this.revision = Math.max(this.revision, revision);
    const isFirst = !this.isLoaded;
    this.isLoaded = true;
    if (isFirst) this.#onChanged(KEYS.configPrefix);
  }

  #watch(): void {
    this.#isWatching = true;
    const request = {
      kind: "watch",
      prefix: KEYS.configPrefix,
      after: this.revision,
      waitMs: WATCH_WAIT_MS,
    } as const;
    this.#ctx.callStore(request, WATCH_WAIT_MS + WATCH_GRACE_MS, (response) => {
      this.#isWatching = false;
      this.#onWatchResponse(response);
    });
  }

  #onWatchResponse(response: StoreResponse): void {
    if (response.kind === "events") {
      for (const event of response.events) this.#applyEvent(event);
      this.revision = Math.max(this.revision, response.revision);
      this.tick();
    } else if (response.kind === "compacted") {
      this.#read();
    } else {
      this.#retryAt = this.#ctx.now + RETRY_DELAY_MS;
    }
  }

  #applyEvent(event: WatchEvent): void {
    if (event.kind === "put") this.apply(event.entry);
    else this.#remove(event.key, event.version);
  }

  /* ---- one key each ---- */

  #putLeader({ value, version }: StoreEntry): boolean {
    const record = readLeader(value);
    if (!record || (this.leader && this.leader.version >= version)) return false;
    this.leader = { value: record, version };
    return true;
  }

  #removeLeader(version: number): boolean {
    if (!this.leader || this.leader.version > version) return false;
    this.leader = null;
    return true;
  }

  #putEpoch({ value, version }: StoreEntry): boolean {
    const record = readEpoch(value);
    if (!record || (this.epoch && this.epoch.version >= version)) return false;
    this.epoch = { value: record.token, version };
    return true;
  }

  #putSettings({ value, version }: StoreEntry): boolean {
    if (this.settingsVersion >= version) return false;
    this.settingsVersion = version;
    this.#ctx.settings = readOperatorSettings(value);
    return true;
  }

  #resetSettings(): boolean {
    this.#ctx.settings = defaultOperatorSettings;
    return true;
  }

  #putMachineTypes({ value, version }: StoreEntry): boolean {
    if (this.machineTypesVersion >= version) return false;
    this.machineTypesVersion = version;
    this.machineTypes = readTypes(value) ?? this.machineTypes;
    return true;
  }

  #putMachineModes({ value, version }: StoreEntry): boolean {
    if (this.machineModesVersion >= version) return false;
    this.machineModesVersion = version;
    this.machineModes = readModes(value) ?? {};
    return true;
  }

  #clearMachineModes(): boolean {
    this.machineModes = {};
    return true;
  }

  #putFeatures({ value, version }: StoreEntry): boolean {
    if (this.featuresVersion >= version) return false;
    this.featuresVersion = version;
    this.layout = Math.max(this.layout, readFeatures(value)?.layout ?? 1);
    return true;
  }

  #putMigration(entry: StoreEntry): boolean {
    if (this.migration && this.migration.version >= entry.version) return false;
    this.migration = entry;
    return true;
  }

  #removeMigration(version: number): boolean {
    if (!this.migration || this.migration.version > version) return false;
    this.migration = null;
    return true;
  }
}
