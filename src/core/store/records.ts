import * as v from "valibot";
import type { MachineType } from "../model/deployment.js";
import type { JobSpec } from "../model/job-spec.js";
import { encodedBytes } from "../model/store-limits.js";
import { chunkKey, type TaskRange } from "./chunk-layout.js";

/**
 * The keys of all durable records. Values hold names, never interned indices: they outlive every process.
 *
 * - `c/`: cluster configuration, watched by every node: leader, epoch, operators' settings, machine types, the migration
 *   in progress, machine modes, features
 * - `j/`: unfinished jobs; `f/`: finished ones
 * - `p/`: placements, in chunks of consecutive tasks (chunk-layout.ts)
 * - `m/`: machines, many to a record (bucket): one each would take a whole cluster's writes before anything could start
 *
 * During an upgrade the previous version reads these records and this version its: fields are only ever added, as
 * optional ones, and none is given another meaning (docs/DESIGN.md, "Two versions at once").
 */
export const KEYS = {
  configPrefix: "c/",
  leader: "c/leader",
  epoch: "c/epoch",
  settings: "c/settings",
  machineTypes: "c/types",
  migration: "c/move",
  machineModes: "c/modes",
  features: "c/features",
  jobsPrefix: "j/",
  job: (uid: string) => `j/${uid}`,
  final: (uid: string) => `f/${uid}`,
  chunk: (uid: string, range: TaskRange) => chunkKey(uid, range),
  chunksPrefix: "p/",
  machinesPrefix: "m/",
  bucket: (bucket: number) => `m/${bucket}`,
} as const;

/** The protocol that this version speaks: 2 has jobs with dependencies, and chunks of any size. */
export const PROTOCOL = 2;

/* ---- schemas, named as the keys; the order of fields is that of the stored values ---- */

const resources = v.object({ cpu: v.number(), gpu: v.number(), ram: v.number() });

const jobSpec = v.object({
  uid: v.string(),
  jobClass: v.string(),
  team: v.string(),
  shape: v.picklist(["array", "gang", "service"]),
  priority: v.picklist([0, 1, 2, 3]),
  tasks: v.number(),
  need: resources,
  image: v.string(),
  imageGb: v.number(),
  types: v.nullable(v.array(v.string())),
  zone: v.nullable(v.string()),
  oneZone: v.boolean(),
  spread: v.boolean(),
  spot: v.boolean(),
  estimateS: v.number(),
  checkpointS: v.number(),
  saveS: v.number(),
  deadlineS: v.nullable(v.number()),
  awaits: v.optional(v.array(v.string())),
});

const jobRecord = v.object({
  /**
   * "awaiting": active, with dependencies. Versions that know no dependencies can't read such a record, and so never
   * start the job.
   */
  state: v.picklist(["active", "awaiting", "cancelled"]),
  acceptedAt: v.number(),
  spec: jobSpec,
});

const finalRecord = v.object({
  state: v.picklist(["done", "cancelled"]),
  tasks: v.number(),
  /** Wall time of the end, in milliseconds. */
  at: v.optional(v.number()),
  service: v.optional(v.boolean()),
});

const chunkRecord = v.object({
  /** Active placements: task, machine, incarnation, attempt. */
  held: v.array(v.tuple([v.number(), v.string(), v.number(), v.number()])),
  /** Tasks done, as ranges of first and last. */
  done: v.array(v.tuple([v.number(), v.number()])),
});

const bucketRecord = v.object({
  /** Name, address, type, zone, spot. */
  machines: v.array(v.tuple([v.string(), v.string(), v.string(), v.string(), v.boolean()])),
});

const leaderRecord = v.object({ node: v.string(), incarnation: v.string(), token: v.number() });
const epochRecord = v.object({ token: v.number() });
const featuresRecord = v.object({ layout: v.number() });
const modesRecord = v.record(v.string(), v.picklist(["cordon", "drain"]));

const migrationRecord = v.object({
  job: v.string(),
  task: v.number(),
  from: v.string(),
  to: v.string(),
  startedAt: v.number(),
});

const machineType = v.object({
  name: v.string(),
  size: resources,
  cacheGb: v.number(),
  fetchGbPerS: v.number(),
  price: v.number(),
  spotPrice: v.number(),
  bootS: v.number(),
  zones: v.array(v.string()),
});

/* ---- records ---- */

/** An unfinished job; `acceptedAt` is wall time in milliseconds. */
export type JobRecord = { state: "active" | "awaiting" | "cancelled"; acceptedAt: number; spec: JobSpec };
/** The end of a job. */
export type FinalRecord = v.InferOutput<typeof finalRecord>;
/** The features that the feature gate has opened. */
export type FeaturesRecord = v.InferOutput<typeof featuresRecord>;
/** The placements and done marks of consecutive tasks of a job. */
export type ChunkRecord = v.InferOutput<typeof chunkRecord>;
/** Some of the machines. */
export type BucketRecord = v.InferOutput<typeof bucketRecord>;
/** The leader, with its process's incarnation and its fencing token at its election. */
export type LeaderRecord = v.InferOutput<typeof leaderRecord>;
/** The one replica migration in progress; `startedAt` is by the monotonic clock of the leader that began it. */
export type MigrationRecord = v.InferOutput<typeof migrationRecord>;

/** The value of the migration key while no migration is in progress. */
export const NO_MIGRATION = {};

/** A decoder of stored values: null for what does not match the schema; unknown fields are dropped. */
function decoder<T>(schema: v.GenericSchema<unknown, T>): (value: unknown) => T | null {
  return (value) => {
    const result = v.safeParse(schema, value);
    return result.success ? result.output : null;
  };
}

/** Decodes the record of an unfinished job. */
export const readJob: (value: unknown) => JobRecord | null = decoder(jobRecord);
/** Decodes a job's final record. */
export const readFinal = decoder(finalRecord);
/** Decodes the record of consecutive tasks of a job. */
export const readChunk = decoder(chunkRecord);
/** Decodes a record of machines. */
export const readBucket = decoder(bucketRecord);
/** Decodes the leader record. */
export const readLeader = decoder(leaderRecord);
/** Decodes the epoch record, which holds the last fencing token. */
export const readEpoch = decoder(epochRecord);
/** Decodes the migration record. */
export const readMigration = decoder(migrationRecord);
/** Decodes the machine modes that operators have set. */
export const readModes = decoder(modesRecord);
/** Decodes the record of the feature gate. */
export const readFeatures = decoder(featuresRecord);
/** Decodes the machine types. */
export const readTypes: (value: unknown) => MachineType[] | null = decoder(v.array(machineType));

/** The record of a job accepted at this wall time. */
export function newJobRecord(spec: JobSpec, acceptedAt: number): JobRecord {
  return { state: spec.awaits ? "awaiting" : "active", acceptedAt, spec };
}

/**
 * The record of a cancelled job. If it exceeds the value limit, as it may where it was stored under a larger one, the
 * fields that say where the job may run are blanked: nothing of it starts any more.
 */
export function cancelledRecord({ acceptedAt, spec }: JobRecord, valueBytes: number): JobRecord {
  const record: JobRecord = { state: "cancelled", acceptedAt, spec };
  if (encodedBytes(record) <= valueBytes) return record;
  const { awaits: _, ...rest } = spec;
  return { ...record, spec: { ...rest, types: null, zone: null, image: "", jobClass: "" } };
}

/** True if a job's record fits the value limit in its longest state, which is cancelled. */
export function fitsRecord(spec: JobSpec, acceptedAt: number, valueBytes: number): boolean {
  return encodedBytes({ state: "cancelled", acceptedAt, spec } satisfies JobRecord) <= valueBytes;
}
