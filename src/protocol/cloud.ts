import * as v from "valibot";
import type { CloudRequest, CloudResponse } from "../core/messages/cloud.js";
import { roundDownCapacity } from "../core/model/resources.js";

const measure = v.pipe(v.number(), v.finite(), v.minValue(0));
const typesSchema = v.object({
  racks: v.array(
    v.object({
      name: v.string(),
      cpus: measure,
      gpus: v.nullish(measure, 0),
      ram_gb: measure,
      cache_gb: v.nullish(measure, 0),
      fetch_gb_per_s: v.nullish(measure, 0),
      hourly: measure,
      market_price: v.nullish(measure, null),
      startup_s: measure,
      yards: v.array(v.string()),
    }),
  ),
});
const hiredSchema = v.object({ hosts: v.array(v.string()) });
const listSchema = v.object({
  hosts: v.array(
    v.object({
      uid: v.string(),
      address: v.nullish(v.string(), ""),
      rack: v.string(),
      yard: v.string(),
      loaners: v.boolean(),
      phase: v.string(),
      age_s: v.nullish(v.number(), 0),
    }),
  ),
  more: v.nullish(v.boolean(), false),
});
const errorSchema = v.object({ error: v.string() });

const PHASES: Record<string, "booting" | "running" | "failed"> = {
  starting: "booting",
  running: "running",
  failed: "failed",
};
const PAGE = 500;

export interface HttpRequest {
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
}

export function encodeCloudRequest(call: CloudRequest): HttpRequest {
  switch (call.kind) {
    case "listTypes":
      return { method: "GET", path: "/machine_types" };
    case "create":
      return {
        method: "POST",
        path: "/machines",
        body: {
          hire: call.requestId,
          rack: call.type,
          yard: call.zone,
          loaners: call.spot,
          count: call.count,
        },
      };
    case "delete":
      return { method: "POST", path: "/machines/release", body: { hosts: call.machines } };
    case "list": {
      const since = call.after === null ? "" : `since=${encodeURIComponent(call.after)}&`;
      return { method: "GET", path: `/machines?${since}page=${PAGE}` };
    }
  }
}

export function decodeCloudResponse(call: CloudRequest, status: number, body: unknown): CloudResponse {
  if (status === 503 && call.kind === "create") {
    const error = v.safeParse(errorSchema, body);
    if (error.success && error.output.error === "no capacity") return { kind: "noCapacity" };
  }
  if (status !== 200) return { kind: "unavailable", reason: `status ${status}` };
  switch (call.kind) {
    case "listTypes": {
      const result = v.safeParse(typesSchema, body);
      if (!result.success) break;
      return {
        kind: "types",
        machineTypes: result.output.racks.map((rack) => ({
          name: rack.name,
          size: roundDownCapacity(rack.cpus, rack.gpus ?? 0, rack.ram_gb),
          cacheGb: rack.cache_gb ?? 0,
          fetchGbPerS: rack.fetch_gb_per_s ?? 0,
          price: rack.hourly,
          spotPrice: rack.market_price ?? rack.hourly,
          bootS: rack.startup_s,
          zones: rack.yards,
        })),
      };
    }
    case "create": {
      const result = v.safeParse(hiredSchema, body);
      if (!result.success) break;
      return { kind: "created", machines: result.output.hosts };
    }
    case "delete":
      return { kind: "deleted" };
    case "list": {
      const result = v.safeParse(listSchema, body);
      if (!result.success) break;
      return {
        kind: "page",
        more: result.output.more ?? false,
        machines: result.output.hosts.map((host) => ({
          name: host.uid,
          address: host.address ?? "",
          type: host.rack,
          zone: host.yard,
          spot: host.loaners,
          phase: PHASES[host.phase] ?? "booting",
          ageS: host.age_s ?? 0,
        })),
      };
    }
  }
  return { kind: "timeout" };
}
