/** Agents that run whatever they are commanded to start. */

import { fencingTokenOf } from "../../src/core/model/attempt-number.js";
import type { ControllerHarness } from "./controller-harness.js";

/** Every agent reports as running what this leader or an earlier one has commanded it to start. */
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

/** How many tasks of a job the leader knows to be running. */
export function countRunning(harness: ControllerHarness, uid: string): number {
  return harness.controller.leaderTerm?.cluster.jobByUid(uid)?.countRunning() ?? 0;
}

/** Lets seconds pass in which every agent sends heartbeats and answers direct commands. */
export function runFor(harness: ControllerHarness, seconds: number): void {
  for (let i = 0; i < seconds; i++) {
    reportAllRunning(harness);
    harness.advance(1000);
  }
  reportAllRunning(harness);
}
