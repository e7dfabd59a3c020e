import * as v from "valibot";
import type {
  StoreChange,
  StoreEntry,
  StoreRequest,
  StoreResponse,
  WatchEvent,
} from "../core/messages/store.js";
import type { HttpRequest } from "./http.js";

/** Encodes requests to the key-value store and decodes its responses. Maps the store API's names to internal terms. */

const entrySchema = v.object({ path: v.string(), value: v.unknown(), stamp: v.number() });
const revisionSchema = v.object({ ledger: v.number() });
const pageSchema = v.object({
  entries: v.array(entrySchema),
  more: v.nullish(v.boolean(), false),
  ledger: v.number(),
});
const conflictSchema = v.object({ failed: v.array(v.string()) });
const leaseSchema = v.object({ tenure: v.number() });
const eventSchema = v.union([
  v.object({ write: v.string(), value: v.unknown(), stamp: v.number() }),
  v.object({ delete: v.string(), stamp: v.number() }),
]);
const eventsSchema = v.object({ ledger: v.number(), log: v.array(eventSchema) });

const PAGE_SIZE = 500;
const MAX_REASON_CHARS = 200;
/** A malformed response leaves the outcome unknown, like no response. */
const UNREADABLE: StoreResponse = { kind: "timeout" };

function encodeChange(change: StoreChange): Record<string, unknown> {
  if ("remove" in change) return { delete: change.remove };
  const put = { write: change.put, value: change.value };
  return change.leaseId === undefined ? put : { ...put, tenure: change.leaseId };
}

/** Encodes a request to the store. */
export function encodeStoreRequest(request: StoreRequest): HttpRequest {
  switch (request.kind) {
    case "transaction":
      return {
        method: "POST",
        path: "/multi",
        body: {
          if: request.conditions.map(({ key, version }) => ({ path: key, stamp: version })),
          // biome-ignore lint/suspicious/noThenProperty: field name of the store API
          then: request.changes.length > 0 ? request.changes.map(encodeChange) : undefined,
        },
      };
    case "get":
      return { method: "GET", path: `/keys/${request.key.split("/").map(encodeURIComponent).join("/")}` };
    case "list": {
      const prefix = encodeURIComponent(request.prefix);
      const since = request.after === null ? "" : `&since=${encodeURIComponent(request.after)}`;
      return { method: "GET", path: `/keys?starts=${prefix}${since}&page=${PAGE_SIZE}` };
    }
    case "grantLease":
      return { method: "POST", path: "/grants", body: { life_ms: request.ttlMs } };
    case "renewLease":
      return { method: "POST", path: `/grants/${request.leaseId}/extend`, body: {} };
    case "revokeLease":
      return { method: "DELETE", path: `/grants/${request.leaseId}` };
    case "watch": {
      const prefix = encodeURIComponent(request.prefix);
      const path = `/follow?starts=${prefix}&since=${request.after}&hold_ms=${request.waitMs}`;
      return { method: "GET", path };
    }
  }
}

/** Decodes the store's response to a request. */
export function decodeStoreResponse(request: StoreRequest, status: number, body: unknown): StoreResponse {
  return status === 200 ? decodeSuccess(request, body) : decodeFailure(request, status, body);
}

function decodeFailure(request: StoreRequest, status: number, body: unknown): StoreResponse {
  switch (status) {
    case 400:
      return { kind: "invalid", reason: JSON.stringify(body ?? null).slice(0, MAX_REASON_CHARS) };
    case 404:
      return { kind: "notFound" };
    case 409:
      return request.kind === "transaction" ? decodeConflict(body) : UNREADABLE;
    case 410:
      return request.kind === "watch" ? { kind: "compacted" } : UNREADABLE;
    case 429:
      return { kind: "throttled" };
    case 503:
      return { kind: "unavailable", reason: `status ${status}` };
    default:
      return UNREADABLE;
  }
}

function decodeSuccess(request: StoreRequest, body: unknown): StoreResponse {
  switch (request.kind) {
    case "transaction":
      return decodeCommit(body);
    case "get":
      return decodeFound(body);
    case "list":
      return decodePage(body);
    case "grantLease":
      return decodeLease(body);
    case "renewLease":
    case "revokeLease":
      return { kind: "ok", revision: 0 };
    case "watch":
      return decodeEvents(body);
  }
}

function decodeConflict(body: unknown): StoreResponse {
  const result = v.safeParse(conflictSchema, body);
  return result.success ? { kind: "conflict", failed: result.output.failed } : UNREADABLE;
}

function decodeCommit(body: unknown): StoreResponse {
  const result = v.safeParse(revisionSchema, body);
  return result.success ? { kind: "ok", revision: result.output.ledger } : UNREADABLE;
}

function decodeFound(body: unknown): StoreResponse {
  const result = v.safeParse(entrySchema, body);
  return result.success ? { kind: "found", entry: decodeEntry(result.output) } : UNREADABLE;
}

function decodePage(body: unknown): StoreResponse {
  const result = v.safeParse(pageSchema, body);
  if (!result.success) return UNREADABLE;
  const { entries, more, ledger } = result.output;
  return { kind: "page", entries: entries.map(decodeEntry), more, revision: ledger };
}

function decodeLease(body: unknown): StoreResponse {
  const result = v.safeParse(leaseSchema, body);
  return result.success ? { kind: "leaseGranted", leaseId: result.output.tenure } : UNREADABLE;
}

function decodeEvents(body: unknown): StoreResponse {
  const result = v.safeParse(eventsSchema, body);
  if (!result.success) return UNREADABLE;
  return { kind: "events", events: result.output.log.map(decodeEvent), revision: result.output.ledger };
}

function decodeEntry({ path, value, stamp }: v.InferOutput<typeof entrySchema>): StoreEntry {
  return { key: path, value, version: stamp };
}

function decodeEvent(wire: v.InferOutput<typeof eventSchema>): WatchEvent {
  return "write" in wire
    ? { kind: "put", entry: { key: wire.write, value: wire.value, version: wire.stamp } }
    : { kind: "removed", key: wire.delete, version: wire.stamp };
}
