import type { Socket } from "node:net";
import type { SocketShares } from "./sockets.js";

/** Whether a heartbeat on a connection is taken, and whether the connection stays open after its answer. */
export type ConnectionAdmission = "keep" | "close" | "refuse";

/**
 * Which connections are agents'. After a restart one node may serve the whole fleet, with more agents than
 * connections: every heartbeat is answered all the same, but beyond a bound the connection is closed with the answer, and
 * the agent opens another one for its next heartbeat. Only when so many heartbeats await their answers that probes and
 * users would be turned away is a heartbeat refused, and its agent sent to the next node.
 */
export class AgentConnections {
  readonly #shares: SocketShares;
  readonly #open = new Set<Socket>();

  constructor(shares: SocketShares) {
    this.#shares = shares;
  }

  /** Decides about a heartbeat that has come on a connection. */
  admit(socket: Socket): ConnectionAdmission {
    if (this.#open.has(socket)) return "keep";
    if (this.#open.size >= this.#shares.agentsInbound) return "refuse";
    this.#open.add(socket);
    socket.once("close", () => this.#open.delete(socket));
    return this.#open.size <= this.#shares.agentsKeptOpen ? "keep" : "close";
  }
}
