// The state service, as PROTOCOL describes it: versions, transactions, leases, watches, limits.
import { Bucket, listen, nowMs, readJson, reply, sleep } from "./common.mjs";

const SWEEP_MS = 20;
const KEPT_CHANGES = 10_000;
const MAX_BODY = 64 * 1024;
const MAX_PAGE_BYTES = 512 * 1024;

export class StateService {
  ledger = 0;
  requests = 0;
  throttled = 0;
  /** Time that each answer takes. */
  latencyMs;
  #limits;
  #requestsBucket;
  #writesBucket;
  #keys = new Map();
  #log = [];
  #grants = new Map();
  #nextTenure = 1;
  #watches = new Set();

  constructor({ rps, writeRps, valueKb, txnOps, latencyMs = 4 }) {
    this.#limits = { valueBytes: valueKb * 1024, txnOps };
    this.#requestsBucket = new Bucket(rps);
    this.#writesBucket = new Bucket(writeRps);
    this.latencyMs = latencyMs;
  }

  async start() {
    const { server, port } = await listen("127.0.0.1", (req, res) => this.#serve(req, res));
    this.server = server;
    this.port = port;
    setInterval(() => this.#sweep(), SWEEP_MS).unref();
  }

  /** The keys and values under a prefix, for the record only. */
  entries(prefix) {
    return [...this.#keys].filter(([path]) => path.startsWith(prefix)).map(([path, { value }]) => [path, value]);
  }

  #sweep() {
    const now = nowMs();
    for (const [tenure, grant] of this.#grants) if (grant.endsAt <= now) this.#endGrant(tenure);
    for (const watch of this.#watches) this.#answerWatch(watch);
  }

  #endGrant(tenure) {
    this.#grants.delete(tenure);
    const owned = [...this.#keys].filter(([, entry]) => entry.tenure === tenure).map(([path]) => path);
    if (owned.length === 0) return;
    this.ledger++;
    for (const path of owned) this.#delete(path);
  }

  #put(path, value, tenure) {
    this.#keys.set(path, { value, stamp: this.ledger, tenure });
    this.#append({ write: path, value, stamp: this.ledger });
  }

  #delete(path) {
    if (!this.#keys.delete(path)) return;
    this.#append({ delete: path, stamp: this.ledger });
  }

  #append(change) {
    this.#log.push(change);
    if (this.#log.length > KEPT_CHANGES) this.#log.splice(0, this.#log.length - KEPT_CHANGES);
  }

  #entry(path) {
    const { value, stamp, tenure } = this.#keys.get(path);
    return tenure === undefined ? { path, value, stamp } : { path, value, stamp, tenure };
  }

  async #serve(req, res) {
    this.requests++;
    const body = await readJson(req);
    await sleep(this.latencyMs);
    if (!this.#requestsBucket.take()) {
      this.throttled++;
      reply(res, 429, {});
      return;
    }
    const url = new URL(req.url, "http://state");
    const [, root, ...rest] = url.pathname.split("/").map(decodeURIComponent);
    if (root === "keys" && req.method === "GET" && rest.length > 0) this.#get(rest.join("/"), res);
    else if (root === "keys" && req.method === "GET") this.#list(url.searchParams, res);
    else if (root === "multi" && req.method === "POST") this.#multi(body, res);
    else if (root === "grants") this.#grant(req.method, rest, body, res);
    else if (root === "follow") this.#follow(url.searchParams, res);
    else reply(res, 400, { error: "malformed" });
  }

  #get(path, res) {
    if (this.#keys.has(path)) reply(res, 200, this.#entry(path));
    else reply(res, 404, { ledger: this.ledger });
  }

  #list(query, res) {
    const starts = query.get("starts") ?? "";
    const since = query.get("since");
    const limit = Math.min(1000, Number(query.get("page") ?? 1000));
    const paths = [...this.#keys.keys()]
      .filter((path) => path.startsWith(starts) && (since === null || path > since))
      .sort();
    const entries = [];
    let bytes = 0;
    for (const path of paths) {
      const entry = this.#entry(path);
      bytes += JSON.stringify(entry).length;
      if (entries.length === limit || (entries.length > 0 && bytes > MAX_PAGE_BYTES)) break;
      entries.push(entry);
    }
    reply(res, 200, { entries, more: entries.length < paths.length, ledger: this.ledger });
  }

  #multi({ if: conditions = [], then: changes = [] }, res) {
    const { txnOps, valueBytes } = this.#limits;
    const tooLarge = changes.some(
      (change) => "write" in change && Buffer.byteLength(JSON.stringify(change.value)) > valueBytes,
    );
    const bytes = Buffer.byteLength(JSON.stringify({ conditions, changes }));
    if (changes.length > txnOps || conditions.length > 4 * txnOps || tooLarge || bytes > MAX_BODY) {
      reply(res, 400, { error: "over a limit" });
      return;
    }
    if (changes.length > 0 && !this.#writesBucket.take(changes.length)) {
      this.throttled++;
      reply(res, 429, {});
      return;
    }
    if (changes.some(({ tenure }) => tenure !== undefined && !this.#grants.has(tenure))) {
      reply(res, 400, { error: "no such lease" });
      return;
    }
    const failed = conditions
      .filter(({ path, stamp }) => (this.#keys.get(path)?.stamp ?? 0) !== stamp)
      .map(({ path }) => path);
    if (failed.length > 0) {
      reply(res, 409, { failed, ledger: this.ledger });
      return;
    }
    if (changes.length > 0) {
      this.ledger++;
      for (const change of changes) {
        if ("write" in change) this.#put(change.write, change.value, change.tenure);
        else this.#delete(change.delete);
      }
    }
    reply(res, 200, { ledger: this.ledger });
    for (const watch of this.#watches) this.#answerWatch(watch);
  }

  #grant(method, [id, verb], body, res) {
    const now = nowMs();
    if (id === undefined) {
      const tenure = this.#nextTenure++;
      this.#grants.set(tenure, { lifeMs: body.life_ms, endsAt: now + body.life_ms });
      reply(res, 200, { tenure });
      return;
    }
    const tenure = Number(id);
    const grant = this.#grants.get(tenure);
    if (!grant) reply(res, 404, {});
    else if (method === "DELETE") {
      this.#endGrant(tenure);
      reply(res, 200, {});
    } else if (verb === "extend") {
      grant.endsAt = now + grant.lifeMs;
      reply(res, 200, { tenure });
    } else reply(res, 400, { error: "malformed" });
  }

  #follow(query, res) {
    const since = Number(query.get("since"));
    if (this.#log.length === KEPT_CHANGES && since < this.#log[0].stamp - 1) {
      reply(res, 410, { ledger: this.ledger });
      return;
    }
    const endsAt = nowMs() + Math.min(60_000, Number(query.get("hold_ms") ?? 0));
    const watch = { starts: query.get("starts") ?? "", since, endsAt, res };
    this.#watches.add(watch);
    this.#answerWatch(watch);
  }

  #answerWatch(watch) {
    const { starts, since, endsAt, res } = watch;
    if (res.destroyed) {
      this.#watches.delete(watch);
      return;
    }
    const log = this.#changesAfter(since).filter((change) => (change.write ?? change.delete).startsWith(starts));
    if (log.length === 0 && nowMs() < endsAt) return;
    this.#watches.delete(watch);
    reply(res, 200, { ledger: this.ledger, log });
  }

  #changesAfter(since) {
    let index = this.#log.length;
    while (index > 0 && this.#log[index - 1].stamp > since) index--;
    return this.#log.slice(index);
  }
}
