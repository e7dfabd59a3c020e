import type http from "node:http";
import type { AgentFleet } from "./agent-fleet.js";
import { createAsyncServer, readBody, reply } from "./http.js";

const PAGE_SIZE = 500;
const MACHINE_AGE_S = 60;

/** The only machine type, in wire format. */
const MACHINE_TYPE = {
  name: "r16",
  cpus: 16,
  gpus: 0,
  ram_gb: 64,
  cache_gb: 100,
  fetch_gb_per_s: 100,
  hourly: 1,
  market_price: 0.3,
  startup_s: 20,
  yards: ["a"],
};

/** A fake cloud with a fixed set of running machines: it has no capacity for more, and terminating has no effect. */
export class CloudServer {
  readonly #fleet: AgentFleet;
  readonly #server = createAsyncServer((req, res) => this.#serve(req, res));

  constructor(fleet: AgentFleet) {
    this.#fleet = fleet;
  }

  /** Listens until the process exits. */
  listen(port: number): void {
    this.#server.listen(port, "127.0.0.1");
  }

  async #serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    await readBody(req);
    const url = new URL(req.url ?? "/", "http://cloud");
    if (url.pathname === "/machine_types") reply(res, 200, { racks: [MACHINE_TYPE] });
    else if (req.method === "GET") reply(res, 200, this.#listMachines(url.searchParams.get("since") ?? ""));
    else if (url.pathname === "/machines") reply(res, 503, { error: "no capacity" });
    else reply(res, 200, {});
  }

  #listMachines(after: string): object {
    const rest = this.#fleet.agents.filter(({ machine }) => machine > after);
    const hosts = rest.slice(0, PAGE_SIZE).map(({ machine, address }) => ({
      uid: machine,
      address,
      rack: MACHINE_TYPE.name,
      yard: "a",
      loaners: false,
      phase: "running",
      age_s: MACHINE_AGE_S,
    }));
    return { hosts, more: rest.length > PAGE_SIZE };
  }
}
