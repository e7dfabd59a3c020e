/** Agents on which every task runs indefinitely once its start is commanded. */

import { fencingTokenOf } from "../../src/core/model/attempt-number.js";
import type { ControllerHarness } from "./controller-harness.js";

/** Lets every agent report all tasks that this or an earlier leader commanded it to start as running. */
export function reportAllRunning(harness: ControllerHarness): void {
  const { leaderTerm } = harness.controller;
  if (!leaderTerm) return;
  const { firstFencingToken } = leaderTerm.lease;
  for (const machine of leaderTerm.cluster.machines.values()) {
    const statuses = [...machine.placements]
      .filter(
        ({ startSentUnder, attempt }) => startSentUnder > 0 || fencingTokenOf(attempt) < firstFencingToken,
      )
      .map(({ job: { uid }, task, attempt }) => ({ uid, task, attempt, state: "running" as const }));
    harness.sendHeartbeat(machine.name, statuses);
    harness.replyToCommands(machine.name, statuses);
  }
}

/** Returns how many tasks of a job are running according to the leader. */
export function countRunning(harness: ControllerHarness, uid: string): number {
  return harness.controller.leaderTerm?.cluster.jobByUid(uid)?.countRunning() ?? 0;
}

/** Advances the clock second by second; every agent sends heartbeats and answers direct commands meanwhile. */
export function runFor(harness: ControllerHarness, seconds: number): void {
  for (let i = 0; i < seconds; i++) {
    reportAllRunning(harness);
    harness.advance(1000);
  }
  reportAllRunning(harness);
}
