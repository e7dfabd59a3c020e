import * as v from "valibot";
import type { CloudMachine, CloudRequest, CloudResponse } from "../core/messages/cloud.js";
import type { MachineType } from "../core/model/deployment.js";
import { roundDownCapacity } from "../core/model/resources.js";
import type { HttpRequest } from "./http.js";

/** Encodes requests to the cloud and decodes its responses. Maps the cloud API's names to internal terms. */

const nonNegative = v.pipe(v.number(), v.finite(), v.minValue(0));
const machineTypeSchema = v.object({
  name: v.string(),
  cpus: nonNegative,
  gpus: v.nullish(nonNegative, 0),
  ram_gb: nonNegative,
  cache_gb: v.nullish(nonNegative, 0),
  fetch_gb_per_s: v.nullish(nonNegative, 0),
  hourly: nonNegative,
  market_price: v.nullish(nonNegative, null),
  startup_s: nonNegative,
  yards: v.array(v.string()),
});
const machineSchema = v.object({
  uid: v.string(),
  address: v.nullish(v.string(), ""),
  rack: v.string(),
  yard: v.string(),
  loaners: v.boolean(),
  phase: v.string(),
  age_s: v.nullish(v.number(), 0),
});
const typesSchema = v.object({ racks: v.array(machineTypeSchema) });
const createdSchema = v.object({ hosts: v.array(v.string()) });
const pageSchema = v.object({ hosts: v.array(machineSchema), more: v.nullish(v.boolean(), false) });
const errorSchema = v.object({ error: v.string() });

const MACHINE_PHASES: Record<string, CloudMachine["phase"]> = {
  starting: "booting",
  running: "running",
  failed: "failed",
};
const PAGE_SIZE = 500;
const NO_CAPACITY = "no capacity";
/** A malformed response counts as no response. */
const UNREADABLE: CloudResponse = { kind: "timeout" };

/** Encodes a request to the cloud. */
export function encodeCloudRequest(request: CloudRequest): HttpRequest {
  switch (request.kind) {
    case "listTypes":
      return { method: "GET", path: "/machine_types" };
    case "create":
      return {
        method: "POST",
        path: "/machines",
        body: {
          hire: request.requestId,
          rack: request.type,
          yard: request.zone,
          loaners: request.spot,
          count: request.count,
        },
      };
    case "delete":
      return { method: "POST", path: "/machines/release", body: { hosts: request.machines } };
    case "list": {
      const since = request.after === null ? "" : `since=${encodeURIComponent(request.after)}&`;
      return { method: "GET", path: `/machines?${since}page=${PAGE_SIZE}` };
    }
  }
}

/** Decodes the cloud's response to a request. */
export function decodeCloudResponse(request: CloudRequest, status: number, body: unknown): CloudResponse {
  if (status === 503 && request.kind === "create" && isOutOfCapacity(body)) return { kind: "noCapacity" };
  if (status === 429) return { kind: "throttled" };
  if (status >= 500) return { kind: "unavailable", reason: `status ${status}` };
  if (status !== 200) return { kind: "rejected", reason: `status ${status}` };
  switch (request.kind) {
    case "listTypes":
      return decodeTypes(body);
    case "create":
      return decodeCreated(body);
    case "delete":
      return { kind: "deleted" };
    case "list":
      return decodePage(body);
  }
}

function isOutOfCapacity(body: unknown): boolean {
  const result = v.safeParse(errorSchema, body);
  return result.success && result.output.error === NO_CAPACITY;
}

function decodeTypes(body: unknown): CloudResponse {
  const result = v.safeParse(typesSchema, body);
  if (!result.success) return UNREADABLE;
  return { kind: "types", machineTypes: result.output.racks.map(decodeMachineType) };
}

function decodeCreated(body: unknown): CloudResponse {
  const result = v.safeParse(createdSchema, body);
  if (!result.success) return UNREADABLE;
  return { kind: "created", machines: result.output.hosts };
}

function decodePage(body: unknown): CloudResponse {
  const result = v.safeParse(pageSchema, body);
  if (!result.success) return UNREADABLE;
  return { kind: "page", more: result.output.more, machines: result.output.hosts.map(decodeMachine) };
}

function decodeMachineType(wire: v.InferOutput<typeof machineTypeSchema>): MachineType {
  return {
    name: wire.name,
    size: roundDownCapacity(wire.cpus, wire.gpus, wire.ram_gb),
    cacheGb: wire.cache_gb,
    fetchGbPerS: wire.fetch_gb_per_s,
    price: wire.hourly,
    // Without a market price, spot machines cost as much as on-demand machines.
    spotPrice: wire.market_price ?? wire.hourly,
    bootS: wire.startup_s,
    zones: wire.yards,
  };
}

function decodeMachine(wire: v.InferOutput<typeof machineSchema>): CloudMachine {
  return {
    name: wire.uid,
    address: wire.address,
    type: wire.rack,
    zone: wire.yard,
    spot: wire.loaners,
    // An unknown phase, from a later version of the cloud API, counts as not usable yet.
    phase: MACHINE_PHASES[wire.phase] ?? "booting",
    ageS: wire.age_s,
  };
}
