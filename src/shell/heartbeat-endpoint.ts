import type http from "node:http";
import { HEARTBEAT_PATH } from "../protocol/agents.js";
import { notAHeartbeat, tryNextNode } from "../protocol/responses.js";
import type { AgentConnections } from "./agent-connections.js";
import { parseJson } from "./parse-json.js";
import type { RequestHandler } from "./request-handler.js";
import { writeJson, writeResponse } from "./write-response.js";

/** True if a request is an agent's heartbeat. */
export function isHeartbeatRequest(req: http.IncomingMessage): boolean {
  return req.method === "POST" && req.url === HEARTBEAT_PATH;
}

/**
 * Serves agents' heartbeats without Express. Nine in ten requests are heartbeats, and Express with its body parser took
 * a sixth of a leader's CPU time for them (docs/RESULTS.md).
 */
export class HeartbeatEndpoint {
  readonly #handler: RequestHandler;
  readonly #connections: AgentConnections;
  readonly #bodyLimit: number;

  constructor(handler: RequestHandler, connections: AgentConnections, bodyLimit: number) {
    this.#handler = handler;
    this.#connections = connections;
    this.#bodyLimit = bodyLimit;
  }

  /** Answers one heartbeat, or refuses it if too many agents are connected. */
  serve(req: http.IncomingMessage, res: http.ServerResponse): void {
    const admission = this.#connections.admit(req.socket);
    if (admission !== "keep") res.setHeader("connection", "close");
    if (admission === "refuse") writeResponse(res, tryNextNode);
    else this.#readHeartbeat(req, res);
  }

  /**
   * Reads the body and passes it to the handler. An oversized body is not buffered, but is read to its end, because the
   * sender reads no response before it has sent the whole body.
   */
  #readHeartbeat(req: http.IncomingMessage, res: http.ServerResponse): void {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size <= this.#bodyLimit) chunks.push(chunk);
    });
    req.on("end", () => {
      const body = size <= this.#bodyLimit ? parseJson(Buffer.concat(chunks).toString("utf8")) : undefined;
      const isHeartbeat = this.#handler.receiveHeartbeat(body, (status, reply) =>
        writeJson(res, status, reply),
      );
      if (!isHeartbeat) writeResponse(res, notAHeartbeat);
    });
  }
}
