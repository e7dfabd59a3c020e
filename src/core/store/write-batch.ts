import type { StoreChange, VersionCondition } from "../messages/store.js";
import type { Job } from "../model/job.js";
import type { Placement } from "../model/placement.js";
import type { DirtyChunk } from "./dirty-chunks.js";
import type { Bucket } from "./machine-records.js";
import type { MigrationRecord } from "./records.js";

/** A queued change of the one migration record; null clears it. */
export interface MigrationWrite {
  readonly value: MigrationRecord | null;
  /** Called once, after the change is committed. */
  readonly onCommitted: () => void;
}

/**
 * One transaction, and the records that it is made of: what is applied when it is committed, and what is queued again
 * when it is not.
 */
export interface Batch {
  readonly conditions: VersionCondition[];
  readonly changes: StoreChange[];
  /** Placement chunks written. */
  readonly chunks: DirtyChunk[];
  /** The active placements that those chunks list. */
  readonly placements: Placement[];
  /** Machine records written. */
  readonly buckets: Bucket[];
  /** Jobs whose key is replaced by their final record. */
  readonly finalJobs: Job[];
  /** Keys deleted, other than those of `finalJobs`. */
  readonly deletedKeys: string[];
  migration: MigrationWrite | null;
  /** Estimated encoded size. */
  bytes: number;
}

/** How many records of a batch could each be written in a transaction of their own. */
export function countSeparableRecords(batch: Batch): number {
  return batch.chunks.length + batch.finalJobs.length + batch.deletedKeys.length + (batch.migration ? 1 : 0);
}

/** A batch without changes, on the condition that this node still is the leader (I5). */
export function emptyBatch(leadership: VersionCondition): Batch {
  return {
    conditions: [leadership],
    changes: [],
    chunks: [],
    placements: [],
    buckets: [],
    finalJobs: [],
    deletedKeys: [],
    migration: null,
    bytes: 0,
  };
}
