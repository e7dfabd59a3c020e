import * as v from "valibot";
import type { JobSpec, MachineType } from "./types.js";

/**
 * The durable records and their keys. Values carry names, never indices: they outlive every process.
 *   c/…  leader, epoch, operators' settings, machine types, the pending move: followed by every node
 *   j/…  jobs that are not over, f/… jobs that are, p/… placements in chunks, m/… machines, many to a key:
 *   one by one they took a fleet's worth of writes before anything could start
 */
export const KEYS = {
  config: "c/",
  leader: "c/leader",
  epoch: "c/epoch",
  settings: "c/settings",
  types: "c/types",
  move: "c/move",
  modes: "c/modes",
  job: (uid: string) => `j/${uid}`,
  final: (uid: string) => `f/${uid}`,
  chunk: (uid: string, chunk: number) => `p/${uid}/${chunk}`,
  machines: "m/",
  bucket: (bucket: number) => `m/${bucket}`,
} as const;

/** So many tasks and machines fit the smallest values allowed (8 KiB) with names of ordinary length. */
export const CHUNK_TASKS = 128;
export const BUCKET_MACHINES = 48;

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
});

const jobRecord = v.object({ state: v.picklist(["active", "cancelled"]), acceptedAt: v.number(), spec });
const finalRecord = v.object({ state: v.picklist(["done", "cancelled"]), tasks: v.number() });
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
export const NO_MOVE = {};

export type JobRecord = { state: "active" | "cancelled"; acceptedAt: number; spec: JobSpec };
export type ChunkRecord = v.InferOutput<typeof chunkRecord>;
export type BucketRecord = v.InferOutput<typeof bucketRecord>;
export type LeaderRecord = v.InferOutput<typeof leaderRecord>;
export type MoveRecord = v.InferOutput<typeof moveRecord>;

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
export const readMove = reader(moveRecord);
export const readModes = reader(modesRecord);
export const readTypes: (value: unknown) => MachineType[] | null = reader(v.array(machineType));

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
