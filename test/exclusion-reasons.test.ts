/** The status and the metrics show, for each machine, why no task may be placed on it. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { renderMetrics } from "../src/shell/metrics.js";
import { ControllerHarness } from "./support/controller-harness.js";
import { machineStatuses } from "./support/machine-status.js";

test("the status and the metrics tell why no task may be placed on a machine", async () => {
  const harness = new ControllerHarness().becomeLeader();
  for (const name of ["A", "B", "C", "D", "E"]) harness.sendHeartbeat(name);
  harness.advance(200);
  for (const name of ["A", "B", "D", "E"]) harness.sendHeartbeat(name);
  harness.sendHeartbeat("D", [], { interruptionNoticeS: 20 });
  harness.sendHeartbeat("E", [], { type: "unheard-of" });
  harness.sendHeartbeat("F", [], { type: "unheard-of" });
  harness.sendHeartbeat("F", [], { type: "unheard-of" });
  harness.admin({ kind: "setMachineMode", name: "B", mode: "cordon" });
  harness.advance(500);

  assert.deepEqual(
    Object.fromEntries(machineStatuses(harness).map(({ name, excluded }) => [name, excluded])),
    {
      A: null,
      B: "cordoned",
      C: null,
      D: "interruption_notice",
      E: null,
      F: "type_unknown",
    },
  );
  const { text } = await renderMetrics(harness.controller, { batches: 1, lagMs: 0, pendingUsers: 0 });
  for (const reason of ["cordoned", "interruption_notice", "type_unknown"])
    assert.match(text, new RegExp(`^hillspindle_machines_excluded\\{reason="${reason}"\\} 1$`, "m"));
});
