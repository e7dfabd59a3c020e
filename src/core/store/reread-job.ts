import type { Context } from "../context.js";
import type { StoreEntry } from "../messages/store.js";
import { KEYS, readFinal } from "./records.js";

const CALL_MS = 3000;

/** What a leader finds on record of a job that it holds. */
export type Reread =
  | { readonly kind: "active"; readonly item: StoreEntry }
  | { readonly kind: "over"; readonly state: "done" | "cancelled"; readonly at: number | null }
  /** No answer, or neither key was there. */
  | { readonly kind: "unknown" };

/** Reads a job's key and, where that is gone, its final one. */
export function rereadJob(ctx: Context, uid: string, then: (found: Reread) => void): void {
  ctx.callStore({ kind: "get", key: KEYS.job(uid) }, CALL_MS, (answer) => {
    if (answer.kind === "found") then({ kind: "active", item: answer.entry });
    else if (answer.kind === "notFound") rereadFinal(ctx, uid, then);
    else then({ kind: "unknown" });
  });
}

function rereadFinal(ctx: Context, uid: string, then: (found: Reread) => void): void {
  ctx.callStore({ kind: "get", key: KEYS.final(uid) }, CALL_MS, (answer) => {
    if (answer.kind !== "found") {
      then({ kind: "unknown" });
      return;
    }
    const record = readFinal(answer.entry.value);
    then({ kind: "over", state: record?.state ?? "done", at: record?.at ?? null });
  });
}
