import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import type { PendingWrites } from "./pending-writes.js";
import { KEYS } from "./records.js";
import type { WriteBatch } from "./write-batch.js";

const READ_TIMEOUT_MS = 1500;

/** A record written only by this leader whose stored version differs from the last known one. */
export interface StaleVersion {
  readonly key: string;
  /** Sets the last known version to the stored one; 0 if the key does not exist. */
  readonly update: (version: number) => void;
}

/**
 * Returns the records of a batch whose condition on their own version failed. Only this leader writes them, so an
 * earlier transaction of its own was executed although its response was lost, and their versions must be read again.
 */
export function staleVersions(
  batch: WriteBatch,
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

/** Returns the jobs of a batch whose key has changed: another node cancelled them, or they have ended. */
export function jobsWithChangedKey(batch: WriteBatch, failedKeys: readonly string[]): Set<Job> {
  const jobs = new Set<Job>();
  for (const { job } of batch.chunks) if (failedKeys.includes(KEYS.job(job.uid))) jobs.add(job);
  for (const job of batch.finalJobs) if (failedKeys.includes(KEYS.job(job.uid))) jobs.add(job);
  return jobs;
}

/**
 * Reads the stored versions of these keys and updates the last known ones. A key that cannot be read keeps its last
 * known version, and the next transaction fails on it again. Calls back after the last response, or immediately if
 * there is nothing to read; never after being stopped.
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
