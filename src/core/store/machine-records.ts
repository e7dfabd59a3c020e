import type { ClusterState } from "../model/cluster-state.js";
import type { Machine } from "../model/machine.js";
import { type BucketRecord, MAX_MACHINES_PER_RECORD } from "./records.js";
import { encodedBytes } from "./store-limits.js";

/** The machines that share a record. */
export interface Bucket {
  readonly index: number;
  readonly machines: Set<Machine>;
  /** What the record takes. */
  bytes: number;
  version: number;
  dirty: boolean;
}

/** What a record takes beside its machines. */
const FRAME_BYTES = 32;

/** Which record lists which machine: many share one, as one by one they would take a fleet's worth of writes. */
export class MachineRecords {
  readonly #tables: ClusterState;
  readonly #valueBytes: () => number;
  readonly #buckets: Bucket[] = [];

  constructor(tables: ClusterState, valueBytes: () => number) {
    this.#tables = tables;
    this.#valueBytes = valueBytes;
  }

  /** Takes over a record that an earlier leader wrote. */
  inherit(index: number, machines: readonly Machine[], version: number): void {
    for (let i = this.#buckets.length; i <= index; i++) this.#bucket(i);
    const bucket = this.#bucket(index);
    bucket.version = version;
    for (const machine of machines) this.#add(bucket, machine);
  }

  gone(machine: Machine): void {
    const bucket = this.#known(machine);
    if (bucket?.machines.has(machine)) {
      this.#remove(bucket, machine);
      bucket.dirty = true;
    }
  }

  /** The records to be written, in this order, so that the one that lists the machine is on record. */
  toWrite(machine: Machine): Bucket[] {
    const bucket = this.#known(machine) ?? this.#assign(machine);
    return bucket.dirty ? this.#split(bucket) : [];
  }

  /** Records that have changed, the ones that took machines over from others first. */
  changed(): Bucket[] {
    return this.#buckets
      .filter((bucket) => bucket.dirty)
      .flatMap((bucket) => this.#split(bucket))
      .sort((a, b) => b.index - a.index);
  }

  value({ machines }: Bucket): BucketRecord {
    return { machines: [...machines].map(entryOf) };
  }

  #known(machine: Machine): Bucket | undefined {
    return machine.recordIndex === null ? undefined : this.#buckets[machine.recordIndex];
  }

  #bucket(index: number): Bucket {
    this.#buckets[index] ??= {
      index,
      machines: new Set(),
      bytes: FRAME_BYTES,
      version: 0,
      dirty: false,
    };
    return this.#buckets[index];
  }

  #add(bucket: Bucket, machine: Machine): void {
    bucket.machines.add(machine);
    bucket.bytes += entryBytes(machine);
    machine.recordIndex = bucket.index;
  }

  #remove(bucket: Bucket, machine: Machine): void {
    bucket.machines.delete(machine);
    bucket.bytes -= entryBytes(machine);
  }

  /** True if a record of so many machines and bytes may be written; one machine has to fit in any case. */
  #fits(machines: number, bytes: number): boolean {
    return machines <= 1 || (machines <= MAX_MACHINES_PER_RECORD && bytes <= this.#valueBytes());
  }

  #hasRoomFor({ machines, bytes }: Bucket, machine: Machine): boolean {
    return this.#fits(machines.size + 1, bytes + entryBytes(machine));
  }

  #withRoomFor(machine: Machine): Bucket {
    // The last ones are the likeliest to have room.
    for (let i = this.#buckets.length - 1; i >= 0; i--) {
      const bucket = this.#bucket(i);
      if (this.#hasRoomFor(bucket, machine)) return bucket;
    }
    return this.#bucket(this.#buckets.length);
  }

  /** A machine's first placement: its neighbours of the same start ride along. */
  #assign(machine: Machine): Bucket {
    const bucket = this.#withRoomFor(machine);
    this.#add(bucket, machine);
    for (const other of this.#tables.machines.values()) {
      if (other.recordIndex !== null || other.phase !== "up" || other.address === "") continue;
      if (!this.#hasRoomFor(bucket, other)) break;
      this.#add(bucket, other);
    }
    bucket.dirty = true;
    return bucket;
  }

  /** A record from before the value limit fell gives what it holds too much to others; those are written first. */
  #split(bucket: Bucket): Bucket[] {
    const others = new Set<Bucket>();
    for (const machine of bucket.machines) {
      if (this.#fits(bucket.machines.size, bucket.bytes)) break;
      this.#remove(bucket, machine);
      const other = this.#withRoomFor(machine);
      this.#add(other, machine);
      other.dirty = true;
      others.add(other);
    }
    return [...others, bucket];
  }
}

/** An address may come only after the machine has been recorded: it is counted as if it were there. */
const ADDRESS_BYTES = 24;

function entryBytes({ name, typeName, zone }: Machine): number {
  return encodedBytes([name, "", typeName, zone, false]) + ADDRESS_BYTES;
}

function entryOf({ name, address, typeName, zone, spot }: Machine): BucketRecord["machines"][number] {
  return [name, address, typeName, zone, spot];
}
