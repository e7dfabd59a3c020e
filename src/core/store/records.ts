import * as v from "valibot";
import type { MachineType } from "../model/deployment.js";
import type { JobSpec } from "../model/job-spec.js";
import { encodedBytes } from "../model/store-limits.js";
import { chunkKey, type TaskRange } from "./chunk-layout.js";

/**
 * The keys of all durable records. Values contain names, never interner indices, because they outlive the process.
 *
 * - `c/`: cluster configuration, watched by every node: leader, epoch, operator settings, machine types, the migration
 *   in progress, machine modes, features
 * - `j/`: unfinished jobs; `f/`: ended ones
 * - `p/`: placements, in chunks of consecutive tasks (chunk-layout.ts)
 * - `m/`: machines, many per record (bucket): one record per machine would require as many writes as there are machines
 *   before anything could start
 *
 * During an upgrade this version and the previous one read each other's records. Therefore fields are only added,
 * always as optional ones, and never change their meaning (docs/DESIGN.md, "Two versions at once").
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

/** The protocol version of this release. Version 2 adds jobs with dependencies and chunks of variable size. */
export const PROTOCOL_VERSION = 2;

/* ---- schemas, named after the keys; fields are in the order of the stored values ---- */

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
   * "awaiting" means active, with dependencies. The previous version, which does not support dependencies, cannot
   * decode such a record and so never starts the job.
   */
  state: v.picklist(["active", "awaiting", "cancelled"]),
  acceptedAt: v.number(),
  spec: jobSpec,
});

const finalRecord = v.object({
  state: v.picklist(["done", "cancelled"]),
  tasks: v.number(),
  /** Wall-clock time at which the job ended, in milliseconds. */
  at: v.optional(v.number()),
  service: v.optional(v.boolean()),
});

const chunkRecord = v.object({
  /** Active placements: task, machine, incarnation, attempt. */
  held: v.array(v.tuple([v.number(), v.string(), v.number(), v.number()])),
  /** Tasks that are done, as inclusive ranges of first and last. */
  done: v.array(v.tuple([v.number(), v.number()])),
});

const bucketRecord = v.object({
  /** Name, address, type, zone, spot. */
  machines: v.array(v.tuple([v.string(), v.string(), v.string(), v.string(), v.boolean()])),
});

const leaderRecord = v.object({ node: v.string(), incarnation: v.string(), token: v.number() });
const epochRecord = v.object({
  token: v.number(),
  /** Absent in records of the previous version. A malformed bound is dropped, as the token must stay readable. */
  replyBoundMs: v.fallback(v.optional(v.pipe(v.number(), v.minValue(0))), undefined),
});
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

/** An unfinished job; `acceptedAt` is wall-clock time in milliseconds. */
export type JobRecord = { state: "active" | "awaiting" | "cancelled"; acceptedAt: number; spec: JobSpec };
/** The final record of a job that is done or cancelled. */
export type FinalRecord = v.InferOutput<typeof finalRecord>;
/** The record layout enabled by the feature gate. */
export type FeaturesRecord = v.InferOutput<typeof featuresRecord>;
/** A placement chunk: the placements and done marks of consecutive tasks of a job. */
export type ChunkRecord = v.InferOutput<typeof chunkRecord>;
/** A group of machines that share a record. */
export type BucketRecord = v.InferOutput<typeof bucketRecord>;
/**
 * The latest fencing token. After the next election, the leader that wrote the record and all leaders before it reply to
 * agents for at most `replyBoundMs`.
 */
export type EpochRecord = v.InferOutput<typeof epochRecord>;
/** The leader, with the incarnation of its process and its fencing token as of its election. */
export type LeaderRecord = v.InferOutput<typeof leaderRecord>;
/** The replica migration in progress; `startedAt` is on the monotonic clock of the leader that started it. */
export type MigrationRecord = v.InferOutput<typeof migrationRecord>;

/** The value of the migration key while no migration is in progress. */
export const NO_MIGRATION = {};

/** Creates a decoder that returns null for values that do not match the schema, and drops unknown fields. */
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
/** Decodes a placement chunk. */
export const readChunk = decoder(chunkRecord);
/** Decodes a machine record. */
export const readBucket = decoder(bucketRecord);
/** Decodes the leader record. */
export const readLeader = decoder(leaderRecord);
/** Decodes the epoch record. */
export const readEpoch = decoder(epochRecord);
/** Decodes the migration record. */
export const readMigration = decoder(migrationRecord);
/** Decodes the machine modes set by operators. */
export const readModes = decoder(modesRecord);
/** Decodes the feature gate's record. */
export const readFeatures = decoder(featuresRecord);
/** Decodes the machine types. */
export const readTypes: (value: unknown) => MachineType[] | null = decoder(v.array(machineType));

/** Creates the record of a job accepted at this wall-clock time. */
export function newJobRecord(spec: JobSpec, acceptedAt: number): JobRecord {
  return { state: spec.awaits ? "awaiting" : "active", acceptedAt, spec };
}

/**
 * Creates the record of a cancelled job. It may exceed the value limit if the job was stored under a higher one. In
 * that case the fields that matter only for starting its tasks are cleared, since none of them starts any more.
 */
export function cancelledRecord({ acceptedAt, spec }: JobRecord, valueBytes: number): JobRecord {
  const record: JobRecord = { state: "cancelled", acceptedAt, spec };
  if (encodedBytes(record) <= valueBytes) return record;
  const { awaits: _, ...rest } = spec;
  return { ...record, spec: { ...rest, types: null, zone: null, image: "", jobClass: "" } };
}

/** True if a job's record fits the value limit in its longest state, "cancelled". */
export function fitsValueLimit(spec: JobSpec, acceptedAt: number, valueBytes: number): boolean {
  return encodedBytes({ state: "cancelled", acceptedAt, spec } satisfies JobRecord) <= valueBytes;
}
