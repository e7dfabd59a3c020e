import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import * as v from "valibot";
import type { Deployment, StoreLimits } from "../core/model/deployment.js";
import { roundDownCapacity, roundUpDemand } from "../core/model/resources.js";

const text = v.pipe(v.string(), v.nonEmpty());
const endpoint = v.pipe(v.string(), v.regex(/^[^\s:]+:\d{1,5}$/, "must be host:port"));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const amount = v.optional(v.pipe(v.number(), v.finite(), v.minValue(0)), 0);
/** A move, a start with the record of its machine, and a job's two keys at its end have to fit in one transaction. */
const txnOps = v.pipe(v.number(), v.integer(), v.minValue(4));
/** Limits allow bursts of a second's worth: a transaction of the smallest size has to fit in one. */
const writeRps = v.pipe(v.number(), v.finite(), v.minValue(4));
/** Renewals, following the records and heartbeats of three nodes take this much by themselves. */
const stateRps = v.pipe(v.number(), v.finite(), v.minValue(10));
/** The records of ordinary jobs need this much. */
const LEAST_VALUE_KB = 1;

const schema = v.object({
  node: text,
  site: text,
  client_listen: endpoint,
  peer_bind: endpoint,
  known: v.optional(v.array(v.object({ node: text, site: v.optional(v.string(), ""), endpoint })), []),
  endpoints: v.object({ cloud: endpoint, state: endpoint }),
  deployment: v.object({
    zones: v.pipe(v.array(text), v.minLength(1)),
    teams: v.pipe(
      v.array(v.object({ name: text, cpus: amount, cpus_max: amount, gpus: amount, gpus_max: amount })),
      v.minLength(1),
    ),
    objectives: v.optional(
      v.array(
        v.object({
          kind: text,
          class: v.nullish(v.string(), null),
          within_s: v.nullish(v.number(), null),
          share: v.nullish(v.number(), null),
        }),
      ),
      [],
    ),
    workers: v.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    state: v.object({
      rps: stateRps,
      write_rps: writeRps,
      value_kb: positive,
      txn_ops: txnOps,
      next: v.optional(
        v.object({
          rps: v.optional(stateRps),
          write_rps: v.optional(writeRps),
          value_kb: v.optional(positive),
          txn_ops: v.optional(txnOps),
        }),
      ),
    }),
    cloud: v.object({ rps: positive, list_lag_s: v.pipe(v.number(), v.finite(), v.minValue(0)) }),
    quota: v.optional(
      v.object({
        max_connections: v.optional(v.pipe(v.number(), v.integer(), v.minValue(16)), 1000),
        ram_mb: v.optional(positive, 128),
      }),
      {},
    ),
  }),
});

export interface Settings {
  readonly listen: Endpoint;
  readonly peerListen: Endpoint;
  readonly peers: readonly { readonly node: string; readonly at: Endpoint }[];
  readonly cloud: Endpoint;
  readonly state: Endpoint;
  readonly maxConnections: number;
  readonly memoryMb: number;
  readonly deployment: Deployment;
}

export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

export class SettingsError extends Error {}

export function parseEndpoint(value: string): Endpoint {
  const at = value.lastIndexOf(":");
  return { host: value.slice(0, at), port: Number(value.slice(at + 1)) };
}

function port(value: string, field: string): Endpoint {
  const at = parseEndpoint(value);
  if (at.port < 1 || at.port > 65_535) throw new SettingsError(`${field}: port out of range`);
  return at;
}

export function loadSettings(path: string): Settings {
  let source: string;
  try {
    source = readFileSync(path, "utf8");
  } catch (error) {
    throw new SettingsError(`cannot read ${path}: ${(error as Error).message}`);
  }
  return parseSettings(source);
}

/** The limits to come; what they don't name stays as it is. */
function nextLimits(state: v.InferOutput<typeof schema>["deployment"]["state"]): StoreLimits | null {
  const { next } = state;
  if (!next) return null;
  return {
    rps: next.rps ?? state.rps,
    writeRps: next.write_rps ?? state.write_rps,
    valueBytes: (next.value_kb ?? state.value_kb) * 1024,
    txnOps: next.txn_ops ?? state.txn_ops,
  };
}

export function parseSettings(source: string): Settings {
  let raw: unknown;
  try {
    raw = parse(source);
  } catch (error) {
    throw new SettingsError(`not TOML: ${(error as Error).message.split("\n")[0]}`);
  }
  const result = v.safeParse(schema, raw);
  if (!result.success) {
    const issue = result.issues[0];
    throw new SettingsError(`${v.getDotPath(issue) ?? "settings"}: ${issue.message}`);
  }
  const s = result.output;
  const d = s.deployment;
  for (const [i, team] of d.teams.entries()) {
    if (d.teams.findIndex((t) => t.name === team.name) !== i) {
      throw new SettingsError(`deployment.teams.${i}.name: ${team.name} is named twice`);
    }
  }
  if (s.known.some((peer) => peer.node === s.node)) {
    throw new SettingsError("known: names this node itself");
  }
  for (const [field, valueKb] of [
    ["deployment.state.value_kb", d.state.value_kb],
    ["deployment.state.next.value_kb", d.state.next?.value_kb ?? d.state.value_kb],
  ] as const) {
    if (valueKb < LEAST_VALUE_KB) throw new SettingsError(`${field}: must be at least ${LEAST_VALUE_KB}`);
  }
  if (d.workers.lease_s <= d.workers.report_s) {
    throw new SettingsError("deployment.workers.lease_s: must be longer than report_s");
  }
  if (d.workers.cancel_s <= d.workers.lease_s) {
    throw new SettingsError(
      "deployment.workers.cancel_s: must be longer than lease_s, the life of a lost task",
    );
  }
  return {
    listen: port(s.client_listen, "client_listen"),
    peerListen: port(s.peer_bind, "peer_bind"),
    peers: s.known.map((peer, i) => ({ node: peer.node, at: port(peer.endpoint, `known.${i}.endpoint`) })),
    cloud: port(s.endpoints.cloud, "endpoints.cloud"),
    state: port(s.endpoints.state, "endpoints.state"),
    maxConnections: d.quota.max_connections,
    memoryMb: d.quota.ram_mb,
    deployment: {
      node: s.node,
      peers: s.known.map((peer) => peer.node),
      zones: d.zones,
      teams: d.teams.map((team) => ({
        name: team.name,
        guarantee: roundUpDemand(team.cpus, team.gpus, 0),
        limit: roundDownCapacity(team.cpus_max, team.gpus_max, 0),
      })),
      objectives: d.objectives.map((o) => ({
        kind: o.kind,
        jobClass: o.class,
        withinS: o.within_s,
        share: o.share,
      })),
      heartbeatIntervalS: d.workers.report_s,
      leaseS: d.workers.lease_s,
      gangWaitS: d.workers.gang_wait_s,
      gangPeerS: d.workers.gang_peer_s,
      cancelS: d.workers.cancel_s,
      storeRps: d.state.rps,
      storeWriteRps: d.state.write_rps,
      valueBytes: d.state.value_kb * 1024,
      txnOps: d.state.txn_ops,
      nextStoreLimits: nextLimits(d.state),
      cloudRps: d.cloud.rps,
      listLagS: d.cloud.list_lag_s,
    },
  };
}
