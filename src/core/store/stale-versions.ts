import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import type { PendingWrites } from "./pending-writes.js";
import { KEYS } from "./records.js";
import type { Batch } from "./write-batch.js";

const READ_TIMEOUT_MS = 1500;

/** A record of this leader's own whose stored version differs from the one last seen. */
export interface StaleVersion {
  readonly key: string;
  /** Takes the version that is stored now; 0 if the key does not exist. */
  readonly update: (version: number) => void;
}

/**
 * The records of a batch that failed on their own version. Only this leader writes them, so an earlier transaction of
 * its own, whose response was lost, was executed: the version has to be read again.
 */
export function staleVersions(
  batch: Batch,
  failedKeys: readonly string[],
  pending: PendingWrites,
): StaleVersion[] {
  const stale: StaleVersion[] = [];
  for (const { job, key } of batch.chunks) {
    if (failedKeys.includes(key)) {
      stale.push({ key, update: (version) => job.chunkVersions.set(key, version) });
    }
  }
  for (const bucket of batch.buckets) {
    const key = KEYS.bucket(bucket.index);
    const update = (version: number) => {
      bucket.version = version;
    };
    if (failedKeys.includes(key)) stale.push({ key, update });
  }
  const updateMigration = (version: number) => {
    pending.migrationVersion = version;
  };
  if (failedKeys.includes(KEYS.migration)) stale.push({ key: KEYS.migration, update: updateMigration });
  return stale;
}

/** The jobs of a batch whose key has changed: another node has cancelled them, or they have ended. */
export function jobsWithChangedKey(batch: Batch, failedKeys: readonly string[]): Set<Job> {
  const jobs = new Set<Job>();
  for (const { job } of batch.chunks) if (failedKeys.includes(KEYS.job(job.uid))) jobs.add(job);
  for (const job of batch.finalJobs) if (failedKeys.includes(KEYS.job(job.uid))) jobs.add(job);
  return jobs;
}

/**
 * Reads the versions of these keys and updates them. A key that can't be read keeps its version: the next transaction
 * fails on it again. Calls back after the last response, at once if there is nothing to read, never once stopped.
 */
export function rereadVersions(
  ctx: Context,
  stale: readonly StaleVersion[],
  isStopped: () => boolean,
  onComplete: () => void,
): void {
  let outstanding = stale.length;
  if (outstanding === 0) {
    onComplete();
    return;
  }
  for (const { key, update } of stale) {
    ctx.callStore({ kind: "get", key }, READ_TIMEOUT_MS, (response) => {
      if (isStopped()) return;
      if (response.kind === "found") update(response.entry.version);
      else if (response.kind === "notFound") update(0);
      if (--outstanding === 0) onComplete();
    });
  }
}
