/** Helpers for tests of job dependencies. */

import assert from "node:assert/strict";
import type { StoreRequest } from "../../src/core/messages/store.js";
import type { UserResponse } from "../../src/core/messages/users.js";
import type { JobSpec } from "../../src/core/model/job-spec.js";
import { ControllerHarness, jobSpec, type TaskStatus } from "./controller-harness.js";

/** Returns the job phase in a user response, or the response kind if it has no phase. */
export function phaseOf(response: UserResponse | undefined): string {
  return response?.kind === "status" || response?.kind === "accepted"
    ? response.status.phase
    : (response?.kind ?? "nothing");
}

/** Creates a leader with machine A, on which j-1 runs; j-2 depends on j-1. */
export function leaderWithDependentJob(overrides: Partial<JobSpec> = {}): {
  harness: ControllerHarness;
  runningTask: TaskStatus;
} {
  const harness = new ControllerHarness().becomeLeader();
  harness.sendHeartbeat("A");
  harness.submit(jobSpec("j-1", overrides));
  harness.submit(jobSpec("j-2", { awaits: ["j-1"] }));
  harness.advance(300);
  const start = harness.startCommands("j-1")[0];
  assert.ok(start);
  const runningTask = { uid: "j-1", task: 0, attempt: start.attempt, state: "running" } as const;
  harness.replyToCommands("A", [runningTask]);
  return { harness, runningTask };
}

/** Returns whether a store request writes the final record of a job. */
export function writesFinalRecord(call: StoreRequest, uid: string): boolean {
  return (
    call.kind === "transaction" && call.changes.some((change) => "put" in change && change.put === `f/${uid}`)
  );
}

/** Sends a heartbeat from machine A that reports the task as done. */
export function reportDone(harness: ControllerHarness, runningTask: TaskStatus): void {
  harness.sendHeartbeat("A", [{ ...runningTask, state: "ended", exitReason: "done" }]);
}
