import http from "node:http";
import type { StoreRequest } from "../../src/core/messages/store.js";
import { FakeStore } from "../../test/support/fake-store.js";
import { readBody, reply } from "./http.js";

const SWEEP_MS = 25;

interface Follow {
  readonly prefix: string;
  readonly after: number;
  readonly res: http.ServerResponse;
  readonly until: number;
}

/** The state service as a process of its own would serve it: the model's store behind the wire protocol. */
export class StateServer {
  readonly store = new FakeStore();
  requests = 0;
  /** Requests refused for their rate. */
  refused = 0;
  /** The most requests a second; bursts of one second's worth are taken. */
  rps = Number.POSITIVE_INFINITY;
  #requestsLeft = 0;
  #requestsAt = 0;
  #follows: Follow[] = [];
  readonly #server = http.createServer((req, res) => this.#serve(req, res));

  listen(port: number): void {
    this.store.pageSize = 500;
    this.#server.listen(port, "127.0.0.1");
    setInterval(() => {
      this.store.expire(performance.now());
      this.#answerFollows();
    }, SWEEP_MS);
  }

  async #serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    this.requests++;
    const body = (await readBody(req)) as Record<string, never>;
    if (!this.#takes()) {
      this.refused++;
      reply(res, 429, {});
      return;
    }
    const url = new URL(req.url ?? "/", "http://state");
    const parts = url.pathname.split("/").slice(1);
    const query = url.searchParams;
    if (parts[0] === "follow") {
      this.#follows.push({
        prefix: query.get("starts") ?? "",
        after: Number(query.get("since")),
        res,
        until: performance.now() + Number(query.get("hold_ms") ?? 0),
      });
      this.#answerFollows();
      return;
    }
    const call = readCall(req.method ?? "", parts, query, body);
    if (call === null) {
      reply(res, 400, { error: "malformed" });
      return;
    }
    const [status, answer] = this.#run(call);
    reply(res, status, answer);
    if (call.kind === "transaction" || call.kind === "revokeLease") this.#answerFollows();
  }

  #takes(): boolean {
    if (!Number.isFinite(this.rps)) return true;
    const now = performance.now();
    const earned = ((now - this.#requestsAt) * this.rps) / 1000;
    this.#requestsLeft = Math.min(this.rps, this.#requestsLeft + earned);
    this.#requestsAt = now;
    if (this.#requestsLeft < 1) return false;
    this.#requestsLeft--;
    return true;
  }

  #run(call: Exclude<StoreRequest, { kind: "watch" }>): [number, unknown] {
    const answer = this.store.run(call, performance.now());
    const ledger = this.store.revision;
    switch (answer.kind) {
      case "ok":
        return [200, { ledger: answer.revision }];
      case "conflict":
        return [409, { failed: answer.failed, ledger }];
      case "found":
        return [200, encodeItem(answer.entry)];
      case "page":
        return [200, { entries: answer.entries.map(encodeItem), more: answer.more, ledger: answer.revision }];
      case "leaseGranted":
        return [200, { tenure: answer.leaseId }];
      case "notFound":
        return [404, { ledger }];
      case "invalid":
        return [400, { error: answer.reason }];
      case "throttled":
        return [429, {}];
      default:
        return [503, {}];
    }
  }

  #answerFollows(): void {
    const now = performance.now();
    this.#follows = this.#follows.filter((follow) => {
      const found = this.store.changesSince(follow.prefix, follow.after);
      if (found === null && now < follow.until) return !follow.res.destroyed;
      const events = found?.kind === "events" ? found.events : [];
      const log = events.map((event) =>
        event.kind === "put"
          ? { write: event.entry.key, value: event.entry.value, stamp: event.entry.version }
          : { delete: event.key, stamp: event.version },
      );
      reply(follow.res, 200, { ledger: this.store.revision, log });
      return false;
    });
  }
}

function encodeItem({ key, value, version }: { key: string; value: unknown; version: number }) {
  return { path: key, value, stamp: version };
}

/** A request in the words of the protocol, as the store's call; null if it is none. */
function readCall(
  method: string,
  parts: readonly string[],
  query: URLSearchParams,
  body: Record<string, never>,
): Exclude<StoreRequest, { kind: "watch" }> | null {
  const [root, ...rest] = parts.map(decodeURIComponent);
  if (root === "keys" && rest.length === 0)
    return { kind: "list", prefix: query.get("starts") ?? "", after: query.get("since") };
  if (root === "keys") return { kind: "get", key: rest.join("/") };
  if (root === "multi") {
    const conditions: { path: string; stamp: number }[] = body.if ?? [];
    const changes: ({ write: string; value: unknown; tenure?: number } | { delete: string })[] =
      body.then ?? [];
    return {
      kind: "transaction",
      conditions: conditions.map(({ path, stamp }) => ({ key: path, version: stamp })),
      changes: changes.map((change) => {
        if ("delete" in change) return { remove: change.delete };
        const put = { put: change.write, value: change.value };
        return change.tenure === undefined ? put : { ...put, grant: change.tenure };
      }),
    };
  }
  if (root !== "grants") return null;
  const grant = Number(rest[0]);
  if (rest.length === 0) return { kind: "grantLease", ttlMs: Number(body.life_ms) };
  return method === "DELETE"
    ? { kind: "revokeLease", leaseId: grant }
    : { kind: "renewLease", leaseId: grant };
}
