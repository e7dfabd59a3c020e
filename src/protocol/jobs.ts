import * as v from "valibot";
import type { JobStatus } from "../core/messages/users.js";
import type { JobShape, JobSpec, Priority } from "../core/model/job-spec.js";
import { roundUpDemand } from "../core/model/resources.js";

/** Jobs as users write them. The words of the wire end here. */

const UID = /^j-[0-9]{1,40}$/;
const MAX_TASKS = 100_000;
const MAX_NAME = 200;
/** More jobs than that to wait for are taken for a mistake. */
const MAX_AWAITS = 100;

const text = v.pipe(v.string(), v.nonEmpty(), v.maxLength(MAX_NAME));
const measure = v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(1e12));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(1e9));

const uid = v.pipe(v.string(), v.regex(UID, "must have the form j-000412"));

const SHAPES: Record<string, JobShape> = { sweep: "array", gang: "gang", daemon: "service" };
const RANKS: Record<string, Priority> = { prod: 3, high: 2, normal: 1, idle: 0 };

const schema = v.object({
  uid,
  jobclass: text,
  crew: text,
  shape: v.picklist(["sweep", "gang", "daemon"]),
  rank: v.picklist(["prod", "high", "normal", "idle"]),
  pieces: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(MAX_TASKS)),
  cpus: amount,
  gpus: amount,
  ram_gb: amount,
  racks: v.nullish(v.pipe(v.array(text), v.maxLength(1000)), null),
  yard: v.nullish(text, null),
  same_place: v.boolean(),
  apart: v.boolean(),
  loaners: v.boolean(),
  bundle: text,
  size_gb: measure,
  guess_s: measure,
  snapshot_s: measure,
  stow_s: measure,
  due_s: v.nullish(measure, null),
  awaits: v.nullish(v.pipe(v.array(uid), v.maxLength(MAX_AWAITS)), null),
});

export function isUid(value: string): boolean {
  return UID.test(value);
}

/** A submission's id, if it has a well-formed one, and its job or what is wrong with it. */
export function decodeJobSubmission(body: unknown): { uid: string | null; spec: JobSpec | string } {
  if (typeof body !== "object" || body === null || Array.isArray(body)) {
    return { uid: null, spec: "the body must be a JSON object" };
  }
  const claimed = (body as { uid?: unknown }).uid;
  const id = typeof claimed === "string" && isUid(claimed) ? claimed : null;
  const result = v.safeParse(schema, body);
  if (!result.success) {
    const issue = result.issues[0];
    return { uid: id, spec: `${v.getDotPath(issue) ?? "body"}: ${issue.message}` };
  }
  const job = result.output;
  const shape = SHAPES[job.shape];
  const priority = RANKS[job.rank];
  if (shape === undefined || priority === undefined) return { uid: id, spec: "shape or rank: unknown" };
  const spec: JobSpec = {
    uid: job.uid,
    jobClass: job.jobclass,
    team: job.crew,
    shape,
    priority,
    tasks: job.pieces,
    need: roundUpDemand(job.cpus, job.gpus, job.ram_gb),
    image: job.bundle,
    imageGb: job.size_gb,
    types: job.racks,
    zone: job.yard,
    oneZone: job.same_place,
    spread: job.apart,
    spot: job.loaners,
    estimateS: job.guess_s,
    checkpointS: job.snapshot_s,
    saveS: job.stow_s,
    deadlineS: job.due_s,
  };
  const awaits = [...new Set(job.awaits)];
  return { uid: id, spec: awaits.length > 0 ? { ...spec, awaits } : spec };
}

export function encodeJobStatus(view: JobStatus): Record<string, unknown> {
  const { uid, phase, done, running, awaits } = view;
  return awaits ? { uid, phase, done, running, awaits } : { uid, phase, done, running };
}
