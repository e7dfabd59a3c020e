import { defaultOperatorSettings, readOperatorSettings } from "../../config/operator.js";
import type { Context } from "../context.js";
import type { StoreEntry, StoreResponse, WatchEvent } from "../messages/store.js";
import type { MachineType } from "../model/deployment.js";
import {
  type EpochRecord,
  KEYS,
  type LeaderRecord,
  readEpoch,
  readFeatures,
  readLeader,
  readModes,
  readTypes,
} from "./records.js";

/** How long the store may delay its response to a watch while nothing changes. */
const WATCH_WAIT_MS = 5000;
/** Added to the wait time of a watch to obtain the timeout of its request. */
const WATCH_GRACE_MS = 2000;
const READ_TIMEOUT_MS = 2000;
const RETRY_DELAY_MS = 500;

/** Keys whose values are cleared if a full read does not contain them: they were deleted while no watch was active. */
const KEYS_CLEARED_BY_READ = [KEYS.leader, KEYS.migration, KEYS.machineModes];

/** A value and the version of its key. */
export interface Versioned<T> {
  readonly value: T;
  readonly version: number;
}

/** Applies changes to one key; both functions return true if the configuration has changed. */
interface KeyHandler {
  readonly put: (entry: StoreEntry) => boolean;
  /** Absent if deletions of the key are ignored. */
  readonly remove?: (version: number) => boolean;
}

/**
 * This node's view of the cluster configuration (keys under `c/`), kept current by one full read followed by successive
 * watches. Every node has one. Each key's entries are applied in version order; older versions are ignored.
 */
export class ConfigWatch {
  /** The leader record; null while there is no leader. */
  leader: Versioned<LeaderRecord> | null = null;
  /** The record of the highest fencing token; null if there is none yet. */
  epoch: Versioned<EpochRecord> | null = null;
  machineTypes: readonly MachineType[] = [];
  machineTypesVersion = 0;
  settingsVersion = 0;
  /** Machines that operators have cordoned or are draining, keyed by name. */
  machineModes: Record<string, "cordon" | "drain"> = {};
  machineModesVersion = 0;
  /** The migration record, undecoded; null while its key does not exist. */
  migration: StoreEntry | null = null;
  /** The layout for writing records: 1 (the previous version's) until the feature gate opens. It never decreases. */
  layout = 1;
  featuresVersion = 0;
  /** True once the first full read has completed. */
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
    /** Called with each changed key, and with the common prefix after the first full read. */
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

  /** Starts the full read or the next watch, unless one is in progress. */
  tick(): void {
    if (this.#ctx.now < this.#retryAt) return;
    if (!this.isLoaded) this.#read();
    else if (!this.#isWatching) this.#watch();
  }

  /** Reads all keys again. For callers whose conditional write failed, which means that this view is outdated. */
  reread(): void {
    this.#read();
  }

  /** Applies an entry read from the store or just written by this node. Older versions are ignored. */
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
        // A watch has delivered a newer revision in the meantime.
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

  /* ---- handlers, one pair per key ---- */

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
    this.epoch = { value: record, version };
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
