import { changeOperator, readOperator } from "../config/operator.js";
import type { Context } from "./context.js";
import { unavailable } from "./jobs/submissions.js";
import type { AdminRequest, AdminResponse } from "./messages/administration.js";
import type { ConfigWatch } from "./store/config-watch.js";
import { KEYS } from "./store/records.js";
import { encodedBytes } from "./store/store-limits.js";

const CALL_MS = 1500;

type Answer = (answer: AdminResponse) => void;

/** The operators' requests, on every node: their settings, the modes of machines, the status. */
export class Administration {
  readonly #ctx: Context;
  readonly #view: ConfigWatch;
  readonly #status: () => Record<string, unknown>;

  constructor(ctx: Context, view: ConfigWatch, status: () => Record<string, unknown>) {
    this.#ctx = ctx;
    this.#view = view;
    this.#status = status;
  }

  handle(ask: AdminRequest, answer: Answer): void {
    switch (ask.kind) {
      case "getSettings":
        this.#ctx.callStore({ kind: "get", key: KEYS.settings }, CALL_MS, (got) => {
          if (got.kind === "found") answer({ kind: "ok", body: { ...readOperator(got.entry.value) } });
          else if (got.kind === "notFound") answer({ kind: "ok", body: { ...readOperator(null) } });
          else answer(unavailable("the state service does not answer"));
        });
        break;
      case "changeSettings":
        this.#changeSettings(ask.values, answer);
        break;
      case "setMachineMode":
        this.#changeMode(ask.name, ask.mode, answer);
        break;
      case "getStatus":
        answer({ kind: "ok", body: this.#status() });
        break;
      default:
        ask satisfies never;
    }
  }

  #changeSettings(values: Record<string, unknown>, answer: Answer): void {
    this.#ctx.callStore({ kind: "get", key: KEYS.settings }, CALL_MS, (got) => {
      if (got.kind !== "found" && got.kind !== "notFound") {
        answer(unavailable("the state service does not answer"));
        return;
      }
      const result = changeOperator(readOperator(got.kind === "found" ? got.entry.value : null), values);
      if (!result.ok) {
        answer({ kind: "invalid", error: result.error });
        return;
      }
      const unknown = this.#unknownTeam(values.admission_weights);
      if (unknown !== undefined) {
        answer({ kind: "invalid", error: `admission_weights: there is no team ${unknown}` });
        return;
      }
      const version = got.kind === "found" ? got.entry.version : 0;
      this.#writeConfig(KEYS.settings, version, result.settings, answer, { ...result.settings });
    });
  }

  /** Checked as it is set: a weight stays, without effect, when its team is removed from the platform's file. */
  #unknownTeam(weights: unknown): string | undefined {
    const { teams } = this.#ctx.deployment;
    return Object.keys(weights ?? {}).find((name) => !teams.some((team) => team.name === name));
  }

  #changeMode(name: string, mode: "open" | "cordon" | "drain", answer: Answer): void {
    const modes = { ...this.#view.machineModes };
    if (mode === "open") delete modes[name];
    else modes[name] = mode;
    this.#writeConfig(KEYS.modes, this.#view.machineModesVersion, modes, answer, { machine: name, mode });
  }

  #writeConfig(
    key: string,
    version: number,
    value: unknown,
    answer: Answer,
    body: Record<string, unknown>,
  ): void {
    const tooLarge: AdminResponse = { kind: "invalid", error: "too much to be kept in one record" };
    if (encodedBytes(value) > this.#ctx.limits.valueBytes) {
      answer(tooLarge);
      return;
    }
    const conditions = [{ key, version }];
    this.#ctx.callStore(
      { kind: "transaction", conditions, changes: [{ put: key, value }] },
      CALL_MS,
      (result) => {
        if (result.kind === "ok") {
          this.#view.apply({ key, value, version: result.revision });
          answer({ kind: "ok", body });
        } else if (result.kind === "invalid") {
          answer(tooLarge);
        } else {
          answer(
            unavailable(
              result.kind === "conflict" ? "changed at the same time" : "the state service does not answer",
            ),
          );
        }
      },
    );
  }
}
