import { type BucketRecord, bucketMachines } from "./records.js";
import type { Machine, Tables } from "./tables.js";

/** The machines that share a record. */
export interface Bucket {
  readonly index: number;
  readonly machines: Set<Machine>;
  version: number;
  dirty: boolean;
}

/** Which record lists which machine: many share one, as one by one they would take a fleet's worth of writes. */
export class MachineRecords {
  readonly #tables: Tables;
  readonly #valueBytes: () => number;
  readonly #buckets: Bucket[] = [];

  constructor(tables: Tables, valueBytes: () => number) {
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
    if (bucket?.machines.delete(machine)) bucket.dirty = true;
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
    return { machines: [...machines].map((m) => [m.name, m.address, m.typeName, m.zone, m.spot]) };
  }

  #known(machine: Machine): Bucket | undefined {
    return machine.bucket === null ? undefined : this.#buckets[machine.bucket];
  }

  #bucket(index: number): Bucket {
    this.#buckets[index] ??= { index, machines: new Set(), version: 0, dirty: false };
    return this.#buckets[index];
  }

  #add(bucket: Bucket, machine: Machine): void {
    bucket.machines.add(machine);
    machine.bucket = bucket.index;
  }

  get #most(): number {
    return bucketMachines(this.#valueBytes());
  }

  #withRoom(): Bucket {
    const open = this.#buckets.find((bucket) => bucket.machines.size < this.#most);
    return open ?? this.#bucket(this.#buckets.length);
  }

  /** A machine's first placement: its neighbours of the same start ride along. */
  #assign(machine: Machine): Bucket {
    const bucket = this.#withRoom();
    this.#add(bucket, machine);
    for (const other of this.#tables.machines.values()) {
      if (bucket.machines.size >= this.#most) break;
      if (other.bucket === null && other.phase === "up" && other.address !== "") this.#add(bucket, other);
    }
    bucket.dirty = true;
    return bucket;
  }

  /** A record from before the value limit fell gives what it holds too much to others; those are written first. */
  #split(bucket: Bucket): Bucket[] {
    const others = new Set<Bucket>();
    for (const machine of bucket.machines) {
      if (bucket.machines.size <= this.#most) break;
      bucket.machines.delete(machine);
      const other = this.#withRoom();
      this.#add(other, machine);
      other.dirty = true;
      others.add(other);
    }
    return [...others, bucket];
  }
}
