import type { StoreChange, VersionCondition } from "../messages/store.js";
import type { Job } from "../model/job.js";
import type { Placement } from "../model/placement.js";
import type { DirtyChunk } from "./dirty-chunks.js";
import type { Bucket } from "./machine-records.js";
import type { MigrationRecord } from "./records.js";

/** A queued change to the single migration record; a null value clears it. */
export interface MigrationWrite {
  readonly value: MigrationRecord | null;
  /** Called once, after the change has been committed. */
  readonly onCommitted: () => void;
}

/**
 * One transaction and the records it contains, which are marked as written when it is committed and requeued when it is
 * not.
 */
export interface WriteBatch {
  readonly conditions: VersionCondition[];
  readonly changes: StoreChange[];
  /** Placement chunks that the transaction writes. */
  readonly chunks: DirtyChunk[];
  /** Active placements listed in `chunks`. */
  readonly placements: Placement[];
  /** Machine records that the transaction writes. */
  readonly buckets: Bucket[];
  /** Jobs whose key the transaction replaces by their final record. */
  readonly finalJobs: Job[];
  /** Deleted keys, except those of `finalJobs`. */
  readonly deletedKeys: string[];
  migration: MigrationWrite | null;
  /** Estimated encoded size. */
  bytes: number;
}

/** Counts the records of a batch that could each be written in a separate transaction. */
export function countSeparableRecords(batch: WriteBatch): number {
  return batch.chunks.length + batch.finalJobs.length + batch.deletedKeys.length + (batch.migration ? 1 : 0);
}

/** Creates a batch without changes, conditioned on this node still being the leader (I5). */
export function emptyBatch(leadership: VersionCondition): WriteBatch {
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
