/** Precedence among overlapping chunks of placements under different keys. */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { StoreEntry } from "../src/core/messages/store.js";
import { readChunks } from "../src/core/store/stored-chunks.js";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";
import { FakeStore } from "./support/fake-store.js";
import { receiveFromBothPeers } from "./support/peer-versions.js";
import { runFor } from "./support/running-agents.js";

/** Asserts that the chunks yield the same placements when read in either order. */
function assertReadInAnyOrder(items: readonly StoreEntry[]): void {
  for (const order of [items, [...items].reverse()]) {
    const { byJob: found, unreadable } = readChunks(order);
    const chunks = found.get("j-1") ?? [];
    assert.deepEqual(chunks.flatMap(({ done }) => done).sort(), [0, 1, 2, 3]);
    assert.deepEqual(
      chunks.flatMap(({ placements: placed }) => placed.map(({ task }) => task)),
      [40],
    );
    assert.deepEqual(unreadable, [{ key: "p/j-1/x", uid: "j-1" }]);
  }
}

test("among chunks that cover the same task the smaller takes precedence, and among smaller ones the newest", () => {
  const items: StoreEntry[] = [
    {
      key: "p/j-1/0",
      version: 5,
      value: {
        held: [
          [3, "A", 1, 7],
          [40, "A", 1, 7],
        ],
        done: [[0, 1]],
      },
    },
    { key: "p/j-1/0.32", version: 9, value: { held: [], done: [[0, 3]] } },
    { key: "p/j-1/x", version: 9, value: {} },
  ];
  // The transaction that wrote the larger chunk may have been applied late.
  for (const version of [5, 12])
    assertReadInAnyOrder(items.map((item) => (item.key === "p/j-1/0" ? { ...item, version } : item)));
  const smallerChunks: StoreEntry[] = [
    { key: "p/j-2/0.32", version: 5, value: { held: [[20, "A", 1, 7]], done: [] } },
    { key: "p/j-2/0.24", version: 8, value: { held: [[20, "B", 1, 8]], done: [] } },
  ];
  const [chunk] =
    readChunks(smallerChunks)
      .byJob.get("j-2")
      ?.filter(({ placements: placed }) => placed.length > 0) ?? [];

  assert.equal(chunk?.placements[0]?.machine, "B");
});

test("the chunks of a job never become larger again, whatever limits a later leader has", () => {
  const store = new FakeStore();
  const leaderWithLimit = (valueBytes: number, node: string, now: number) => {
    const harness = new ControllerHarness(node, store, { settings: { valueBytes, nextStoreLimits: null } });
    harness.now = now;
    harness.becomeLeader();
    receiveFromBothPeers(harness);
    harness.advance(500);
    return harness;
  };
  const smallLimitLeader = leaderWithLimit(2048, "n0", 1000);
  smallLimitLeader.sendHeartbeat("A");
  smallLimitLeader.submit(jobSpec("j-1", { tasks: 100, need: { cpu: 10, gpu: 0, ram: 10 } }));
  smallLimitLeader.advance(1000);
  runFor(smallLimitLeader, 2);

  assert.ok(store.entries.has("p/j-1/32.32"));

  store.expire(smallLimitLeader.now + 60_000);
  const largeLimitLeader = leaderWithLimit(8192, "n1", smallLimitLeader.now + 60_000);
  largeLimitLeader.sendHeartbeat("A");
  largeLimitLeader.submit(jobSpec("j-2", { tasks: 100, need: { cpu: 10, gpu: 0, ram: 10 } }));
  runFor(largeLimitLeader, 3);

  assert.ok(store.entries.has("p/j-2/0"));
  assert.ok(!store.entries.has("p/j-1/0"));
});
