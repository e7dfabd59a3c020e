import * as v from "valibot";
import type { JobStatus, SubmittedSpec } from "../core/messages/users.js";
import type { JobShape, JobSpec, Priority } from "../core/model/job-spec.js";
import { roundUpDemand } from "../core/model/resources.js";

/** Decodes job submissions and encodes job statuses. Maps the user API's names to internal terms. */

const UID = /^j-[0-9]{1,40}$/;
const MAX_TASKS = 100_000;
const MAX_NAME_CHARS = 200;
/** A submission with more dependencies is assumed to be a mistake. */
const MAX_DEPENDENCIES = 100;

const text = v.pipe(v.string(), v.nonEmpty(), v.maxLength(MAX_NAME_CHARS));
const sizeOrSeconds = v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(1e12));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(1e9));

const uid = v.pipe(v.string(), v.regex(UID, "must have the form j-000412"));

const SHAPES: Record<string, JobShape> = { sweep: "array", gang: "gang", daemon: "service" };
const PRIORITIES: Record<string, Priority> = { prod: 3, high: 2, normal: 1, idle: 0 };

const jobSchema = v.object({
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
  size_gb: sizeOrSeconds,
  guess_s: sizeOrSeconds,
  snapshot_s: sizeOrSeconds,
  stow_s: sizeOrSeconds,
  due_s: v.nullish(sizeOrSeconds, null),
  awaits: v.nullish(v.pipe(v.array(uid), v.maxLength(MAX_DEPENDENCIES)), null),
});

/** True if a string is a well-formed job uid. */
export function isUid(value: string): boolean {
  return UID.test(value);
}

/**
 * Decodes a submission: its uid, null if missing or malformed, and its job spec or an error. The uid of a malformed job
 * is returned as well, since the controller may already know it.
 */
export function decodeJobSubmission(body: unknown): {
  uid: string | null;
  submitted: SubmittedSpec;
} {
  return { uid: decodeUid(body), submitted: decodeSpec(body) };
}

/** Encodes a job's status for its user. */
export function encodeJobStatus(status: JobStatus): Record<string, unknown> {
  const { uid, phase, done, running, awaits } = status;
  return awaits ? { uid, phase, done, running, awaits } : { uid, phase, done, running };
}

function isJsonObject(body: unknown): body is object {
  return typeof body === "object" && body !== null && !Array.isArray(body);
}

function decodeUid(body: unknown): string | null {
  const claimed = isJsonObject(body) && "uid" in body ? body.uid : undefined;
  return typeof claimed === "string" && isUid(claimed) ? claimed : null;
}

function decodeSpec(body: unknown): SubmittedSpec {
  if (!isJsonObject(body)) return { ok: false, error: "the body must be a JSON object" };
  const result = v.safeParse(jobSchema, body);
  if (!result.success) {
    const issue = result.issues[0];
    return { ok: false, error: `${v.getDotPath(issue) ?? "body"}: ${issue.message}` };
  }
  const wire = result.output;
  const shape = SHAPES[wire.shape];
  const priority = PRIORITIES[wire.rank];
  if (shape === undefined || priority === undefined) return { ok: false, error: "shape or rank: unknown" };
  return { ok: true, spec: toJobSpec(wire, shape, priority) };
}

function toJobSpec(wire: v.InferOutput<typeof jobSchema>, shape: JobShape, priority: Priority): JobSpec {
  const spec: JobSpec = {
    uid: wire.uid,
    jobClass: wire.jobclass,
    team: wire.crew,
    shape,
    priority,
    tasks: wire.pieces,
    need: roundUpDemand(wire.cpus, wire.gpus, wire.ram_gb),
    image: wire.bundle,
    imageGb: wire.size_gb,
    types: wire.racks,
    zone: wire.yard,
    oneZone: wire.same_place,
    spread: wire.apart,
    spot: wire.loaners,
    estimateS: wire.guess_s,
    checkpointS: wire.snapshot_s,
    saveS: wire.stow_s,
    deadlineS: wire.due_s,
  };
  const awaits = [...new Set(wire.awaits)];
  return awaits.length > 0 ? { ...spec, awaits } : spec;
}
