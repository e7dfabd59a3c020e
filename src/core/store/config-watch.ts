import { defaultOperator, readOperator } from "../../config/operator.js";
import type { Context } from "../context.js";
import type { StoreEntry } from "../messages/store.js";
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

const FOLLOW_MS = 5000;
const RETRY_MS = 500;

export interface Versioned<T> {
  readonly value: T;
  readonly version: number;
}

/** What every node knows of the common keys (`c/`), kept up by following them. */
export class ConfigWatch {
  leader: Versioned<LeaderRecord> | null = null;
  epoch: Versioned<number> | null = null;
  machineTypes: readonly MachineType[] = [];
  machineTypesVersion = 0;
  settingsVersion = 0;
  machineModes: Record<string, "cordon" | "drain"> = {};
  machineModesVersion = 0;
  migration: StoreEntry | null = null;
  /** The layout in which records are written: 1, that of the version before this one, until the feature gate opens. */
  layout = 1;
  featuresVersion = 0;
  /** False until the first full read. */
  isLoaded = false;
  readonly #ctx: Context;
  readonly #changed: (key: string) => void;
  /** The revision of the state service as of the last answer. */
  revision = 0;
  #reading = false;
  #following = false;
  #retryAt = 0;

  constructor(ctx: Context, changed: (key: string) => void) {
    this.#ctx = ctx;
    this.#changed = changed;
  }

  tick(): void {
    if (this.#ctx.now < this.#retryAt) return;
    if (!this.isLoaded) this.#read();
    else if (!this.#following) this.#follow();
  }

  /** Reads the keys anew, for those who know that this view is behind. */
  reread(): void {
    this.#read();
  }

  #read(): void {
    if (this.#reading) return;
    this.#reading = true;
    this.#ctx.callStore({ kind: "list", prefix: KEYS.config, after: null }, 2000, (answer) => {
      this.#reading = false;
      if (answer.kind !== "page") {
        this.#retryAt = this.#ctx.now + RETRY_MS;
        return;
      }
      if (this.isLoaded && answer.revision < this.revision) return;
      const present = new Set(answer.entries.map((item) => item.key));
      for (const key of [KEYS.leader, KEYS.move, KEYS.modes]) {
        if (!present.has(key)) this.#drop(key);
      }
      for (const item of answer.entries) this.apply(item);
      this.revision = Math.max(this.revision, answer.revision);
      const first = !this.isLoaded;
      this.isLoaded = true;
      if (first) this.#changed(KEYS.config);
      this.tick();
    });
  }

  #follow(): void {
    this.#following = true;
    const after = this.revision;
    const call = { kind: "watch", prefix: KEYS.config, after, waitMs: FOLLOW_MS } as const;
    this.#ctx.callStore(call, FOLLOW_MS + 2000, (answer) => {
      this.#following = false;
      if (answer.kind === "events") {
        for (const event of answer.events) {
          if (event.kind === "put") this.apply(event.entry);
          else this.#drop(event.key, event.version);
        }
        this.revision = Math.max(this.revision, answer.revision);
        this.tick();
      } else if (answer.kind === "compacted") {
        this.#read();
      } else {
        this.#retryAt = this.#ctx.now + RETRY_MS;
      }
    });
  }

  /** Takes over an item, also one that this node has just written itself. Older versions are ignored. */
  apply(item: StoreEntry): void {
    switch (item.key) {
      case KEYS.leader: {
        const value = readLeader(item.value);
        if (!value || (this.leader && this.leader.version >= item.version)) return;
        this.leader = { value, version: item.version };
        break;
      }
      case KEYS.epoch: {
        const value = readEpoch(item.value);
        if (!value || (this.epoch && this.epoch.version >= item.version)) return;
        this.epoch = { value: value.token, version: item.version };
        break;
      }
      case KEYS.settings:
        if (this.settingsVersion >= item.version) return;
        this.settingsVersion = item.version;
        this.#ctx.settings = readOperator(item.value);
        break;
      case KEYS.types:
        if (this.machineTypesVersion >= item.version) return;
        this.machineTypesVersion = item.version;
        this.machineTypes = readTypes(item.value) ?? this.machineTypes;
        break;
      case KEYS.modes:
        if (this.machineModesVersion >= item.version) return;
        this.machineModesVersion = item.version;
        this.machineModes = readModes(item.value) ?? {};
        break;
      case KEYS.features:
        if (this.featuresVersion >= item.version) return;
        this.featuresVersion = item.version;
        this.layout = Math.max(this.layout, readFeatures(item.value)?.layout ?? 1);
        break;
      case KEYS.move:
        if (this.migration && this.migration.version >= item.version) return;
        this.migration = item;
        break;
      default:
        return;
    }
    this.#changed(item.key);
  }

  #drop(key: string, version = Number.POSITIVE_INFINITY): void {
    switch (key) {
      case KEYS.leader:
        if (!this.leader || this.leader.version > version) return;
        this.leader = null;
        break;
      case KEYS.move:
        if (!this.migration || this.migration.version > version) return;
        this.migration = null;
        break;
      case KEYS.modes:
        this.machineModes = {};
        break;
      case KEYS.settings:
        this.#ctx.settings = defaultOperator;
        break;
      default:
        return;
    }
    this.#changed(key);
  }
}
