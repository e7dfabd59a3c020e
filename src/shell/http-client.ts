import http from "node:http";
import type { Socket } from "node:net";
import type { Endpoint } from "../config/settings.js";
import type { HttpRequest } from "../protocol/http.js";
import { parseJson } from "./parse-json.js";

/** What an outside service answered; the body is undefined if it is not JSON. */
export interface HttpResult {
  readonly status: number;
  readonly body: unknown;
}

type Respond = (answer: HttpResult | null) => void;

const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/**
 * Calls outside services; every call is answered exactly once, with null when nothing usable came in time. Connections
 * are kept for the next call, up to a bound for all hosts together: beyond it the one that has been idle longest is closed.
 * An `http.Agent` with `maxTotalSockets` closes none: a fleet larger than its bound would fill it with idle connections,
 * and calls to all other machines would wait in vain.
 */
export class HttpClient {
  readonly #agent: http.Agent;
  readonly #maxTotal: number;
  /** Open connections, the longest unused first, and whether a call is on them. */
  readonly #sockets = new Map<Socket, boolean>();
  /** Calls that have no connection yet. */
  #connecting = 0;

  /** Calls beyond `maxPerHost` queue; calls to another host beyond `maxTotal` count as unanswered at once. */
  constructor(maxPerHost: number, maxTotal = Number.POSITIVE_INFINITY) {
    this.#maxTotal = maxTotal;
    this.#agent = new http.Agent({
      keepAlive: true,
      maxSockets: maxPerHost,
      maxFreeSockets: maxPerHost,
      scheduling: "lifo",
    });
  }

  /** How many connections are open. */
  get openConnections(): number {
    return this.#sockets.size;
  }

  /** Sends a request; `respond` is called once, with null if no complete answer came within `timeoutMs`. */
  call(endpoint: Endpoint, call: HttpRequest, timeoutMs: number, respond: Respond): void {
    if (!this.#hasIdleConnection(endpoint) && !this.#canConnect()) {
      setImmediate(() => respond(null));
      return;
    }
    let socket: Socket | null = null;
    this.#connecting++;
    let isFinished = false;
    const finish: Respond = (answer) => {
      if (isFinished) return;
      isFinished = true;
      clearTimeout(timer);
      if (!socket) this.#connecting--;
      else if (this.#sockets.has(socket)) this.#sockets.set(socket, false);
      respond(answer);
    };
    const payload = call.body === undefined ? undefined : JSON.stringify(call.body);
    const request = http.request(this.#requestOptions(endpoint, call, payload), (response) =>
      readAnswer(request, response, finish),
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

  /** Whether a call may open a connection; closes the longest idle one if that is what it takes. */
  #canConnect(): boolean {
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

  /** Moves a connection to the end of the map: it is the one used last. */
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

/** Collects the answer; one that is too large is cut off and counts as none. */
function readAnswer(request: http.ClientRequest, response: http.IncomingMessage, finish: Respond): void {
  const chunks: Buffer[] = [];
  let size = 0;
  response.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size > MAX_ANSWER_BYTES) request.destroy();
    else chunks.push(chunk);
  });
  response.on("end", () => {
    finish({ status: response.statusCode ?? 0, body: parseJson(Buffer.concat(chunks).toString("utf8")) });
  });
  response.on("error", () => finish(null));
  response.on("close", () => finish(null));
}
