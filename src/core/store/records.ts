import * as v from "valibot";
import type { MachineType } from "../model/deployment.js";
import type { JobSpec } from "../model/job-spec.js";
import { encodedBytes } from "./store-limits.js";

/**
 * The durable records and their keys. Values carry names, never indices: they outlive every process.
 *   c/…  leader, epoch, operators' settings, machine types, the pending move: followed by every node
 *   j/…  jobs that are not over, f/… jobs that are, p/… placements in chunks, m/… machines, many to a key:
 *   one by one they took a fleet's worth of writes before anything could start
 * Records are read by the version before this one during an upgrade, and its records by this one: fields are only ever
 * added, as optional ones, and none is given another meaning (docs/DESIGN.md, "Two versions at once").
 */
export const KEYS = {
  config: "c/",
  leader: "c/leader",
  epoch: "c/epoch",
  settings: "c/settings",
  types: "c/types",
  move: "c/move",
  modes: "c/modes",
  features: "c/features",
  jobs: "j/",
  job: (uid: string) => `j/${uid}`,
  final: (uid: string) => `f/${uid}`,
  /** The placements of a range of a job's tasks, in the layout of its size. */
  chunk: (uid: string, { first, count }: TaskRange) =>
    count === MAX_TASKS_PER_CHUNK ? `p/${uid}/${first / count}` : `p/${uid}/${first}.${count}`,
  chunks: "p/",
  machines: "m/",
  bucket: (bucket: number) => `m/${bucket}`,
} as const;

/** What a task takes of a record, with names of ordinary length. */
const BYTES_PER_TASK = 64;
/** The size of a chunk in layout 1, and the largest in layout 2. */
export const MAX_TASKS_PER_CHUNK = 128;
/** The most machines in one record. */
export const MAX_MACHINES_PER_RECORD = 48;

/** The protocol that this version speaks: 2 knows jobs that wait for others, and chunks of any size. */
export const PROTOCOL = 2;

/** Consecutive tasks of a job, whose placements share a record. */
export interface TaskRange {
  readonly first: number;
  readonly count: number;
}

/** How many tasks a chunk covers: in layout 1 always the same; from layout 2 on so many that it fits the value limit. */
export function chunkTasks(layout: number, valueBytes: number): number {
  if (layout < PROTOCOL) return MAX_TASKS_PER_CHUNK;
  return Math.max(1, Math.min(MAX_TASKS_PER_CHUNK, Math.floor(valueBytes / BYTES_PER_TASK)));
}

/** The job and the tasks that a chunk's key names. */
export function readChunkKey(key: string): { uid: string; range: TaskRange } | null {
  const found = /^p\/([^/]+)\/(\d+)(?:\.(\d+))?$/.exec(key);
  if (!found) return null;
  const [, uid = "", index = "", size] = found;
  if (size === undefined)
    return { uid, range: { first: Number(index) * MAX_TASKS_PER_CHUNK, count: MAX_TASKS_PER_CHUNK } };
  const range = { first: Number(index), count: Number(size) };
  return range.count > 0 ? { uid, range } : null;
}

const amount = v.object({ cpu: v.number(), gpu: v.number(), ram: v.number() });
const spec = v.object({
  uid: v.string(),
  jobClass: v.string(),
  team: v.string(),
  shape: v.picklist(["array", "gang", "service"]),
  priority: v.picklist([0, 1, 2, 3]),
  tasks: v.number(),
  need: amount,
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

/** "awaiting": active, and naming jobs that have to be done first. Versions that don't know these can't read it, nor start it. */
const jobRecord = v.object({
  state: v.picklist(["active", "awaiting", "cancelled"]),
  acceptedAt: v.number(),
  spec,
});
const finalRecord = v.object({
  state: v.picklist(["done", "cancelled"]),
  tasks: v.number(),
  /** Wall time of the end, in milliseconds. */
  at: v.optional(v.number()),
  service: v.optional(v.boolean()),
});
const featuresRecord = v.object({ layout: v.number() });
const chunkRecord = v.object({
  /** task, machine, session, attempt */
  held: v.array(v.tuple([v.number(), v.string(), v.number(), v.number()])),
  done: v.array(v.tuple([v.number(), v.number()])),
});
/** name, address, type, zone, spot */
const bucketRecord = v.object({
  machines: v.array(v.tuple([v.string(), v.string(), v.string(), v.string(), v.boolean()])),
});
const leaderRecord = v.object({ node: v.string(), incarnation: v.string(), token: v.number() });
const epochRecord = v.object({ token: v.number() });
const moveRecord = v.object({
  job: v.string(),
  task: v.number(),
  from: v.string(),
  to: v.string(),
  startedAt: v.number(),
});
const machineType = v.object({
  name: v.string(),
  size: amount,
  cacheGb: v.number(),
  fetchGbPerS: v.number(),
  price: v.number(),
  spotPrice: v.number(),
  bootS: v.number(),
  zones: v.array(v.string()),
});
const modesRecord = v.record(v.string(), v.picklist(["cordon", "drain"]));

/** What the move's key holds while none is pending. */
export const NO_MIGRATION = {};

export type JobRecord = { state: "active" | "awaiting" | "cancelled"; acceptedAt: number; spec: JobSpec };
export type FinalRecord = v.InferOutput<typeof finalRecord>;
export type FeaturesRecord = v.InferOutput<typeof featuresRecord>;
export type ChunkRecord = v.InferOutput<typeof chunkRecord>;
export type BucketRecord = v.InferOutput<typeof bucketRecord>;
export type LeaderRecord = v.InferOutput<typeof leaderRecord>;
export type MigrationRecord = v.InferOutput<typeof moveRecord>;

function reader<T>(schema: v.GenericSchema<unknown, T>): (value: unknown) => T | null {
  return (value) => {
    const result = v.safeParse(schema, value);
    return result.success ? result.output : null;
  };
}

export const readJob: (value: unknown) => JobRecord | null = reader(jobRecord);
export const readFinal = reader(finalRecord);
export const readChunk = reader(chunkRecord);
export const readBucket = reader(bucketRecord);
export const readLeader = reader(leaderRecord);
export const readEpoch = reader(epochRecord);
export const readMigration = reader(moveRecord);
export const readModes = reader(modesRecord);
export const readFeatures = reader(featuresRecord);
export const readTypes: (value: unknown) => MachineType[] | null = reader(v.array(machineType));

export function newJobRecord(spec: JobSpec, acceptedAt: number): JobRecord {
  return { state: spec.awaits ? "awaiting" : "active", acceptedAt, spec };
}

/**
 * The record of a cancelled job. One that was stored under a larger limit loses what says where it may run: nothing of
 * it starts any more.
 */
export function cancelledRecord({ acceptedAt, spec }: JobRecord, valueBytes: number): JobRecord {
  const whole: JobRecord = { state: "cancelled", acceptedAt, spec };
  if (encodedBytes(whole) <= valueBytes) return whole;
  const { awaits: _, ...rest } = spec;
  return { ...whole, spec: { ...rest, types: null, zone: null, image: "", jobClass: "" } };
}

/** True if a job's record fits, also once it is cancelled. */
export function fitsRecord(spec: JobSpec, acceptedAt: number, valueBytes: number): boolean {
  return encodedBytes({ state: "cancelled", acceptedAt, spec } satisfies JobRecord) <= valueBytes;
}

/** Turns task numbers, ascending, into ranges [first, last]. */
export function toRanges(tasks: Iterable<number>): [number, number][] {
  const ranges: [number, number][] = [];
  for (const task of tasks) {
    const last = ranges[ranges.length - 1];
    if (last && last[1] === task - 1) last[1] = task;
    else ranges.push([task, task]);
  }
  return ranges;
}
