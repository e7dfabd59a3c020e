import type { Socket } from "node:net";
import type { SocketAllocation } from "./sockets.js";

/** Whether to accept a heartbeat, and whether to keep its connection open after the response. */
export type ConnectionAdmission = "keep" | "close" | "refuse";

/**
 * Limits the inbound connections of agents. After a restart one node may serve the whole fleet, with more agents than
 * connections. Beyond `agentsKeptOpen` connections it still answers each heartbeat, but closes the connection with the
 * response, and the agent reconnects for its next heartbeat. Beyond `agentsInbound` connections it refuses heartbeats,
 * to keep connections free for probes and users, and the refused agent tries the next node.
 */
export class AgentConnections {
  readonly #limits: SocketAllocation;
  readonly #open = new Set<Socket>();

  constructor(limits: SocketAllocation) {
    this.#limits = limits;
  }

  /** Decides whether to accept a heartbeat received on a connection. */
  admit(socket: Socket): ConnectionAdmission {
    if (this.#open.has(socket)) return "keep";
    if (this.#open.size >= this.#limits.agentsInbound) return "refuse";
    this.#open.add(socket);
    socket.once("close", () => this.#open.delete(socket));
    return this.#open.size <= this.#limits.agentsKeptOpen ? "keep" : "close";
  }
}
