/** Task failures per machine, and draining of machines on which tasks of several jobs fail. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";

test("a machine on which tasks of different jobs fail is drained", () => {
  const harness = new ControllerHarness().becomeLeader();
  harness.sendHeartbeat("A");
  for (const uid of ["j-1", "j-2"]) {
    harness.submit(jobSpec(uid));
    harness.advance(200);
    const { attempt } = harness.startCommands(uid).at(-1) ?? { attempt: 0 };
    harness.replyToCommands("A", [{ uid, task: 0, attempt, state: "ended", exitReason: "error" }]);
    harness.advance(200);
    harness.unansweredCommands.splice(0);
    for (const machine of harness.controller.leaderTerm?.cluster.machines.values() ?? [])
      machine.isCommandInFlight = false;
  }
  assert.equal(
    [...(harness.controller.leaderTerm?.cluster.machines.values() ?? [])].find(
      (machine) => machine.name === "A",
    )?.mode,
    "drain",
  );
});
