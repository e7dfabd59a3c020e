import type { ClusterState } from "../model/cluster-state.js";
import type { Machine } from "../model/machine.js";
import { encodedBytes } from "../model/store-limits.js";
import type { BucketRecord } from "./records.js";

/** The most machines in one record. */
const MAX_MACHINES_PER_RECORD = 48;
/** The encoded size of a record without machines. */
const EMPTY_RECORD_BYTES = 32;
/** Counted for an address, also where it is not known yet: it may come after the machine has been recorded. */
const ADDRESS_BYTES = 24;

/** The machines that share a record. */
export interface Bucket {
  readonly index: number;
  readonly machines: Set<Machine>;
  /** Estimated encoded size of the record. */
  bytes: number;
  /** Version of the record's key as last seen; 0 if it was never written. */
  version: number;
  /** True if the record differs from what is stored, or is yet to be written. */
  dirty: boolean;
}

/**
 * Assigns machines to records (buckets) that many machines share, and knows which of these are to be written. A machine
 * stays in its bucket until it is terminated or the bucket exceeds the value limit.
 */
export class MachineRecords {
  readonly #cluster: ClusterState;
  readonly #maxValueBytes: () => number;
  readonly #buckets: Bucket[] = [];

  constructor(cluster: ClusterState, maxValueBytes: () => number) {
    this.#cluster = cluster;
    this.#maxValueBytes = maxValueBytes;
  }

  /** Restores a record that a previous leader has written; it counts as unchanged. */
  restore(index: number, machines: readonly Machine[], version: number): void {
    for (let i = this.#buckets.length; i <= index; i++) this.#bucketAt(i);
    const bucket = this.#bucketAt(index);
    bucket.version = version;
    for (const machine of machines) this.#add(bucket, machine);
  }

  /** Removes a terminated machine from its record, which is written again with some later transaction. */
  onMachineTerminated(machine: Machine): void {
    const bucket = this.#bucketOf(machine);
    if (bucket?.machines.has(machine)) {
      this.#remove(bucket, machine);
      bucket.dirty = true;
    }
  }

  /** The records to be written, in this order, so that the one that lists the machine is on record; assigns it to one. */
  dirtyBucketsFor(machine: Machine): Bucket[] {
    const bucket = this.#bucketOf(machine) ?? this.#assign(machine);
    return bucket.dirty ? this.#split(bucket) : [];
  }

  /** All records to be written; by falling index, so that one that took machines from another comes before it. */
  dirtyBuckets(): Bucket[] {
    return this.#buckets
      .filter((bucket) => bucket.dirty)
      .flatMap((bucket) => this.#split(bucket))
      .sort((a, b) => b.index - a.index);
  }

  /** Encodes a record. */
  encode({ machines }: Bucket): BucketRecord {
    return { machines: [...machines].map(encodeMachine) };
  }

  #bucketOf(machine: Machine): Bucket | undefined {
    return machine.recordIndex === null ? undefined : this.#buckets[machine.recordIndex];
  }

  /** The bucket of an index, created if there is none. */
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

  /** True if a record of so many machines and bytes may be written; one machine has to fit in any case. */
  #isWithinLimits(machineCount: number, bytes: number): boolean {
    if (machineCount <= 1) return true;
    return machineCount <= MAX_MACHINES_PER_RECORD && bytes <= this.#maxValueBytes();
  }

  #canTake({ machines, bytes }: Bucket, machine: Machine): boolean {
    return this.#isWithinLimits(machines.size + 1, bytes + machineBytes(machine));
  }

  /** A bucket that can take a machine; searched from the last one, which is the likeliest to be able to. */
  #bucketFor(machine: Machine): Bucket {
    for (let i = this.#buckets.length - 1; i >= 0; i--) {
      const bucket = this.#bucketAt(i);
      if (this.#canTake(bucket, machine)) return bucket;
    }
    return this.#bucketAt(this.#buckets.length);
  }

  /** Assigns a machine at its first placement, along with others that are not on record: one write serves them all. */
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
   * Moves machines out of a bucket until it is within the limits, as one written under a higher value limit may not be.
   * Returns the buckets to be written, those that took machines first: no machine is off record in between.
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
