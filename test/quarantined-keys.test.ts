/** Quarantine of records that cannot be decoded. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { jobSpec, type TaskStatus } from "./support/controller-harness.js";
import { electNextLeader, leaderWithRunningTask } from "./support/leaders.js";

test("records that cannot be decoded are logged and kept, and no task that they may concern is started", () => {
  const { harness: previousLeader, attempt } = leaderWithRunningTask();
  previousLeader.submit(jobSpec("j-2"));
  const put = (key: string, value: unknown) =>
    previousLeader.store.run(
      { kind: "transaction", conditions: [], changes: [{ put: key, value }] },
      previousLeader.now,
    );
  put("p/j-1/0", { held: "?" });
  put("j/j-3", ["?"]);
  put("m/7", 12);
  put("c/settings", "?");
  const newLeader = electNextLeader(previousLeader);

  assert.ok(newLeader.controller.leaderTerm?.agents.areRecordsLoaded);
  assert.ok(
    newLeader.errorLines.length >= 3 && newLeader.errorLines.every((text) => text === "unreadable record"),
  );

  newLeader.sendHeartbeat("B", [], { zone: "b" });
  const runningTask: TaskStatus = { uid: "j-1", task: 0, attempt, state: "running" };
  newLeader.sendHeartbeat("A", [runningTask], { fencingToken: 1 });
  newLeader.advance(1000);

  assert.deepEqual(
    newLeader.sendHeartbeat("A", [runningTask]),
    { kind: "commands", fencingToken: 2, commands: [] },
    "running tasks are left running",
  );

  newLeader.advance(60_000);
  newLeader.sendHeartbeat("B", [], { zone: "b" });
  newLeader.advance(500);

  assert.deepEqual(newLeader.startCommands("j-1"), [], "the task may be running");
  assert.deepEqual(previousLeader.store.entries.get("p/j-1/0")?.value, { held: "?" }, "the record is kept");
  assert.equal(newLeader.poll("j-3")?.kind, "unavailable");

  const queue = newLeader.controller.status().queue as { job: string; why: string }[];
  assert.ok(queue.some((entry) => entry.job === "j-1" && entry.why.includes("read")));
});
