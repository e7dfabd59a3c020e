import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import * as v from "valibot";
import type { Deployment, StoreLimits } from "../core/model/deployment.js";
import { roundDownCapacity, roundUpDemand } from "../core/model/resources.js";

const text = v.pipe(v.string(), v.nonEmpty());
const endpoint = v.pipe(v.string(), v.regex(/^[^\s:]+:\d{1,5}$/, "must be host:port"));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const amount = v.optional(v.pipe(v.number(), v.finite(), v.minValue(0)), 0);
/** One transaction must fit a replica migration, a task start with its machine record, or a finished job's two keys. */
const txnOps = v.pipe(v.number(), v.integer(), v.minValue(4));
/** The store allows bursts of one second's writes, and a transaction of minimum size must fit in one burst. */
const writeRps = v.pipe(v.number(), v.finite(), v.minValue(4));
/** The lease renewals, watches and heartbeats of three nodes alone take this many requests per second. */
const storeRps = v.pipe(v.number(), v.finite(), v.minValue(10));
/** The records of typical jobs need values of this size. */
const MIN_VALUE_KB = 1;

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
      rps: storeRps,
      write_rps: writeRps,
      value_kb: positive,
      txn_ops: txnOps,
      next: v.optional(
        v.object({
          rps: v.optional(storeRps),
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

type WireSettings = v.InferOutput<typeof schema>;
type WireDeployment = WireSettings["deployment"];

const MAX_PORT = 65_535;
const BYTES_PER_KB = 1024;

/** Settings of a node from the settings file that the platform writes, read once at startup. */
export interface Settings {
  /** Listen address for users, agents, probes and operators. */
  readonly listen: Endpoint;
  /** Listen address for peers. */
  readonly peerListen: Endpoint;
  readonly peers: readonly { readonly node: string; readonly at: Endpoint }[];
  readonly cloud: Endpoint;
  /** The key-value store. */
  readonly store: Endpoint;
  readonly maxConnections: number;
  readonly memoryMb: number;
  readonly deployment: Deployment;
}

/** Host and port of a service. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Why loading the settings failed. */
export type SettingsErrorCode = "unreadable" | "notToml" | "invalid";

/** Thrown if the settings cannot be read or are invalid. The message names the invalid field, if any. */
export class SettingsError extends Error {
  readonly code: SettingsErrorCode;

  constructor(code: SettingsErrorCode, message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = "SettingsError";
    this.code = code;
  }
}

/** Splits `host:port` without checking the port. */
export function parseEndpoint(value: string): Endpoint {
  const colon = value.lastIndexOf(":");
  return { host: value.slice(0, colon), port: Number(value.slice(colon + 1)) };
}

/** Loads a settings file; throws a SettingsError if it cannot be read or is invalid. */
export function loadSettings(path: string): Settings {
  return parseSettings(readSource(path));
}

/** Parses TOML settings; throws a SettingsError if invalid. Ignores unknown fields, as a later version may add some. */
export function parseSettings(source: string): Settings {
  const result = v.safeParse(schema, parseToml(source));
  if (!result.success) {
    const issue = result.issues[0];
    throw invalid(v.getDotPath(issue) ?? "settings", issue.message);
  }
  const wire = result.output;
  checkNames(wire);
  checkStoreLimits(wire.deployment.state);
  checkAgentTimes(wire.deployment.workers);
  return toSettings(wire);
}

function invalid(field: string, problem: string): SettingsError {
  return new SettingsError("invalid", `${field}: ${problem}`);
}

function readSource(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (cause) {
    throw new SettingsError("unreadable", `cannot read ${path}: ${messageOf(cause)}`, { cause });
  }
}

function parseToml(source: string): unknown {
  try {
    return parse(source);
  } catch (cause) {
    throw new SettingsError("notToml", `not TOML: ${messageOf(cause).split("\n")[0]}`, { cause });
  }
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

function checkNames({ node, known, deployment: { teams } }: WireSettings): void {
  const names = new Set<string>();
  for (const [i, { name }] of teams.entries()) {
    if (names.has(name)) throw invalid(`deployment.teams.${i}.name`, `duplicate team name ${name}`);
    names.add(name);
  }
  if (known.some((peer) => peer.node === node)) throw invalid("known", "must not contain this node");
}

function checkStoreLimits({ value_kb, next }: WireDeployment["state"]): void {
  const problem = `must be at least ${MIN_VALUE_KB}`;
  if (value_kb < MIN_VALUE_KB) throw invalid("deployment.state.value_kb", problem);
  if (next?.value_kb !== undefined && next.value_kb < MIN_VALUE_KB) {
    throw invalid("deployment.state.next.value_kb", problem);
  }
}

/**
 * Heartbeats renew the agent lease, so the lease must outlast their interval. A task on a lost machine runs for up to
 * one lease, and must have ended after `cancel_s`.
 */
function checkAgentTimes({ report_s, lease_s, cancel_s }: WireDeployment["workers"]): void {
  if (lease_s <= report_s) throw invalid("deployment.workers.lease_s", "must be longer than report_s");
  if (cancel_s <= lease_s) {
    throw invalid(
      "deployment.workers.cancel_s",
      "must be longer than lease_s, for which tasks on a lost machine continue to run",
    );
  }
}

function toSettings(wire: WireSettings): Settings {
  const { quota } = wire.deployment;
  return {
    listen: checkedEndpoint(wire.client_listen, "client_listen"),
    peerListen: checkedEndpoint(wire.peer_bind, "peer_bind"),
    peers: wire.known.map((peer, i) => ({
      node: peer.node,
      at: checkedEndpoint(peer.endpoint, `known.${i}.endpoint`),
    })),
    cloud: checkedEndpoint(wire.endpoints.cloud, "endpoints.cloud"),
    store: checkedEndpoint(wire.endpoints.state, "endpoints.state"),
    maxConnections: quota.max_connections,
    memoryMb: quota.ram_mb,
    deployment: toDeployment(wire),
  };
}

function checkedEndpoint(value: string, field: string): Endpoint {
  const endpoint = parseEndpoint(value);
  if (endpoint.port < 1 || endpoint.port > MAX_PORT) throw invalid(field, "port must be between 1 and 65535");
  return endpoint;
}

function toDeployment({ node, known, deployment }: WireSettings): Deployment {
  const { zones, teams, objectives, workers, state, cloud } = deployment;
  return {
    node,
    peers: known.map((peer) => peer.node),
    zones,
    teams: teams.map((team) => ({
      name: team.name,
      guarantee: roundUpDemand(team.cpus, team.gpus, 0),
      limit: roundDownCapacity(team.cpus_max, team.gpus_max, 0),
    })),
    objectives: objectives.map((objective) => ({
      kind: objective.kind,
      jobClass: objective.class,
      withinS: objective.within_s,
      share: objective.share,
    })),
    heartbeatIntervalS: workers.report_s,
    leaseS: workers.lease_s,
    gangWaitS: workers.gang_wait_s,
    gangPeerS: workers.gang_peer_s,
    cancelS: workers.cancel_s,
    storeRps: state.rps,
    storeWriteRps: state.write_rps,
    valueBytes: state.value_kb * BYTES_PER_KB,
    txnOps: state.txn_ops,
    nextStoreLimits: toNextStoreLimits(state),
    cloudRps: cloud.rps,
    listLagS: cloud.list_lag_s,
  };
}

/** Returns the announced future limits, null if there are none. Those not announced keep their current values. */
function toNextStoreLimits(state: WireDeployment["state"]): StoreLimits | null {
  const { next } = state;
  if (!next) return null;
  return {
    rps: next.rps ?? state.rps,
    writeRps: next.write_rps ?? state.write_rps,
    valueBytes: (next.value_kb ?? state.value_kb) * BYTES_PER_KB,
    txnOps: next.txn_ops ?? state.txn_ops,
  };
}
