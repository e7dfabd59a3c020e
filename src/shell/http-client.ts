import http from "node:http";
import type { Socket } from "node:net";
import type { Endpoint } from "../config/settings.js";
import type { HttpRequest } from "../protocol/cloud.js";

export interface HttpAnswer {
  readonly status: number;
  readonly body: unknown;
}

const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/**
 * Calls outside services; every call is answered exactly once, with null when nothing usable came in time. Connections
 * are kept for the next call, up to a bound for all hosts together: beyond it the one that has been idle longest is given up.
 * An `http.Agent` with `maxTotalSockets` gives up none: a fleet larger than its bound filled it with idle connections, and
 * calls to all other machines waited in vain.
 */
export class HttpClient {
  readonly #agent: http.Agent;
  readonly #maxTotal: number;
  /** Open connections, the longest unused first, and whether a call is on them. */
  readonly #sockets = new Map<Socket, boolean>();
  /** Calls that have no connection yet. */
  #starting = 0;

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

  get open(): number {
    return this.#sockets.size;
  }

  /** Sees to it that a call may open a connection; false if every one is in use. */
  #makeRoom(): boolean {
    if (this.#sockets.size + this.#starting < this.#maxTotal) return true;
    for (const [socket, busy] of this.#sockets) {
      if (busy) continue;
      this.#sockets.delete(socket);
      socket.destroy();
      return true;
    }
    return false;
  }

  #hasIdle({ host, port }: Endpoint): boolean {
    return (this.#agent.freeSockets[this.#agent.getName({ host, port })]?.length ?? 0) > 0;
  }

  #use(socket: Socket): void {
    if (!this.#sockets.delete(socket)) socket.once("close", () => this.#sockets.delete(socket));
    this.#sockets.set(socket, true);
  }

  call(to: Endpoint, call: HttpRequest, timeoutMs: number, then: (answer: HttpAnswer | null) => void): void {
    if (!this.#hasIdle(to) && !this.#makeRoom()) {
      setImmediate(() => then(null));
      return;
    }
    let socket: Socket | null = null;
    this.#starting++;
    let over = false;
    const finish = (answer: HttpAnswer | null) => {
      if (over) return;
      over = true;
      clearTimeout(timer);
      if (!socket) this.#starting--;
      else if (this.#sockets.has(socket)) this.#sockets.set(socket, false);
      then(answer);
    };
    const payload = call.body === undefined ? undefined : JSON.stringify(call.body);
    const headers: http.OutgoingHttpHeaders =
      payload === undefined
        ? {}
        : { "content-type": "application/json", "content-length": Buffer.byteLength(payload) };
    const request = http.request(
      { host: to.host, port: to.port, method: call.method, path: call.path, headers, agent: this.#agent },
      (response) => {
        const chunks: Buffer[] = [];
        let size = 0;
        response.on("data", (chunk: Buffer) => {
          size += chunk.length;
          if (size > MAX_ANSWER_BYTES) request.destroy();
          else chunks.push(chunk);
        });
        response.on("end", () => {
          finish({
            status: response.statusCode ?? 0,
            body: parseJson(Buffer.concat(chunks).toString("utf8")),
          });
        });
        response.on("error", () => finish(null));
        response.on("close", () => finish(null));
      },
    );
    const timer = setTimeout(() => {
      request.destroy();
      finish(null);
    }, timeoutMs);
    request.on("socket", (given) => {
      if (over) return;
      socket = given;
      this.#starting--;
      this.#use(given);
    });
    request.on("error", () => finish(null));
    request.end(payload);
  }
}

/** Undefined for what is no JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
