import type { ClusterState } from "../model/cluster-state.js";
import type { Machine } from "../model/machine.js";
import { encodedBytes } from "../model/store-limits.js";
import type { BucketRecord } from "./records.js";

/** Maximum number of machines in one record. */
const MAX_MACHINES_PER_RECORD = 48;
/** Estimated encoded size of a record without machines. */
const EMPTY_RECORD_BYTES = 32;
/** Size budgeted for an address even while it is unknown, since it may become known after the machine is recorded. */
const ADDRESS_BYTES = 24;

/** A group of machines stored in one record. */
export interface Bucket {
  readonly index: number;
  readonly machines: Set<Machine>;
  /** Estimated encoded size of the record. */
  bytes: number;
  /** Last known version of the record's key; 0 if it was never written. */
  version: number;
  /** True if the record differs from the stored one or has not been written yet. */
  dirty: boolean;
}

/**
 * Assigns machines to records (buckets), each shared by many machines, and tracks which buckets need to be written. A
 * machine stays in its bucket until it is terminated or the bucket exceeds the value limit.
 */
export class MachineRecords {
  readonly #cluster: ClusterState;
  readonly #maxValueBytes: () => number;
  readonly #buckets: Bucket[] = [];

  constructor(cluster: ClusterState, maxValueBytes: () => number) {
    this.#cluster = cluster;
    this.#maxValueBytes = maxValueBytes;
  }

  /** Restores a record written by an earlier leader; the bucket is not dirty afterwards. */
  restore(index: number, machines: readonly Machine[], version: number): void {
    for (let i = this.#buckets.length; i <= index; i++) this.#bucketAt(i);
    const bucket = this.#bucketAt(index);
    bucket.version = version;
    for (const machine of machines) this.#add(bucket, machine);
  }

  /** Removes a terminated machine from its bucket, which a later transaction rewrites. */
  onMachineTerminated(machine: Machine): void {
    const bucket = this.#bucketOf(machine);
    if (bucket?.machines.has(machine)) {
      this.#remove(bucket, machine);
      bucket.dirty = true;
    }
  }

  /** Returns the buckets to write, in this order, to record the machine; assigns it to a bucket if it has none. */
  dirtyBucketsFor(machine: Machine): Bucket[] {
    const bucket = this.#bucketOf(machine) ?? this.#assign(machine);
    return bucket.dirty ? this.#split(bucket) : [];
  }

  /** Returns all buckets to write, by descending index, so that a receiver of machines precedes their source. */
  dirtyBuckets(): Bucket[] {
    return this.#buckets
      .filter((bucket) => bucket.dirty)
      .flatMap((bucket) => this.#split(bucket))
      .sort((a, b) => b.index - a.index);
  }

  /** Encodes a bucket as it is stored. */
  encode({ machines }: Bucket): BucketRecord {
    return { machines: [...machines].map(encodeMachine) };
  }

  #bucketOf(machine: Machine): Bucket | undefined {
    return machine.recordIndex === null ? undefined : this.#buckets[machine.recordIndex];
  }

  /** Returns the bucket with this index, creating it if it does not exist. */
  #bucketAt(index: number): Bucket {
    this.#buckets[index] ??= {
      index,
      machines: new Set(),
      bytes: EMPTY_RECORD_BYTES,
      version: 0,
      dirty: false,
    };
    return this.#buckets[index];
  }

  #add(bucket: Bucket, machine: Machine): void {
    bucket.machines.add(machine);
    bucket.bytes += machineBytes(machine);
    machine.recordIndex = bucket.index;
  }

  #remove(bucket: Bucket, machine: Machine): void {
    bucket.machines.delete(machine);
    bucket.bytes -= machineBytes(machine);
  }

  /** True if a record of this size may be written; a record with a single machine is always allowed. */
  #isWithinLimits(machineCount: number, bytes: number): boolean {
    if (machineCount <= 1) return true;
    return machineCount <= MAX_MACHINES_PER_RECORD && bytes <= this.#maxValueBytes();
  }

  #canTake({ machines, bytes }: Bucket, machine: Machine): boolean {
    return this.#isWithinLimits(machines.size + 1, bytes + machineBytes(machine));
  }

  /** Finds a bucket with room for a machine; searches from the last bucket, the most likely to have room. */
  #bucketFor(machine: Machine): Bucket {
    for (let i = this.#buckets.length - 1; i >= 0; i--) {
      const bucket = this.#bucketAt(i);
      if (this.#canTake(bucket, machine)) return bucket;
    }
    return this.#bucketAt(this.#buckets.length);
  }

  /** Assigns a machine at its first placement, together with other unrecorded machines, so that one write suffices. */
  #assign(machine: Machine): Bucket {
    const bucket = this.#bucketFor(machine);
    this.#add(bucket, machine);
    for (const other of this.#cluster.machines.values()) {
      if (other.recordIndex !== null || other.phase !== "up" || other.address === "") continue;
      if (!this.#canTake(bucket, other)) break;
      this.#add(bucket, other);
    }
    bucket.dirty = true;
    return bucket;
  }

  /**
   * Moves machines out of a bucket until it is within the limits; it may exceed them if it was written under a higher
   * value limit. Returns the buckets to write, receivers first, so that no machine is ever missing from the records.
   */
  #split(bucket: Bucket): Bucket[] {
    const receivers = new Set<Bucket>();
    for (const machine of bucket.machines) {
      if (this.#isWithinLimits(bucket.machines.size, bucket.bytes)) break;
      this.#remove(bucket, machine);
      const receiver = this.#bucketFor(machine);
      this.#add(receiver, machine);
      receiver.dirty = true;
      receivers.add(receiver);
    }
    return [...receivers, bucket];
  }
}

function machineBytes({ name, typeName, zone }: Machine): number {
  return encodedBytes([name, "", typeName, zone, false]) + ADDRESS_BYTES;
}

function encodeMachine({ name, address, typeName, zone, spot }: Machine): BucketRecord["machines"][number] {
  return [name, address, typeName, zone, spot];
}
