import type { Context } from "../context.js";
import type { LeaderLease } from "../election/leader-lease.js";
import type { MachineType } from "../model/deployment.js";
import type { ConfigWatch } from "./config-watch.js";
import { KEYS } from "./records.js";
import { encodedBytes } from "./store-limits.js";

const CALL_MS = 3000;

/** Keeps on record which machine types there are: all nodes check submissions against them. */
export class MachineTypesRecord {
  readonly #ctx: Context;
  readonly #view: ConfigWatch;
  readonly #term: LeaderLease;
  #writing = false;

  constructor(ctx: Context, view: ConfigWatch, term: LeaderLease) {
    this.#ctx = ctx;
    this.#view = view;
    this.#term = term;
  }

  write(types: readonly MachineType[]): void {
    // Prices move all the time; what the other nodes need is what fits where.
    const essence = (list: readonly MachineType[]) =>
      JSON.stringify(list.map(({ name, size, zones }) => [name, size, zones]));
    if (this.#writing || essence(types) === essence(this.#view.machineTypes)) return;
    if (encodedBytes(types) > this.#ctx.limits.valueBytes) {
      this.#ctx.log("error", "the machine types are too many for one record", { types: types.length });
      return;
    }
    this.#writing = true;
    const conditions = [
      { key: KEYS.leader, version: this.#term.leaderKeyVersion },
      { key: KEYS.types, version: this.#view.machineTypesVersion },
    ];
    const changes = [{ put: KEYS.types, value: types }];
    this.#ctx.callStore({ kind: "transaction", conditions, changes }, CALL_MS, (answer) => {
      this.#writing = false;
      if (answer.kind === "ok") this.#view.apply({ key: KEYS.types, value: types, version: answer.revision });
    });
  }
}
