/** 6,000 machines: fencing within one agent lease, the paginated cloud list, and chunks in two layouts. */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { CloudMachine, CloudRequest } from "../src/core/messages/cloud.js";
import { readChunks } from "../src/core/store/stored-chunks.js";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";

const MACHINES = 6000;
const PAGE = 500;
const LEASE_MS = 12_000;
/** How long a new leader waits for heartbeats before it contacts agents itself. */
const GRACE_MS = 3000;
const TICK_MS = 100;
const NAMES = Array.from({ length: MACHINES }, (_, i) => `i-${String(i).padStart(6, "0")}`);

/** Serves the cloud list in twelve pages; a list call, counted from 1, fails if `isRefused` is true for it. */
function serveCloudList(harness: ControllerHarness, isRefused: (call: number) => boolean): { calls: number } {
  const counter = { calls: 0 };
  const defaultCloudRule = harness.cloudRule;
  harness.cloudRule = (call: CloudRequest) => {
    if (call.kind !== "list") return defaultCloudRule(call);
    counter.calls++;
    if (isRefused(counter.calls)) return { kind: "unavailable", reason: "status 429" };
    const offset = call.after === null ? 0 : NAMES.indexOf(call.after) + 1;
    const machines = NAMES.slice(offset, offset + PAGE).map(
      (name): CloudMachine => ({
        name,
        address: `${name}:1`,
        type: "small",
        zone: "a",
        spot: false,
        phase: "running",
        ageS: 1,
      }),
    );
    return { kind: "page", machines, more: offset + PAGE < NAMES.length };
  };
  return counter;
}

// Guards against fencing a fixed four machines per tick: 6,000 machines took 150 s, longer than any agent lease.
test("a new leader of 6,000 silent machines sends its fencing token to all of them within one agent lease, at an even rate", () => {
  const harness = new ControllerHarness();
  const machinesFrom = (from: number) =>
    NAMES.slice(from, from + 40).map((name) => [name, `${name}:1`, "small", "a", false]);
  for (let i = 0; i < MACHINES / 40; i++) {
    const changes = [{ put: `m/${i}`, value: { machines: machinesFrom(i * 40) } }];
    harness.store.run({ kind: "transaction", conditions: [], changes }, 0);
  }
  harness.becomeLeader();

  assert.equal(harness.controller.leaderTerm?.cluster.machines.size, MACHINES);

  const fenced = new Set<string>();
  let maxPerTick = 0;
  for (let ms = 0; ms < GRACE_MS + LEASE_MS; ms += TICK_MS) {
    harness.advance(TICK_MS);
    maxPerTick = Math.max(maxPerTick, harness.sentCommands.length);
    for (const { machine } of harness.sentCommands.splice(0)) fenced.add(machine);
    harness.timeOutCommands();
  }

  assert.equal(fenced.size, MACHINES);
  assert.ok(maxPerTick <= MACHINES / (LEASE_MS / TICK_MS) + 1, `${maxPerTick} commands in one tick`);
});

// Guards against restarting the list after a refused page: in every term, no machine is provisioned until the list has
// been read completely once.
test("a cloud list of twelve pages completes even if every third call is refused, with a bounded number of calls", () => {
  const harness = new ControllerHarness();
  const counter = serveCloudList(harness, (call) => call % 3 === 0);
  harness.becomeLeader();
  harness.advance(10_000);

  assert.equal(harness.controller.leaderTerm?.cluster.machines.size, MACHINES);
  assert.ok(counter.calls <= 2 * 18, `${counter.calls} calls`);

  const { calls: callsBefore } = counter;
  harness.advance(30_000);
  const perSecond = (counter.calls - callsBefore) / 30;

  assert.ok(perSecond <= 5 * 0.6, `${perSecond} list calls a second`);
});

test("if more machines exist than max_machines allows, all stay in cluster state, none is provisioned and a warning is logged", () => {
  const harness = new ControllerHarness();
  serveCloudList(harness, () => false);
  harness.store.run(
    { kind: "transaction", conditions: [], changes: [{ put: "c/settings", value: { max_machines: 2000 } }] },
    0,
  );
  harness.becomeLeader();
  harness.submit(jobSpec("j-1", { tasks: 10 }));
  harness.advance(10_000);

  assert.equal(harness.controller.leaderTerm?.cluster.machines.size, MACHINES);
  assert.ok(harness.logLines.includes("machine count exceeds max_machines"));
  assert.deepEqual(
    harness.cloudCalls.filter(({ kind }) => kind === "create"),
    [],
  );
});

test("for a job of 100,000 tasks with chunks in two layouts, the smaller chunks take precedence regardless of version", () => {
  const items = [];
  for (let i = 0; i < 782; i++)
    items.push({ key: `p/j-1/${i}`, version: 3, value: { held: [[i * 128, "M0", 1, 1]], done: [] } });
  for (let firstTask = 0; firstTask < 50_000; firstTask += 32)
    items.push({
      key: `p/j-1/${firstTask}.32`,
      version: 2,
      value: { held: [[firstTask, "M1", 1, 2]], done: [] },
    });
  const chunks = readChunks(items).byJob.get("j-1") ?? [];
  const placedOn = (machine: string) =>
    chunks.flatMap((chunk) => chunk.placements).filter((placed) => placed.machine === machine);

  assert.equal(placedOn("M1").length, Math.ceil(50_000 / 32));

  // Larger chunks remain valid from the first one that no smaller chunk overlaps.
  const remaining = placedOn("M0").map(({ task }) => task);
  assert.ok(remaining.length > 0 && remaining.every((task) => task >= 50_000 - 32));
});
