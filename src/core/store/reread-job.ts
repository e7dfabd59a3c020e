import type { Context } from "../context.js";
import type { StoreEntry } from "../messages/store.js";
import { KEYS, readFinal } from "./records.js";

const READ_TIMEOUT_MS = 3000;

/** The job's own key exists. Its record may say that the job is cancelled. */
export interface StoredUnfinishedJob {
  readonly kind: "active";
  readonly entry: StoreEntry;
}

/** The job's final record is written. */
export interface StoredFinishedJob {
  readonly kind: "over";
  readonly state: "done" | "cancelled";
  /** Wall time of its end in milliseconds; null in records of older versions. */
  readonly endedAt: number | null;
}

/** The store did not answer, or neither key exists. */
export interface UnknownStoredJob {
  readonly kind: "unknown";
}

/** What is on record of a job. */
export type StoredJobState = StoredUnfinishedJob | StoredFinishedJob | UnknownStoredJob;

/** Reads a job's key and, if it does not exist, its final record. Calls back once, without retrying. */
export function rereadJob(ctx: Context, uid: string, onRead: (stored: StoredJobState) => void): void {
  ctx.callStore({ kind: "get", key: KEYS.job(uid) }, READ_TIMEOUT_MS, (response) => {
    if (response.kind === "found") onRead({ kind: "active", entry: response.entry });
    else if (response.kind === "notFound") rereadFinalRecord(ctx, uid, onRead);
    else onRead({ kind: "unknown" });
  });
}

function rereadFinalRecord(ctx: Context, uid: string, onRead: (stored: StoredJobState) => void): void {
  ctx.callStore({ kind: "get", key: KEYS.final(uid) }, READ_TIMEOUT_MS, (response) => {
    if (response.kind !== "found") {
      onRead({ kind: "unknown" });
      return;
    }
    const record = readFinal(response.entry.value);
    onRead({ kind: "over", state: record?.state ?? "done", endedAt: record?.at ?? null });
  });
}
