import type { Context } from "../context.js";
import type { Machine } from "../model/machine.js";
import type { Placement } from "../model/placement.js";

const JOB_BACKOFF_MS = 2000;
const JOB_BACKOFF_MAX_MS = 60_000;
const JOB_BACKOFF_DOUBLINGS = 10;
/** A job that has failed on so many machines is held back. */
const JOB_FAULTS = 2;
/** A machine on which so many jobs have failed is set aside. */
const MACHINE_FAULTS = 2;

/** True for a machine that is set aside because different jobs have failed on it. */
export function isFaulty(machine: Machine): boolean {
  return machine.failedJobs.size >= MACHINE_FAULTS;
}

/**
 * Mostly the machine is faulty: one on which different jobs fail is set aside. A job that fails
 * on machine after machine has a mistake in it and must not keep the others waiting.
 */
export function recordFailure(ctx: Context, { job, machine }: Placement): void {
  job.failures++;
  job.failedMachines.add(machine.index);
  machine.failures++;
  machine.failedJobs.add(job.index);
  if (isFaulty(machine) && machine.mode === "open") {
    machine.mode = "drain";
    ctx.log("info", "machine set aside", { machine: machine.name, failures: machine.failures });
  }
  if (job.failedMachines.size < JOB_FAULTS) return;
  const doublings = Math.min(JOB_BACKOFF_DOUBLINGS, job.failures - JOB_FAULTS);
  job.backoffUntil = ctx.now + Math.min(JOB_BACKOFF_MAX_MS, JOB_BACKOFF_MS * 2 ** doublings);
}
