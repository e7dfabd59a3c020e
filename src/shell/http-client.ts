import http from "node:http";
import type { Socket } from "node:net";
import type { Endpoint } from "../config/settings.js";
import type { HttpRequest } from "../protocol/http.js";
import { parseJson } from "./parse-json.js";

/** The response of an external service; the body is undefined if it is not JSON. */
export interface HttpResult {
  readonly status: number;
  readonly body: unknown;
}

type Respond = (result: HttpResult | null) => void;

const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/**
 * Calls external services. Every call is answered exactly once, with null if no complete response arrived in time.
 * Connections are reused, up to a limit over all hosts; at the limit the connection that has been idle longest is
 * closed. `maxTotalSockets` of `http.Agent` does not do so: with more machines than the limit, idle connections would
 * exhaust it and calls to all other machines would wait forever.
 */
export class HttpClient {
  readonly #agent: http.Agent;
  readonly #maxTotal: number;
  /** Open connections, least recently used first, and whether each is in use by a call. */
  readonly #sockets = new Map<Socket, boolean>();
  /** Number of calls that have no connection yet. */
  #connecting = 0;

  /** Calls beyond `maxPerHost` are queued; calls that would need a connection beyond `maxTotal` fail at once. */
  constructor(maxPerHost: number, maxTotal = Number.POSITIVE_INFINITY) {
    this.#maxTotal = maxTotal;
    this.#agent = new http.Agent({
      keepAlive: true,
      maxSockets: maxPerHost,
      maxFreeSockets: maxPerHost,
      scheduling: "lifo",
    });
  }

  /** Number of open connections. */
  get openConnections(): number {
    return this.#sockets.size;
  }

  /** Sends a request. `respond` is called once, with null if no complete response arrived within `timeoutMs`. */
  call(endpoint: Endpoint, call: HttpRequest, timeoutMs: number, respond: Respond): void {
    if (!this.#hasIdleConnection(endpoint) && !this.#ensureCapacity()) {
      setImmediate(() => respond(null));
      return;
    }
    let socket: Socket | null = null;
    this.#connecting++;
    let isFinished = false;
    const finish: Respond = (result) => {
      if (isFinished) return;
      isFinished = true;
      clearTimeout(timer);
      if (!socket) this.#connecting--;
      else if (this.#sockets.has(socket)) this.#sockets.set(socket, false);
      respond(result);
    };
    const payload = call.body === undefined ? undefined : JSON.stringify(call.body);
    const request = http.request(this.#requestOptions(endpoint, call, payload), (response) =>
      readResponse(request, response, finish),
    );
    const timer = setTimeout(() => {
      request.destroy();
      finish(null);
    }, timeoutMs);
    request.on("socket", (assigned) => {
      if (isFinished) return;
      socket = assigned;
      this.#connecting--;
      this.#markBusy(assigned);
    });
    request.on("error", () => finish(null));
    request.end(payload);
  }

  /** True if a call may open a connection, closing the one that has been idle longest if needed. */
  #ensureCapacity(): boolean {
    if (this.#sockets.size + this.#connecting < this.#maxTotal) return true;
    for (const [socket, isBusy] of this.#sockets) {
      if (isBusy) continue;
      this.#sockets.delete(socket);
      socket.destroy();
      return true;
    }
    return false;
  }

  #hasIdleConnection({ host, port }: Endpoint): boolean {
    return (this.#agent.freeSockets[this.#agent.getName({ host, port })]?.length ?? 0) > 0;
  }

  /** Marks a connection as busy and moves it to the end of the map, as the most recently used. */
  #markBusy(socket: Socket): void {
    if (!this.#sockets.delete(socket)) socket.once("close", () => this.#sockets.delete(socket));
    this.#sockets.set(socket, true);
  }

  #requestOptions({ host, port }: Endpoint, call: HttpRequest, payload: string | undefined) {
    const headers: http.OutgoingHttpHeaders =
      payload === undefined
        ? {}
        : { "content-type": "application/json", "content-length": Buffer.byteLength(payload) };
    return { host, port, method: call.method, path: call.path, headers, agent: this.#agent };
  }
}

/** Reads the response; an oversized one is aborted and counts as unanswered. */
function readResponse(request: http.ClientRequest, response: http.IncomingMessage, finish: Respond): void {
  const chunks: Buffer[] = [];
  let size = 0;
  response.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size > MAX_RESPONSE_BYTES) request.destroy();
    else chunks.push(chunk);
  });
  response.on("end", () => {
    finish({ status: response.statusCode ?? 0, body: parseJson(Buffer.concat(chunks).toString("utf8")) });
  });
  response.on("error", () => finish(null));
  response.on("close", () => finish(null));
}
