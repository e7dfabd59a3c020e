/** Outcomes of attempts: done marks (I6), and a single decision between cancelled and done (I8). */

import assert from "node:assert/strict";
import { test } from "node:test";
import { fencingTokenOf } from "../src/core/model/attempt-number.js";
import { jobSpec, type TaskStatus } from "./support/controller-harness.js";
import { leaderWithRunningTask } from "./support/leaders.js";

test("an ended attempt is not acknowledged while its done mark is still being written", () => {
  const { harness, attempt } = leaderWithRunningTask();
  for (let i = 0; i < 33; i++) {
    harness.advance(1000);
    harness.sendHeartbeat("A", [{ uid: "j-1", task: 0, attempt, state: "running" }]);
  }
  harness.submit(jobSpec("j-2", { tasks: 2 }));
  harness.advance(300);
  const ended = harness
    .startCommands("j-2")
    .map((start) => ({ ...start, uid: "j-2", state: "ended" as const, exitReason: "done" as const }));
  harness.timeOutCommands();

  assert.equal(ended.length, 2);

  const statuses: TaskStatus[] = ended.map((start, i) => (i === 0 ? start : { ...start, state: "running" }));
  statuses.push({ uid: "j-1", task: 0, attempt, state: "running" });
  harness.storeRule = (call) =>
    call.kind === "transaction" && JSON.stringify(call).includes("p/j-2") ? "hang" : null;
  const acknowledged: string[] = [];
  for (let i = 0; i < 45; i++) {
    const reply = harness.sendHeartbeat("A", statuses);
    if (reply?.kind === "commands")
      for (const command of reply.commands)
        if (command.kind === "acknowledge") acknowledged.push(`${command.task}`);
    harness.advance(1000);
  }

  assert.ok(harness.hangingCalls.length > 0, "the write of the done mark is in flight");
  assert.ok((harness.controller.election.lease?.fencingToken ?? 0) > fencingTokenOf(ended[0]?.attempt ?? 0));
  assert.deepEqual(acknowledged, []);
});

test("an ended attempt is acknowledged only once its agent has a higher fencing token than the one under which the attempt was started", () => {
  const { harness, attempt } = leaderWithRunningTask();
  const ended = { uid: "j-1", task: 0, attempt, state: "ended", exitReason: "done" } as const;
  const early = harness.sendHeartbeat("A", [ended]);

  assert.ok(early?.kind === "commands" && early.commands.every((command) => command.kind !== "acknowledge"));

  for (let i = 0; i < 33; i++) {
    harness.advance(1000);
    harness.sendHeartbeat("A", [ended]);
  }
  assert.ok((harness.controller.election.lease?.fencingToken ?? 0) > fencingTokenOf(attempt));

  const late = harness.sendHeartbeat("A", [ended]);
  assert.ok(late?.kind === "commands" && late.commands.some((command) => command.kind === "acknowledge"));
});

test("exactly one of a cancellation and a completion takes effect, and the outcome is final", () => {
  const { harness, attempt } = leaderWithRunningTask();
  harness.sendHeartbeat("A", [{ uid: "j-1", task: 0, attempt, state: "ended", exitReason: "done" }]);
  harness.advance(500);
  const response = harness.cancel("j-1");

  assert.ok(response?.kind === "status" && response.status.phase === "done");

  const cancelledFirst = leaderWithRunningTask();
  const cancelled = cancelledFirst.harness.cancel("j-1");
  assert.ok(cancelled?.kind === "status" && cancelled.status.phase === "cancelled");

  cancelledFirst.harness.sendHeartbeat("A", [
    { uid: "j-1", task: 0, attempt: cancelledFirst.attempt, state: "ended", exitReason: "done" },
  ]);
  cancelledFirst.harness.advance(3000);
  const laterResponse = cancelledFirst.harness.poll("j-1");

  assert.ok(laterResponse?.kind === "status" && laterResponse.status.phase === "cancelled");
  assert.equal(cancelledFirst.harness.submit(jobSpec("j-1"))?.kind, "accepted");
});
