import type http from "node:http";
import type { StoreChange, StoreEntry, StoreRequest, WatchEvent } from "../../src/core/messages/store.js";
import { FakeStore } from "../../test/support/fake-store.js";
import { createAsyncServer, readBody, reply } from "./http.js";

const SWEEP_MS = 25;
const PAGE_SIZE = 500;

interface Watch {
  readonly prefix: string;
  readonly after: number;
  readonly res: http.ServerResponse;
  readonly timeoutAt: number;
}

type StoreCall = Exclude<StoreRequest, { kind: "watch" }>;

/** A change in wire format. */
type WireChange =
  | { readonly write: string; readonly value: unknown; readonly tenure?: number }
  | { readonly delete: string };

/** The body of a request in wire format; each kind of request has some of these fields. */
interface WireBody {
  readonly if?: readonly { readonly path: string; readonly stamp: number }[];
  readonly then?: readonly WireChange[];
  readonly life_ms?: number;
}

/** Serves the tests' in-memory fake of the key-value store over the wire protocol, in real time. */
export class StoreServer {
  readonly store = new FakeStore();
  /** Number of requests received. */
  requests = 0;
  /** Number of requests rejected for exceeding the rate limit. */
  throttled = 0;
  /** Maximum number of requests per second, with bursts of up to one second's worth. */
  rps = Number.POSITIVE_INFINITY;
  #tokens = 0;
  #tokensAt = 0;
  #watches: Watch[] = [];
  readonly #server = createAsyncServer((req, res) => this.#serve(req, res));

  /** Listens, expires leases and responds to watches until the process exits. */
  listen(port: number): void {
    this.store.pageSize = PAGE_SIZE;
    this.#server.listen(port, "127.0.0.1");
    setInterval(() => {
      this.store.expire(performance.now());
      this.#respondToWatches();
    }, SWEEP_MS);
  }

  async #serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    this.requests++;
    const body = (await readBody(req)) as WireBody;
    if (!this.#takeToken()) {
      this.throttled++;
      reply(res, 429, {});
      return;
    }
    const url = new URL(req.url ?? "/", "http://state");
    const path = url.pathname.split("/").slice(1).map(decodeURIComponent);
    if (path[0] === "follow") {
      this.#addWatch(url.searchParams, res);
      return;
    }
    const call = decodeCall(req.method ?? "", path, url.searchParams, body);
    if (call === null) {
      reply(res, 400, { error: "malformed" });
      return;
    }
    const [status, answer] = this.#run(call);
    reply(res, status, answer);
    if (call.kind === "transaction" || call.kind === "revokeLease") this.#respondToWatches();
  }

  /** Takes a token from a bucket that holds up to one second's worth of requests; returns false if it is empty. */
  #takeToken(): boolean {
    if (!Number.isFinite(this.rps)) return true;
    const now = performance.now();
    const refilled = ((now - this.#tokensAt) * this.rps) / 1000;
    this.#tokens = Math.min(this.rps, this.#tokens + refilled);
    this.#tokensAt = now;
    if (this.#tokens < 1) return false;
    this.#tokens--;
    return true;
  }

  #addWatch(query: URLSearchParams, res: http.ServerResponse): void {
    this.#watches.push({
      prefix: query.get("starts") ?? "",
      after: Number(query.get("since")),
      res,
      timeoutAt: performance.now() + Number(query.get("hold_ms") ?? 0),
    });
    this.#respondToWatches();
  }

  #run(call: StoreCall): [status: number, body: unknown] {
    const answer = this.store.run(call, performance.now());
    const ledger = this.store.revision;
    switch (answer.kind) {
      case "ok":
        return [200, { ledger: answer.revision }];
      case "conflict":
        return [409, { failed: answer.failed, ledger }];
      case "found":
        return [200, encodeEntry(answer.entry)];
      case "page":
        return [
          200,
          { entries: answer.entries.map(encodeEntry), more: answer.more, ledger: answer.revision },
        ];
      case "leaseGranted":
        return [200, { tenure: answer.leaseId }];
      case "notFound":
        return [404, { ledger }];
      case "invalid":
        return [400, { error: answer.reason }];
      case "throttled":
        return [429, {}];
      case "unavailable":
      // The fake store returns none of the following for a call.
      case "compacted":
      case "events":
      case "timeout":
        return [503, {}];
    }
  }

  #respondToWatches(): void {
    const now = performance.now();
    this.#watches = this.#watches.filter((watch) => {
      const found = this.store.changesSince(watch.prefix, watch.after);
      if (found === null && now < watch.timeoutAt) return !watch.res.destroyed;
      const events = found?.kind === "events" ? found.events : [];
      reply(watch.res, 200, { ledger: this.store.revision, log: events.map(encodeEvent) });
      return false;
    });
  }
}

function encodeEntry({ key, value, version }: StoreEntry): object {
  return { path: key, value, stamp: version };
}

function encodeEvent(event: WatchEvent): object {
  return event.kind === "put"
    ? { write: event.entry.key, value: event.entry.value, stamp: event.entry.version }
    : { delete: event.key, stamp: event.version };
}

/** Decodes a request into a store call; returns null if it is not a valid request. */
function decodeCall(
  method: string,
  [root = "", ...rest]: readonly string[],
  query: URLSearchParams,
  body: WireBody,
): StoreCall | null {
  switch (root) {
    case "keys":
      return rest.length === 0
        ? { kind: "list", prefix: query.get("starts") ?? "", after: query.get("since") }
        : { kind: "get", key: rest.join("/") };
    case "multi":
      return decodeTransaction(body);
    case "grants":
      return decodeLeaseCall(method, rest[0], body);
    default:
      return null;
  }
}

function decodeTransaction(body: WireBody): StoreCall {
  return {
    kind: "transaction",
    conditions: (body.if ?? []).map(({ path, stamp }) => ({ key: path, version: stamp })),
    changes: (body.then ?? []).map(decodeChange),
  };
}

function decodeChange(change: WireChange): StoreChange {
  if ("delete" in change) return { remove: change.delete };
  const put = { put: change.write, value: change.value };
  return change.tenure === undefined ? put : { ...put, leaseId: change.tenure };
}

function decodeLeaseCall(method: string, lease: string | undefined, body: WireBody): StoreCall {
  if (lease === undefined) return { kind: "grantLease", ttlMs: Number(body.life_ms) };
  const leaseId = Number(lease);
  return method === "DELETE" ? { kind: "revokeLease", leaseId } : { kind: "renewLease", leaseId };
}
