import * as v from "valibot";
import type { StoreChange, StoreRequest, StoreResponse, WatchEvent } from "../core/messages/store.js";
import type { HttpRequest } from "./cloud.js";

const revision = v.object({ ledger: v.number() });
const item = v.object({ path: v.string(), value: v.unknown(), stamp: v.number() });
const page = v.object({ entries: v.array(item), more: v.nullish(v.boolean(), false), ledger: v.number() });
const failed = v.object({ failed: v.array(v.string()) });
const granted = v.object({ tenure: v.number() });
const followed = v.object({
  ledger: v.number(),
  log: v.array(
    v.union([
      v.object({ write: v.string(), value: v.unknown(), stamp: v.number() }),
      v.object({ delete: v.string(), stamp: v.number() }),
    ]),
  ),
});
const PAGE = 500;
const MAX_WHY = 200;

function encodeChange(change: StoreChange): Record<string, unknown> {
  if ("remove" in change) return { delete: change.remove };
  const put = { write: change.put, value: change.value };
  return change.leaseId === undefined ? put : { ...put, tenure: change.leaseId };
}

export function encodeStoreRequest(call: StoreRequest): HttpRequest {
  switch (call.kind) {
    case "transaction":
      return {
        method: "POST",
        path: "/multi",
        body: {
          if: call.conditions.map(({ key, version }) => ({ path: key, stamp: version })),
          // biome-ignore lint/suspicious/noThenProperty: the state service's own word
          then: call.changes.length > 0 ? call.changes.map(encodeChange) : undefined,
        },
      };
    case "get":
      return { method: "GET", path: `/keys/${call.key.split("/").map(encodeURIComponent).join("/")}` };
    case "list": {
      const since = call.after === null ? "" : `&since=${encodeURIComponent(call.after)}`;
      return { method: "GET", path: `/keys?starts=${encodeURIComponent(call.prefix)}${since}&page=${PAGE}` };
    }
    case "grantLease":
      return { method: "POST", path: "/grants", body: { life_ms: call.ttlMs } };
    case "renewLease":
      return { method: "POST", path: `/grants/${call.leaseId}/extend`, body: {} };
    case "revokeLease":
      return { method: "DELETE", path: `/grants/${call.leaseId}` };
    case "watch":
      return {
        method: "GET",
        path: `/follow?starts=${encodeURIComponent(call.prefix)}&since=${call.after}&hold_ms=${call.waitMs}`,
      };
  }
}

export function decodeStoreResponse(call: StoreRequest, status: number, body: unknown): StoreResponse {
  if (status === 429) return { kind: "throttled" };
  if (status === 503) return { kind: "unavailable", reason: `status ${status}` };
  if (status === 404) return { kind: "notFound" };
  if (status === 410 && call.kind === "watch") return { kind: "compacted" };
  if (status === 400) return { kind: "invalid", reason: JSON.stringify(body ?? null).slice(0, MAX_WHY) };
  if (status === 409 && call.kind === "transaction") {
    const result = v.safeParse(failed, body);
    return result.success ? { kind: "conflict", failed: result.output.failed } : { kind: "timeout" };
  }
  if (status !== 200) return { kind: "timeout" };
  switch (call.kind) {
    case "transaction": {
      const result = v.safeParse(revision, body);
      return result.success ? { kind: "ok", revision: result.output.ledger } : { kind: "timeout" };
    }
    case "get": {
      const result = v.safeParse(item, body);
      if (!result.success) return { kind: "timeout" };
      const { path, value, stamp } = result.output;
      return { kind: "found", entry: { key: path, value, version: stamp } };
    }
    case "list": {
      const result = v.safeParse(page, body);
      if (!result.success) return { kind: "timeout" };
      const { entries, more, ledger } = result.output;
      const items = entries.map(({ path, value, stamp }) => ({ key: path, value, version: stamp }));
      return { kind: "page", entries: items, more: more ?? false, revision: ledger };
    }
    case "grantLease": {
      const result = v.safeParse(granted, body);
      return result.success ? { kind: "leaseGranted", leaseId: result.output.tenure } : { kind: "timeout" };
    }
    case "renewLease":
    case "revokeLease":
      return { kind: "ok", revision: 0 };
    case "watch": {
      const result = v.safeParse(followed, body);
      if (!result.success) return { kind: "timeout" };
      const events: WatchEvent[] = result.output.log.map((entry) =>
        "write" in entry
          ? { kind: "put", entry: { key: entry.write, value: entry.value, version: entry.stamp } }
          : { kind: "removed", key: entry.delete, version: entry.stamp },
      );
      return { kind: "events", events, revision: result.output.ledger };
    }
  }
}
