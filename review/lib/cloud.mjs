// The cloud: a fixed set of machines and no capacity for more, unless a case says otherwise.
import { Bucket, listen, nowMs, readJson, reply, sleep } from "./common.mjs";

export class Cloud {
  #types;
  #record;
  #lagMs;
  #latencyMs;
  #bucket;
  /** Machines by name, with the time of their rental and, once gone, of their end. */
  machines = new Map();

  constructor({ types, record, rps, listLagS, latencyMs = 50 }) {
    this.#types = types;
    this.#record = record;
    this.#lagMs = listLagS * 1000;
    this.#latencyMs = latencyMs;
    this.#bucket = new Bucket(rps, 2);
  }

  async start() {
    const { server, port } = await listen("127.0.0.1", (req, res) => this.#serve(req, res));
    this.server = server;
    this.port = port;
  }

  /** Adds a machine that was rented `ageS` ago and whose worker is `worker`. */
  add(worker, ageS = 120) {
    this.machines.set(worker.host, { worker, bornMs: nowMs() - ageS * 1000, goneMs: null });
  }

  /** The machine is gone from now on; the list shows that later. */
  remove(host) {
    const machine = this.machines.get(host);
    if (!machine || machine.goneMs !== null) return;
    machine.goneMs = nowMs();
    machine.worker.die();
  }

  async #serve(req, res) {
    const body = await readJson(req);
    await sleep(this.#latencyMs);
    if (!this.#bucket.take()) {
      reply(res, 429, {});
      return;
    }
    const url = new URL(req.url, "http://cloud");
    if (url.pathname === "/machine_types") reply(res, 200, { racks: this.#types });
    else if (url.pathname === "/machines/release") {
      this.#record.line(`cloud: release ${body.hosts.join(" ")}`);
      for (const host of body.hosts) this.remove(host);
      reply(res, 200, {});
    } else if (url.pathname === "/machines" && req.method === "POST") {
      this.#record.line(`cloud: rental of ${body.count} ${body.rack} in ${body.yard} refused, no capacity`);
      reply(res, 503, { error: "no capacity" });
    } else if (url.pathname === "/machines") this.#list(url.searchParams, res);
    else reply(res, 400, { error: "malformed" });
  }

  #list(query, res) {
    const at = nowMs() - this.#lagMs;
    const since = query.get("since") ?? "";
    const limit = Math.min(500, Number(query.get("page") ?? 500));
    const listed = [...this.machines]
      .filter(([host, { bornMs, goneMs }]) => host > since && bornMs <= at && (goneMs === null || goneMs > at))
      .sort(([a], [b]) => (a < b ? -1 : 1));
    const hosts = listed.slice(0, limit).map(([host, { worker, bornMs }]) => ({
      uid: host,
      address: worker.address,
      rack: worker.rack,
      yard: worker.yard,
      loaners: worker.loaners,
      phase: "running",
      age_s: (at - bornMs) / 1000,
    }));
    reply(res, 200, { hosts, more: listed.length > limit });
  }
}
