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
/** The common keys, the jobs or, on the standby, three prefixes of records; and some for those that are being closed. */
const STORE_WATCH_CONNECTIONS = 6;
const CLOUD_CONNECTIONS = 8;

/** The key-value store. Watches have connections of their own, so that they never delay a call. */
export class StoreClient {
  readonly #endpoint: Endpoint;
  readonly #calls = new HttpClient(STORE_CALL_CONNECTIONS);
  readonly #watches = new HttpClient(STORE_WATCH_CONNECTIONS);

  constructor(endpoint: Endpoint) {
    this.#endpoint = endpoint;
  }

  /** Sends a request; without an answer within `timeoutMs` its outcome is unknown. */
  call(request: StoreRequest, timeoutMs: number, respond: (response: StoreResponse) => void): void {
    const client = request.kind === "watch" && request.waitMs > 0 ? this.#watches : this.#calls;
    client.call(this.#endpoint, encodeStoreRequest(request), timeoutMs, (answer) => {
      respond(
        answer === null ? { kind: "timeout" } : decodeStoreResponse(request, answer.status, answer.body),
      );
    });
  }
}

/** The cloud that machines are provisioned from. */
export class CloudClient {
  readonly #endpoint: Endpoint;
  readonly #client = new HttpClient(CLOUD_CONNECTIONS);

  constructor(endpoint: Endpoint) {
    this.#endpoint = endpoint;
  }

  /** Sends a request; without an answer in time its outcome is unknown. */
  call(request: CloudRequest, respond: (response: CloudResponse) => void): void {
    this.#client.call(this.#endpoint, encodeCloudRequest(request), CLOUD_TIMEOUT_MS, (answer) => {
      respond(
        answer === null ? { kind: "timeout" } : decodeCloudResponse(request, answer.status, answer.body),
      );
    });
  }
}

/** The machines' agents, for commands that are sent to them directly. One command batch per agent is under way. */
export class AgentClient {
  readonly #client: HttpClient;
  readonly #names: NameRegistry;

  /** With `maxConnections` in use a further batch counts as unanswered at once. */
  constructor(names: NameRegistry, maxConnections: number) {
    this.#client = new HttpClient(1, maxConnections);
    this.#names = names;
  }

  /** Sends a command batch; the agent's heartbeat that came in reply, null if none did, and whether it was executed. */
  send(batch: SendAgentCommands, respond: (heartbeat: Heartbeat | null, executed: boolean) => void): void {
    const request = encodeCommandRequest(batch, this.#names);
    this.#client.call(parseEndpoint(batch.address), request, AGENT_TIMEOUT_MS, (answer) => {
      if (answer === null) respond(null, false);
      else {
        const { heartbeat, executed } = decodeCommandReply(answer.status, answer.body, this.#names);
        respond(heartbeat, executed);
      }
    });
  }
}
