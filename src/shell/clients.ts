import { type Endpoint, parseEndpoint } from "../config/settings.js";
import type { Heartbeat } from "../core/messages/agents.js";
import type { CloudRequest, CloudResponse } from "../core/messages/cloud.js";
import type { SendAgentCommands } from "../core/messages/effects.js";
import type { StoreRequest, StoreResponse } from "../core/messages/store.js";
import type { NameRegistry } from "../core/model/interner.js";
import { decodeCommandReply, encodeCommandRequest } from "../protocol/agents.js";
import { decodeCloudResponse, encodeCloudRequest } from "../protocol/cloud.js";
import { decodeStoreResponse, encodeStoreRequest } from "../protocol/store.js";
import { HttpClient } from "./http-client.js";

const CLOUD_TIMEOUT_MS = 5000;
const AGENT_TIMEOUT_MS = 1500;

const STORE_CALL_CONNECTIONS = 24;
/** For watches of the common keys and of jobs (on a standby, three record prefixes), and connections being closed. */
const STORE_WATCH_CONNECTIONS = 6;
const CLOUD_CONNECTIONS = 8;

/** Client of the key-value store. Watches use separate connections so that they never delay other requests. */
export class StoreClient {
  readonly #endpoint: Endpoint;
  readonly #calls = new HttpClient(STORE_CALL_CONNECTIONS);
  readonly #watches = new HttpClient(STORE_WATCH_CONNECTIONS);

  constructor(endpoint: Endpoint) {
    this.#endpoint = endpoint;
  }

  /** Sends a request. If no response arrives within `timeoutMs`, the outcome is unknown. */
  call(request: StoreRequest, timeoutMs: number, respond: (response: StoreResponse) => void): void {
    const client = request.kind === "watch" && request.waitMs > 0 ? this.#watches : this.#calls;
    client.call(this.#endpoint, encodeStoreRequest(request), timeoutMs, (result) => {
      respond(
        result === null ? { kind: "timeout" } : decodeStoreResponse(request, result.status, result.body),
      );
    });
  }
}

/** Client of the cloud that provisions machines. */
export class CloudClient {
  readonly #endpoint: Endpoint;
  readonly #client = new HttpClient(CLOUD_CONNECTIONS);

  constructor(endpoint: Endpoint) {
    this.#endpoint = endpoint;
  }

  /** Sends a request. If no response arrives in time, the outcome is unknown. */
  call(request: CloudRequest, respond: (response: CloudResponse) => void): void {
    this.#client.call(this.#endpoint, encodeCloudRequest(request), CLOUD_TIMEOUT_MS, (result) => {
      respond(
        result === null ? { kind: "timeout" } : decodeCloudResponse(request, result.status, result.body),
      );
    });
  }
}

/** Sends commands directly to agents, at most one batch per agent at a time. */
export class AgentClient {
  readonly #client: HttpClient;
  readonly #names: NameRegistry;

  /** While `maxConnections` calls are in progress, a further batch fails at once, as if unanswered. */
  constructor(names: NameRegistry, maxConnections: number) {
    this.#client = new HttpClient(1, maxConnections);
    this.#names = names;
  }

  /** Sends a command batch. Reports the heartbeat in the agent's reply, or null, and whether the batch was executed. */
  send(batch: SendAgentCommands, respond: (heartbeat: Heartbeat | null, executed: boolean) => void): void {
    const request = encodeCommandRequest(batch, this.#names);
    this.#client.call(parseEndpoint(batch.address), request, AGENT_TIMEOUT_MS, (result) => {
      if (result === null) respond(null, false);
      else {
        const { heartbeat, executed } = decodeCommandReply(result.status, result.body, this.#names);
        respond(heartbeat, executed);
      }
    });
  }
}
