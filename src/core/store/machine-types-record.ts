import type { Context } from "../context.js";
import type { Term } from "../election/leader-lease.js";
import type { MachineType } from "../model/deployment.js";
import type { ConfigView } from "./config-watch.js";
import { KEYS } from "./records.js";
import { bytesOf } from "./store-limits.js";

const CALL_MS = 3000;

/** Keeps on record which machine types there are: all nodes check submissions against them. */
export class TypesRecord {
  readonly #ctx: Context;
  readonly #view: ConfigView;
  readonly #term: Term;
  #writing = false;

  constructor(ctx: Context, view: ConfigView, term: Term) {
    this.#ctx = ctx;
    this.#view = view;
    this.#term = term;
  }

  write(types: readonly MachineType[]): void {
    // Prices move all the time; what the other nodes need is what fits where.
    const essence = (list: readonly MachineType[]) =>
      JSON.stringify(list.map(({ name, size, zones }) => [name, size, zones]));
    if (this.#writing || essence(types) === essence(this.#view.types)) return;
    if (bytesOf(types) > this.#ctx.limits.valueBytes) {
      this.#ctx.log("error", "the machine types are too many for one record", { types: types.length });
      return;
    }
    this.#writing = true;
    const conditions = [
      { key: KEYS.leader, version: this.#term.version },
      { key: KEYS.types, version: this.#view.typesVersion },
    ];
    const changes = [{ put: KEYS.types, value: types }];
    this.#ctx.state({ kind: "transaction", conditions, changes }, CALL_MS, (answer) => {
      this.#writing = false;
      if (answer.kind === "ok") this.#view.note({ key: KEYS.types, value: types, version: answer.revision });
    });
  }
}
