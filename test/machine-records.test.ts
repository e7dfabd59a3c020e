/** Machine records: several machines share one key, and each value stays within the store's size limit. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ClusterState } from "../src/core/model/cluster-state.js";
import { NameRegistry } from "../src/core/model/interner.js";
import { MachineRecords } from "../src/core/store/machine-records.js";
import { SMALL_LIMITS } from "./support/small-limits.js";

test("a machine record that exceeds the value limit is split, and the part moved to another record is written first", () => {
  const cluster = new ClusterState(new NameRegistry());
  let valueBytes = 8192;
  const records = new MachineRecords(cluster, () => valueBytes);
  const machineFields = { address: "10.1.0.232:9000", type: "small", zone: "a", spot: false };
  const machines = Array.from({ length: 48 }, (_, i) =>
    cluster.ensureMachine(`i-${String(i).padStart(6, "0")}`, machineFields, 0),
  );
  records.restore(0, machines, 5);

  assert.deepEqual(records.dirtyBuckets(), []);

  valueBytes = SMALL_LIMITS.valueBytes;
  const [removed, other] = machines;
  assert.ok(removed && other);
  assert.deepEqual(records.dirtyBucketsFor(other), [], "an unchanged record is not dirty");

  records.onMachineTerminated(removed);
  const changedRecords = records.dirtyBuckets();
  assert.deepEqual(
    changedRecords.map(({ index }) => index),
    [1, 0],
  );
  for (const bucket of changedRecords)
    assert.ok(Buffer.byteLength(JSON.stringify(records.encode(bucket))) <= valueBytes, `${bucket.index}`);

  const recordedNames = changedRecords.flatMap((bucket) =>
    records.encode(bucket).machines.map(([name]) => name),
  );
  assert.deepEqual(
    recordedNames.sort(),
    machines.slice(1).map(({ name }) => name),
  );
});

test("machine records stay within the value limit for machine names of any length", () => {
  const cluster = new ClusterState(new NameRegistry());
  const records = new MachineRecords(cluster, () => SMALL_LIMITS.valueBytes);
  for (let i = 0; i < 30; i++) {
    const name = `i-${i}${"x".repeat((i * 37) % 290)}`;
    const machineFields = { address: "10.1.0.232:9000", type: "small", zone: "a", spot: false };
    const machine = cluster.ensureMachine(name, machineFields, 0);
    machine.phase = "up";
  }
  for (const machine of cluster.machines.values()) records.dirtyBucketsFor(machine);
  const buckets = records.dirtyBuckets();

  for (const bucket of buckets)
    assert.ok(
      Buffer.byteLength(JSON.stringify(records.encode(bucket))) <= SMALL_LIMITS.valueBytes,
      `${bucket.index}`,
    );
  assert.equal(buckets.flatMap((bucket) => records.encode(bucket).machines).length, 30);
  assert.ok(buckets.length < 10, `${buckets.length} records`);
});
