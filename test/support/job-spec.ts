import type { JobSpec } from "../../src/core/model/job-spec.js";

/** Returns the spec of a job with one small task that may run anywhere, with the given overrides. */
export function jobSpec(uid: string, overrides: Partial<JobSpec> = {}): JobSpec {
  return {
    uid,
    jobClass: "work",
    team: "red",
    shape: "array",
    priority: 1,
    tasks: 1,
    need: { cpu: 1000, gpu: 0, ram: 1000 },
    image: "img",
    imageGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: false,
    estimateS: 10,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    ...overrides,
  };
}
