/** Runtime estimates, corrected by job class. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { RuntimeEstimates } from "../src/core/model/runtime-estimates.js";
import { ControllerHarness, jobSpec, type TaskStatus } from "./support/controller-harness.js";
import { executeCommands, liveTasks } from "./support/scripted-agents.js";

test("runtime estimates are corrected for each job class from observed runtimes", () => {
  const estimates = new RuntimeEstimates();
  const spec = jobSpec("j-1", { estimateS: 100, jobClass: "work" });
  assert.equal(estimates.estimateS(spec), 100);

  for (let i = 0; i < 30; i++) estimates.observe(spec, 200);
  assert.ok(Math.abs(estimates.estimateS(spec) - 200) < 10, `${estimates.estimateS(spec)}`);

  estimates.observe(spec, 1e9);
  assert.ok(estimates.estimateS(spec) < 240, "a single outlier has little effect");
  assert.equal(estimates.estimateS(jobSpec("j-2", { estimateS: 100, jobClass: "other" })), 100);

  // Queue order follows the corrected estimates: the job of the slow class no longer counts as the shorter one.
  const harness = new ControllerHarness().becomeLeader();
  const tasksByMachine = new Map<string, TaskStatus[]>([["A", []]]);
  harness.sendHeartbeat("A");
  for (let i = 0; i < 20; i++)
    harness.controller.ctx.estimates.observe(jobSpec("j-0", { estimateS: 10, jobClass: "slow" }), 40);
  harness.submit(jobSpec("j-1", { tasks: 4, estimateS: 600 }));
  executeCommands(harness, tasksByMachine);
  harness.submit(jobSpec("j-2", { estimateS: 10, jobClass: "slow" }));
  harness.submit(jobSpec("j-3", { estimateS: 20, jobClass: "quick" }));
  harness.advance(3000);
  const firstTask = tasksByMachine.get("A")?.[0] ?? assert.fail();
  Object.assign(firstTask, { state: "ended", exitReason: "done" });
  harness.sendHeartbeat("A", tasksByMachine.get("A") ?? []);
  harness.advance(300);
  executeCommands(harness, tasksByMachine);

  assert.equal(liveTasks(tasksByMachine, "A", "j-3").length, 1);
  assert.equal(liveTasks(tasksByMachine, "A", "j-2").length, 0);
});
