import http from "node:http";
import { readBody, reply } from "./http.js";
import type { WorkerFleet } from "./worker-fleet.js";

const PAGE = 500;

/** A cloud with a fixed number of machines, all of them up: it rents no more. */
export class CloudServer {
  requests = 0;
  readonly #fleet: WorkerFleet;
  readonly #server = http.createServer((req, res) => this.#serve(req, res));

  constructor(fleet: WorkerFleet) {
    this.#fleet = fleet;
  }

  listen(port: number): void {
    this.#server.listen(port, "127.0.0.1");
  }

  async #serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    this.requests++;
    await readBody(req);
    const url = new URL(req.url ?? "/", "http://cloud");
    if (url.pathname === "/machine_types") reply(res, 200, { racks: [RACK] });
    else if (req.method === "GET") {
      const since = url.searchParams.get("since") ?? "";
      const rest = this.#fleet.workers.filter(({ name }) => name > since);
      const hosts = rest.slice(0, PAGE).map((worker) => ({
        uid: worker.name,
        address: worker.address,
        rack: RACK.name,
        yard: "a",
        loaners: false,
        phase: "running",
        age_s: 60,
      }));
      reply(res, 200, { hosts, more: rest.length > PAGE });
    } else if (url.pathname === "/machines") reply(res, 503, { error: "no capacity" });
    else reply(res, 200, {});
  }
}

const RACK = {
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
