import type { Context } from "../context.js";
import type { StateItem } from "../types.js";
import { KEYS, readFinal } from "./records.js";

const CALL_MS = 3000;

/** What a leader finds on record of a job that it holds. */
export type Reread =
  | { readonly t: "active"; readonly item: StateItem }
  | { readonly t: "over"; readonly state: "done" | "cancelled"; readonly at: number | null }
  /** No answer, or neither key was there. */
  | { readonly t: "unknown" };

/** Reads a job's key and, where that is gone, its final one. */
export function rereadJob(ctx: Context, uid: string, then: (found: Reread) => void): void {
  ctx.state({ t: "get", key: KEYS.job(uid) }, CALL_MS, (answer) => {
    if (answer.t === "item") then({ t: "active", item: answer.item });
    else if (answer.t === "absent") rereadFinal(ctx, uid, then);
    else then({ t: "unknown" });
  });
}

function rereadFinal(ctx: Context, uid: string, then: (found: Reread) => void): void {
  ctx.state({ t: "get", key: KEYS.final(uid) }, CALL_MS, (answer) => {
    if (answer.t !== "item") {
      then({ t: "unknown" });
      return;
    }
    const record = readFinal(answer.item.value);
    then({ t: "over", state: record?.state ?? "done", at: record?.at ?? null });
  });
}
