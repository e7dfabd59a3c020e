import type { Context } from "../context.js";
import type { StoreChange, VersionCondition } from "../messages/store.js";
import type { Job } from "../model/job.js";
import type { Placement } from "../model/placement.js";
import type { DirtyChunk } from "./dirty-chunks.js";
import type { Bucket } from "./machine-records.js";
import type { MigrationRecord } from "./records.js";

/** The leader's part of the write limit; the rest is left to submissions and cancellations. */
const SHARE = 0.8;

/** What goes into one transaction, and what it is made of. */
export interface Batch {
  readonly conditions: VersionCondition[];
  readonly changes: StoreChange[];
  readonly chunks: DirtyChunk[];
  readonly placements: Placement[];
  readonly buckets: Bucket[];
  readonly finals: Job[];
  readonly removed: string[];
  move: { readonly value: MigrationRecord | null; readonly then: () => void } | null;
  bytes: number;
}

/** How many records are in it that could each be written alone. */
export function itemsOf(batch: Batch): number {
  return batch.chunks.length + batch.finals.length + batch.removed.length + (batch.move ? 1 : 0);
}

/** A transaction without changes, under the condition that this leader still leads. */
export function emptyBatch(leadership: VersionCondition): Batch {
  return {
    conditions: [leadership],
    changes: [],
    chunks: [],
    placements: [],
    buckets: [],
    finals: [],
    removed: [],
    move: null,
    bytes: 0,
  };
}

/** How many changes the leader may write at this moment: its part of the rate, with bursts of a second's worth. */
export class WriteBudget {
  readonly #ctx: Context;
  #left: number;
  #at: number;

  constructor(ctx: Context) {
    this.#ctx = ctx;
    this.#left = ctx.limits.writeRps(ctx.now) * SHARE;
    this.#at = ctx.now;
  }

  available(): number {
    const { limits, now } = this.#ctx;
    const rate = limits.writeRps(now) * SHARE;
    this.#left = Math.min(rate, this.#left + ((now - this.#at) * rate) / 1000);
    this.#at = now;
    return Math.floor(this.#left);
  }

  spend(changes: number): void {
    this.#left -= changes;
  }
}
