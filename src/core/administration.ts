import { changeOperator, readOperator } from "../config/operator.js";
import type { Context } from "./context.js";
import { later } from "./jobs/submissions.js";
import type { ConfigView } from "./store/config-watch.js";
import { KEYS } from "./store/records.js";
import { bytesOf } from "./store/store-limits.js";
import type { AdminAnswer, AdminAsk } from "./types.js";

const CALL_MS = 1500;

type Answer = (answer: AdminAnswer) => void;

/** The operators' requests, on every node: their settings, the modes of machines, the status. */
export class Administration {
  readonly #ctx: Context;
  readonly #view: ConfigView;
  readonly #status: () => Record<string, unknown>;

  constructor(ctx: Context, view: ConfigView, status: () => Record<string, unknown>) {
    this.#ctx = ctx;
    this.#view = view;
    this.#status = status;
  }

  handle(ask: AdminAsk, answer: Answer): void {
    switch (ask.t) {
      case "settings":
        this.#ctx.state({ t: "get", key: KEYS.settings }, CALL_MS, (got) => {
          if (got.t === "item") answer({ t: "ok", body: { ...readOperator(got.item.value) } });
          else if (got.t === "absent") answer({ t: "ok", body: { ...readOperator(null) } });
          else answer(later("the state service does not answer"));
        });
        break;
      case "change":
        this.#changeSettings(ask.values, answer);
        break;
      case "machine":
        this.#changeMode(ask.name, ask.mode, answer);
        break;
      case "status":
        answer({ t: "ok", body: this.#status() });
        break;
      default:
        ask satisfies never;
    }
  }

  #changeSettings(values: Record<string, unknown>, answer: Answer): void {
    this.#ctx.state({ t: "get", key: KEYS.settings }, CALL_MS, (got) => {
      if (got.t !== "item" && got.t !== "absent") {
        answer(later("the state service does not answer"));
        return;
      }
      const result = changeOperator(readOperator(got.t === "item" ? got.item.value : null), values);
      if (!result.ok) {
        answer({ t: "bad", error: result.error });
        return;
      }
      const unknown = this.#unknownTeam(values.admission_weights);
      if (unknown !== undefined) {
        answer({ t: "bad", error: `admission_weights: there is no team ${unknown}` });
        return;
      }
      const version = got.t === "item" ? got.item.version : 0;
      this.#writeConfig(KEYS.settings, version, result.settings, answer, { ...result.settings });
    });
  }

  /** Checked as it is set: a weight stays, without effect, when its team is removed from the platform's file. */
  #unknownTeam(weights: unknown): string | undefined {
    const { teams } = this.#ctx.deployment;
    return Object.keys(weights ?? {}).find((name) => !teams.some((team) => team.name === name));
  }

  #changeMode(name: string, mode: "open" | "cordon" | "drain", answer: Answer): void {
    const modes = { ...this.#view.modes };
    if (mode === "open") delete modes[name];
    else modes[name] = mode;
    this.#writeConfig(KEYS.modes, this.#view.modesVersion, modes, answer, { machine: name, mode });
  }

  #writeConfig(
    key: string,
    version: number,
    value: unknown,
    answer: Answer,
    body: Record<string, unknown>,
  ): void {
    const tooLarge: AdminAnswer = { t: "bad", error: "too much to be kept in one record" };
    if (bytesOf(value) > this.#ctx.limits.valueBytes) {
      answer(tooLarge);
      return;
    }
    const conditions = [{ key, version }];
    this.#ctx.state({ t: "txn", conditions, changes: [{ put: key, value }] }, CALL_MS, (result) => {
      if (result.t === "ok") {
        this.#view.note({ key, value, version: result.revision });
        answer({ t: "ok", body });
      } else if (result.t === "invalid") {
        answer(tooLarge);
      } else {
        answer(
          later(result.t === "conflict" ? "changed at the same time" : "the state service does not answer"),
        );
      }
    });
  }
}
