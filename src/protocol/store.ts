import * as v from "valibot";
import type { StateAnswer, StateCall, StateChange, StateEvent } from "../core/types.js";
import type { HttpCall } from "./cloud.js";

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

function encodeChange(change: StateChange): Record<string, unknown> {
  if ("remove" in change) return { delete: change.remove };
  const put = { write: change.put, value: change.value };
  return change.grant === undefined ? put : { ...put, tenure: change.grant };
}

export function encodeStateCall(call: StateCall): HttpCall {
  switch (call.t) {
    case "txn":
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
    case "grant":
      return { method: "POST", path: "/grants", body: { life_ms: call.lifeMs } };
    case "renew":
      return { method: "POST", path: `/grants/${call.grant}/extend`, body: {} };
    case "drop":
      return { method: "DELETE", path: `/grants/${call.grant}` };
    case "follow":
      return {
        method: "GET",
        path: `/follow?starts=${encodeURIComponent(call.prefix)}&since=${call.after}&hold_ms=${call.waitMs}`,
      };
  }
}

export function decodeStateAnswer(call: StateCall, status: number, body: unknown): StateAnswer {
  if (status === 429) return { t: "throttled" };
  if (status === 503) return { t: "refused", why: `status ${status}` };
  if (status === 404) return { t: "absent" };
  if (status === 410 && call.t === "follow") return { t: "compacted" };
  if (status === 400) return { t: "invalid", why: JSON.stringify(body ?? null).slice(0, MAX_WHY) };
  if (status === 409 && call.t === "txn") {
    const result = v.safeParse(failed, body);
    return result.success ? { t: "conflict", failed: result.output.failed } : { t: "silent" };
  }
  if (status !== 200) return { t: "silent" };
  switch (call.t) {
    case "txn": {
      const result = v.safeParse(revision, body);
      return result.success ? { t: "ok", revision: result.output.ledger } : { t: "silent" };
    }
    case "get": {
      const result = v.safeParse(item, body);
      if (!result.success) return { t: "silent" };
      const { path, value, stamp } = result.output;
      return { t: "item", item: { key: path, value, version: stamp } };
    }
    case "list": {
      const result = v.safeParse(page, body);
      if (!result.success) return { t: "silent" };
      const { entries, more, ledger } = result.output;
      const items = entries.map(({ path, value, stamp }) => ({ key: path, value, version: stamp }));
      return { t: "page", items, more: more ?? false, revision: ledger };
    }
    case "grant": {
      const result = v.safeParse(granted, body);
      return result.success ? { t: "granted", grant: result.output.tenure } : { t: "silent" };
    }
    case "renew":
    case "drop":
      return { t: "ok", revision: 0 };
    case "follow": {
      const result = v.safeParse(followed, body);
      if (!result.success) return { t: "silent" };
      const events: StateEvent[] = result.output.log.map((entry) =>
        "write" in entry
          ? { t: "put", item: { key: entry.write, value: entry.value, version: entry.stamp } }
          : { t: "removed", key: entry.delete, version: entry.stamp },
      );
      return { t: "events", events, revision: result.output.ledger };
    }
  }
}
