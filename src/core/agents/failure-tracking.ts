import type { Context } from "../context.js";
import type { Machine } from "../model/machine.js";
import type { Placement } from "../model/placement.js";

const JOB_BACKOFF_MS = 2000;
const JOB_BACKOFF_MAX_MS = 60_000;
const JOB_BACKOFF_MAX_DOUBLINGS = 10;
/** A replica that ran for this long started well: what failed before it is no longer a reason for backoff. */
const STABLE_RUN_MS = JOB_BACKOFF_MAX_MS;
/** A job that has failed on this many machines is put into backoff. */
const JOB_BACKOFF_MIN_MACHINES = 2;
/** A machine on which this many jobs have failed is considered faulty. */
const FAULTY_MACHINE_MIN_JOBS = 2;

/**
 * Counts a failed task for its job and its machine. Most failures are caused by the machine, so a machine on which
 * different jobs fail is drained. A job that fails on several machines is itself likely to be faulty; exponential
 * backoff keeps it from delaying other jobs. Failures of a job are forgotten when one of its tasks is done or, as no task
 * of a service ever is, when a replica fails that had run for long.
 */
export function recordFailure(ctx: Context, placement: Placement): void {
  const { job, machine } = placement;
  if (isStableReplica(placement, ctx.now)) {
    job.failures = 0;
    job.failedMachines.clear();
  }
  job.failures++;
  job.failedMachines.add(machine.index);
  machine.failures++;
  machine.failedJobs.add(job.index);
  logFailure(ctx, placement);
  if (machine.failedJobs.size >= FAULTY_MACHINE_MIN_JOBS) ejectMachine(ctx, machine);
  if (job.failedMachines.size < JOB_BACKOFF_MIN_MACHINES) return;
  const doublings = Math.min(JOB_BACKOFF_MAX_DOUBLINGS, job.failures - JOB_BACKOFF_MIN_MACHINES);
  const backoffMs = Math.min(JOB_BACKOFF_MAX_MS, JOB_BACKOFF_MS * 2 ** doublings);
  job.backoffUntil = ctx.now + backoffMs;
  ctx.log("debug", "job backed off", { job: job.uid, failures: job.failures, backoff_ms: backoffMs });
}

/** Records that a task is done on the machine: it is not, or no longer, faulty. */
export function recordSuccess(ctx: Context, { job, machine }: Placement): void {
  job.failures = 0;
  machine.failures = 0;
  machine.failedJobs.clear();
  if (machine.ejectedSince === null) return;
  machine.ejectedSince = null;
  ctx.log("info", "machine readmitted", { machine: machine.name, reason: "a task was done on it" });
}

function ejectMachine(ctx: Context, machine: Machine): void {
  if (machine.ejectedSince !== null) return;
  machine.ejectedSince = ctx.now;
  ctx.log("info", "faulty machine drained", {
    machine: machine.name,
    failures: machine.failures,
    failed_jobs: [...machine.failedJobs].map((index) => ctx.names.jobs.nameOf(index)),
  });
}

/** Logs how widely the job fails and how many jobs fail on the machine: this tells which of the two is at fault. */
function logFailure(ctx: Context, { job, task, machine, runningSince }: Placement): void {
  ctx.log("debug", "task failed", {
    job: job.uid,
    task,
    machine: machine.name,
    ran_ms: runningSince === null ? null : Math.round(ctx.now - runningSince),
    job_failed_machines: job.failedMachines.size,
    job_done: job.doneCount,
    machine_failed_jobs: machine.failedJobs.size,
  });
}

function isStableReplica({ job, runningSince }: Placement, now: number): boolean {
  return job.spec.shape === "service" && runningSince !== null && now - runningSince >= STABLE_RUN_MS;
}
