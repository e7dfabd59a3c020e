import * as v from "valibot";

/**
 * Schemas with which the production version reads records and peer messages, as of the commit named in
 * deploy/service.toml. Everything the current version writes before the feature gate opens must match them.
 */

const resources = v.object({ cpu: v.number(), gpu: v.number(), ram: v.number() });
const spec = v.object({
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
});

const jobRecord = v.object({ state: v.picklist(["active", "cancelled"]), acceptedAt: v.number(), spec });
const finalRecord = v.object({ state: v.picklist(["done", "cancelled"]), tasks: v.number() });
const chunkRecord = v.object({
  /** Active placements: task, machine, incarnation, attempt. */
  held: v.array(v.tuple([v.number(), v.string(), v.number(), v.number()])),
  done: v.array(v.tuple([v.number(), v.number()])),
});
/** Each machine: name, address, type, zone, spot. */
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
  size: resources,
  cacheGb: v.number(),
  fetchGbPerS: v.number(),
  price: v.number(),
  spotPrice: v.number(),
  bootS: v.number(),
  zones: v.array(v.string()),
});
const modesRecord = v.record(v.string(), v.picklist(["cordon", "drain"]));

const count = v.pipe(v.number(), v.minValue(0));
const messageSchema = v.variant("t", [
  v.object({
    t: v.literal("beat"),
    token: count,
    leader: v.nullable(v.string()),
    stateOk: v.boolean(),
    workersHeard: count,
  }),
  v.object({
    t: v.literal("job"),
    item: v.object({ key: v.string(), value: v.unknown(), version: count }),
  }),
  v.object({ t: v.literal("progress"), rows: v.array(v.tuple([v.string(), count, count])) }),
  v.object({ t: v.literal("reports"), list: v.array(v.object({ id: count, body: v.unknown() })) }),
  v.object({
    t: v.literal("reportAnswers"),
    list: v.array(v.object({ id: count, status: count, body: v.unknown() })),
  }),
]);

const SCHEMA_BY_KEY: readonly (readonly [RegExp, v.GenericSchema])[] = [
  [/^c\/leader$/, leaderRecord],
  [/^c\/epoch$/, epochRecord],
  // An empty record means that there is no migration in progress.
  [/^c\/move$/, v.union([moveRecord, v.strictObject({})])],
  [/^c\/types$/, v.array(machineType)],
  [/^c\/modes$/, modesRecord],
  [/^j\//, jobRecord],
  [/^f\//, finalRecord],
  [/^p\/[^/]+\/\d+$/, chunkRecord],
  [/^m\/\d+$/, bucketRecord],
];
/** Keys that the production version does not read. */
const IGNORED_KEYS = /^c\/(settings|features)$/;

/** Parses a record as the production version does; returns null if it cannot be read. */
export function parseRecordAsProduction(key: string, value: unknown): unknown {
  if (IGNORED_KEYS.test(key)) return value;
  const schema = SCHEMA_BY_KEY.find(([pattern]) => pattern.test(key))?.[1];
  const result = schema && v.safeParse(schema, value);
  return result?.success ? result.output : null;
}

/** Parses a peer message as the production version does; returns null if it would be dropped. */
export function parseMessageAsProduction(message: unknown): unknown {
  const result = v.safeParse(messageSchema, message);
  return result.success ? result.output : null;
}
