import http from "node:http";
import type { Endpoint } from "../config/settings.js";
import type { HttpCall } from "../protocol/cloud.js";

export interface HttpAnswer {
  readonly status: number;
  readonly body: unknown;
}

const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Calls one outside service; every call is answered exactly once, with null when nothing usable came in time. */
export class HttpClient {
  readonly #agent: http.Agent;

  constructor(maxSocketsPerHost: number, maxTotalSockets: number) {
    this.#agent = new http.Agent({
      keepAlive: true,
      maxSockets: maxSocketsPerHost,
      maxTotalSockets,
      maxFreeSockets: maxSocketsPerHost,
      scheduling: "lifo",
    });
  }

  call(to: Endpoint, call: HttpCall, timeoutMs: number, then: (answer: HttpAnswer | null) => void): void {
    let over = false;
    const finish = (answer: HttpAnswer | null) => {
      if (over) return;
      over = true;
      clearTimeout(timer);
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
