import type { Context } from "../context.js";
import type { MachineType } from "../model/deployment.js";
import type { LeaderLease } from "../model/leader-lease.js";
import { encodedBytes } from "../model/store-limits.js";
import type { ConfigWatch } from "./config-watch.js";
import { KEYS } from "./records.js";

const TRANSACTION_TIMEOUT_MS = 3000;

/** Keeps the cloud's machine types in the store, where all nodes read them to validate submissions. */
export class MachineTypesRecord {
  readonly #ctx: Context;
  readonly #config: ConfigWatch;
  readonly #lease: LeaderLease;
  #isWriting = false;

  constructor(ctx: Context, config: ConfigWatch, lease: LeaderLease) {
    this.#ctx = ctx;
    this.#config = config;
    this.#lease = lease;
  }

  /**
   * Writes the types if the fields needed for validation differ from the record, provided that the record has not
   * changed since it was read (I5). A failed write is retried by the next call.
   */
  write(types: readonly MachineType[]): void {
    if (this.#isWriting || encodeValidatedFields(types) === encodeValidatedFields(this.#config.machineTypes))
      return;
    const maxBytes = this.#ctx.limits.valueBytes;
    if (encodedBytes(types) > maxBytes) {
      this.#ctx.log("error", "machine types exceed the value limit of the store", {
        types: types.length,
        limit_bytes: maxBytes,
      });
      return;
    }
    this.#isWriting = true;
    const conditions = [
      { key: KEYS.leader, version: this.#lease.leaderKeyVersion },
      { key: KEYS.machineTypes, version: this.#config.machineTypesVersion },
    ];
    const changes = [{ put: KEYS.machineTypes, value: types }];
    this.#ctx.callStore({ kind: "transaction", conditions, changes }, TRANSACTION_TIMEOUT_MS, (response) => {
      this.#isWriting = false;
      if (response.kind !== "ok") return;
      this.#config.apply({ key: KEYS.machineTypes, value: types, version: response.revision });
    });
  }
}

/** Encodes the fields that decide whether a job can be placed at all. Omits prices, which change frequently. */
function encodeValidatedFields(types: readonly MachineType[]): string {
  return JSON.stringify(types.map(({ name, size, zones }) => [name, size, zones]));
}
