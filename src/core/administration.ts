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
const STORE_UNAVAILABLE = "the state service does not answer";
const TOO_LARGE: AdminResponse = { kind: "invalid", error: "the value exceeds the size limit of a record" };

type Respond = (response: AdminResponse) => void;

/** A write to a cluster configuration key, conditioned on the version that the new value was derived from (I5). */
interface ConfigWrite {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
  /** The response to the operator once the value is written. */
  readonly responseBody: Record<string, unknown>;
}

/** Handles operator requests (settings, machine modes, status) on every node, whether or not it is the leader. */
export class Administration {
  readonly #ctx: Context;
  readonly #config: ConfigWatch;
  readonly #status: () => Record<string, unknown>;

  constructor(ctx: Context, config: ConfigWatch, status: () => Record<string, unknown>) {
    this.#ctx = ctx;
    this.#config = config;
    this.#status = status;
  }

  /** Handles a request. Responds exactly once; the response to a change is sent only after it is written. */
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

  /** Reads the settings from the store, because this node's watched copy may be stale. */
  #readSettings(onResponse: (response: StoreResponse) => void): void {
    this.#ctx.callStore({ kind: "get", key: KEYS.settings }, CALL_TIMEOUT_MS, onResponse);
  }

  #changeSettings(stored: StoreResponse, values: Record<string, unknown>, respond: Respond): void {
    if (stored.kind !== "found" && stored.kind !== "notFound") {
      respond(unavailable(STORE_UNAVAILABLE));
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
      respond({ kind: "invalid", error: `admission_weights: unknown team ${unknownTeam}` });
      return;
    }
    const { settings } = result;
    const version = entry ? entry.version : 0;
    this.#writeConfig(
      { key: KEYS.settings, version, value: settings, responseBody: { ...settings } },
      respond,
    );
  }

  /** Weights are validated only when set. If a team is later removed from the deployment, its weight has no effect. */
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
      else if (response.kind === "conflict") respond(unavailable("modified concurrently"));
      else respond(unavailable(STORE_UNAVAILABLE));
    });
  }
}

function settingsResponse(stored: StoreResponse): AdminResponse {
  if (stored.kind === "found") return { kind: "ok", body: { ...readOperatorSettings(stored.entry.value) } };
  if (stored.kind === "notFound") return { kind: "ok", body: { ...readOperatorSettings(null) } };
  return unavailable(STORE_UNAVAILABLE);
}
