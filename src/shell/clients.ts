import { type Endpoint, parseEndpoint } from "../config/settings.js";
import type { Heartbeat } from "../core/messages/agents.js";
import type { CloudRequest, CloudResponse } from "../core/messages/cloud.js";
import type { Effect } from "../core/messages/effects.js";
import type { StoreRequest, StoreResponse } from "../core/messages/store.js";
import type { NameRegistry } from "../core/model/interner.js";
import { decodeHeartbeat, encodeCommandBatch } from "../protocol/agents.js";
import { decodeCloudResponse, encodeCloudRequest } from "../protocol/cloud.js";
import { decodeStoreResponse, encodeStoreRequest } from "../protocol/store.js";
import { HttpClient } from "./http-client.js";

const CLOUD_TIMEOUT_MS = 5000;
const WORKER_TIMEOUT_MS = 1500;

/** The common keys, the jobs or, on the standby, three prefixes of records; with room for those that are being closed. */
const FOLLOWS = 6;

/** The state service. Long-held follows have sockets of their own, so that they never delay a call. */
export class StoreClient {
  readonly #at: Endpoint;
  readonly #calls = new HttpClient(24);
  readonly #follows = new HttpClient(FOLLOWS);

  constructor(at: Endpoint) {
    this.#at = at;
  }

  call(call: StoreRequest, timeoutMs: number, then: (answer: StoreResponse) => void): void {
    const client = call.kind === "watch" && call.waitMs > 0 ? this.#follows : this.#calls;
    client.call(this.#at, encodeStoreRequest(call), timeoutMs, (answer) => {
      then(answer === null ? { kind: "timeout" } : decodeStoreResponse(call, answer.status, answer.body));
    });
  }
}

export class CloudClient {
  readonly #at: Endpoint;
  readonly #client = new HttpClient(8);

  constructor(at: Endpoint) {
    this.#at = at;
  }

  call(call: CloudRequest, then: (answer: CloudResponse) => void): void {
    this.#client.call(this.#at, encodeCloudRequest(call), CLOUD_TIMEOUT_MS, (answer) => {
      then(answer === null ? { kind: "timeout" } : decodeCloudResponse(call, answer.status, answer.body));
    });
  }
}

export class AgentClient {
  readonly #client: HttpClient;
  readonly #directory: NameRegistry;

  constructor(directory: NameRegistry, maxSockets: number) {
    this.#client = new HttpClient(1, maxSockets);
    this.#directory = directory;
  }

  /** The report that the worker answered with, and whether the orders were executed. */
  send(
    effect: Extract<Effect, { kind: "sendAgentCommands" }>,
    then: (report: Heartbeat | null, executed: boolean) => void,
  ): void {
    const body = encodeCommandBatch(
      effect.fencingToken,
      effect.incarnation,
      effect.commands,
      this.#directory,
    );
    const call = { method: "POST", path: "/do", body } as const;
    this.#client.call(parseEndpoint(effect.address), call, WORKER_TIMEOUT_MS, (answer) => {
      if (answer === null || (answer.status !== 200 && answer.status !== 409)) then(null, false);
      else then(decodeHeartbeat(answer.body, this.#directory), answer.status === 200);
    });
  }
}
