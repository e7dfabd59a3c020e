import { changeOperatorSettings, readOperatorSettings } from "../config/operator.js";
import type { Context } from "./context.js";
import { unavailable } from "./jobs/responses.js";
import type { AdminRequest, AdminResponse } from "./messages/administration.js";
import type { StoreResponse } from "./messages/store.js";
import type { MachineMode } from "./model/machine.js";
import { encodedBytes } from "./model/store-limits.js";
import type { ConfigWatch } from "./store/config-watch.js";
import { KEYS } from "./store/records.js";

const CALL_TIMEOUT_MS = 1500;
const STORE_UNANSWERED = "the state service does not answer";
const TOO_LARGE: AdminResponse = { kind: "invalid", error: "too much to be kept in one record" };

type Respond = (response: AdminResponse) => void;

/** A key of the cluster configuration to write, on the version that the new value was derived from (I5). */
interface ConfigWrite {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
  /** What the operator gets once it is written. */
  readonly responseBody: Record<string, unknown>;
}

/** Operators' requests, on every node whoever leads: settings, machine modes and the status. */
export class Administration {
  readonly #ctx: Context;
  readonly #config: ConfigWatch;
  readonly #status: () => Record<string, unknown>;

  constructor(ctx: Context, config: ConfigWatch, status: () => Record<string, unknown>) {
    this.#ctx = ctx;
    this.#config = config;
    this.#status = status;
  }

  /** Carries out a request; responds exactly once, and to a change only once it is written. */
  handle(request: AdminRequest, respond: Respond): void {
    switch (request.kind) {
      case "getSettings":
        this.#readSettings((response) => respond(settingsResponse(response)));
        break;
      case "changeSettings":
        this.#readSettings((response) => this.#changeSettings(response, request.values, respond));
        break;
      case "setMachineMode":
        this.#setMachineMode(request.name, request.mode, respond);
        break;
      case "getStatus":
        respond({ kind: "ok", body: this.#status() });
        break;
      default:
        request satisfies never;
    }
  }

  /** Reads the stored settings: those that this node watches may be behind. */
  #readSettings(onResponse: (response: StoreResponse) => void): void {
    this.#ctx.callStore({ kind: "get", key: KEYS.settings }, CALL_TIMEOUT_MS, onResponse);
  }

  #changeSettings(stored: StoreResponse, values: Record<string, unknown>, respond: Respond): void {
    if (stored.kind !== "found" && stored.kind !== "notFound") {
      respond(unavailable(STORE_UNANSWERED));
      return;
    }
    const entry = stored.kind === "found" ? stored.entry : null;
    const result = changeOperatorSettings(readOperatorSettings(entry ? entry.value : null), values);
    if (!result.ok) {
      respond({ kind: "invalid", error: result.error });
      return;
    }
    const unknownTeam = this.#findUnknownTeam(values.admission_weights);
    if (unknownTeam !== undefined) {
      respond({ kind: "invalid", error: `admission_weights: there is no team ${unknownTeam}` });
      return;
    }
    const { settings } = result;
    const version = entry ? entry.version : 0;
    this.#writeConfig(
      { key: KEYS.settings, version, value: settings, responseBody: { ...settings } },
      respond,
    );
  }

  /** Weights are checked as they are set only: one whose team is later removed from the deployment has no effect. */
  #findUnknownTeam(weights: unknown): string | undefined {
    const { teams } = this.#ctx.deployment;
    return Object.keys(weights ?? {}).find((name) => !teams.some((team) => team.name === name));
  }

  #setMachineMode(machine: string, mode: MachineMode, respond: Respond): void {
    const modes = { ...this.#config.machineModes };
    if (mode === "open") delete modes[machine];
    else modes[machine] = mode;
    const version = this.#config.machineModesVersion;
    this.#writeConfig(
      { key: KEYS.machineModes, version, value: modes, responseBody: { machine, mode } },
      respond,
    );
  }

  #writeConfig({ key, version, value, responseBody }: ConfigWrite, respond: Respond): void {
    if (encodedBytes(value) > this.#ctx.limits.valueBytes) {
      respond(TOO_LARGE);
      return;
    }
    const conditions = [{ key, version }];
    const changes = [{ put: key, value }];
    this.#ctx.callStore({ kind: "transaction", conditions, changes }, CALL_TIMEOUT_MS, (response) => {
      if (response.kind === "ok") {
        this.#config.apply({ key, value, version: response.revision });
        respond({ kind: "ok", body: responseBody });
      } else if (response.kind === "invalid") respond(TOO_LARGE);
      else if (response.kind === "conflict") respond(unavailable("changed at the same time"));
      else respond(unavailable(STORE_UNANSWERED));
    });
  }
}

function settingsResponse(stored: StoreResponse): AdminResponse {
  if (stored.kind === "found") return { kind: "ok", body: { ...readOperatorSettings(stored.entry.value) } };
  if (stored.kind === "notFound") return { kind: "ok", body: { ...readOperatorSettings(null) } };
  return unavailable(STORE_UNANSWERED);
}
