import type { Socket } from "node:net";
import type { SocketShares } from "./sockets.js";

/** Whether a report on a connection is taken, and whether the connection stays open after its answer. */
export type Admission = "keep" | "close" | "refuse";

/**
 * Which connections are workers'. After a restart one node may have the whole fleet at its door, with more workers than
 * connections: every report is answered all the same, but beyond a bound the connection is closed with the answer, and
 * the worker opens another one for its next report. Only when so many reports wait for their answers that probes and users would
 * be turned away is a report refused, and its worker sent to the next node.
 */
export class AgentConnections {
  readonly #shares: SocketShares;
  readonly #open = new Set<Socket>();

  constructor(shares: SocketShares) {
    this.#shares = shares;
  }

  admit(socket: Socket): Admission {
    if (this.#open.has(socket)) return "keep";
    if (this.#open.size >= this.#shares.workersIn) return "refuse";
    this.#open.add(socket);
    socket.once("close", () => this.#open.delete(socket));
    return this.#open.size <= this.#shares.workersKept ? "keep" : "close";
  }
}
