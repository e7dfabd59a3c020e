import type { Context } from "../context.js";
import type { StoreEntry } from "../messages/store.js";
import { KEYS, readFinal } from "./records.js";

const READ_TIMEOUT_MS = 3000;

/** The job's own key exists; its record may be in the cancelled state. */
export interface StoredUnfinishedJob {
  readonly kind: "active";
  readonly entry: StoreEntry;
}

/** The job's final record exists. */
export interface StoredEndedJob {
  readonly kind: "ended";
  readonly state: "done" | "cancelled";
  /** Wall-clock time at which the job ended, in milliseconds; null if an earlier version wrote the record. */
  readonly endedAt: number | null;
}

/** The store did not respond, or neither key exists. */
export interface UnknownStoredJob {
  readonly kind: "unknown";
}

/** The stored state of a job. */
export type StoredJobState = StoredUnfinishedJob | StoredEndedJob | UnknownStoredJob;

/** Reads a job's key and, if that does not exist, its final record. Calls back once; does not retry. */
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
    onRead({ kind: "ended", state: record?.state ?? "done", endedAt: record?.at ?? null });
  });
}
