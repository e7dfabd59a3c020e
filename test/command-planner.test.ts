/** Selection and timing of the commands sent to an agent, including repeats (I2). */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";
import { onlyElement } from "./support/leaders.js";
import { STORE_OUTAGE } from "./support/store-outage.js";

test("a start command is sent only after its placement has been stored", () => {
  const harness = new ControllerHarness().becomeLeader();
  harness.sendHeartbeat("A");
  harness.storeRule = (call) =>
    call.kind === "transaction" && JSON.stringify(call).includes("p/j-1") ? "hang" : null;
  harness.submit(jobSpec("j-1"));
  harness.advance(500);

  assert.deepEqual(harness.startCommands("j-1"), []);

  const { id, call } = onlyElement(harness.hangingCalls);
  assert.ok(call.kind === "transaction");

  harness.handle({ kind: "storeResponded", id, response: harness.store.run(call, harness.now) });
  assert.equal(harness.startCommands("j-1").length, 1);
});

test("a start command is not repeated while the leader's view of cancellations is stale", () => {
  const harness = new ControllerHarness().becomeLeader();
  harness.sendHeartbeat("A");
  harness.submit(jobSpec("j-1"));
  harness.advance(200);
  harness.timeOutCommands();
  // The job watch fails, so the leader would miss a cancellation by another node (I2).
  harness.storeRule = (call) => (call.kind === "watch" ? STORE_OUTAGE : null);
  for (let i = 0; i < 4; i++) {
    harness.advance(2000);
    harness.sendHeartbeat("A");
    harness.timeOutCommands();
  }
  harness.advance(1500);
  const startsBefore = harness.startCommands("j-1").length;
  const replies = [harness.sendHeartbeat("A"), harness.sendHeartbeat("A")];
  harness.advance(4000);

  assert.ok(replies.every((reply) => reply?.kind === "commands" && reply.commands.length === 0));
  assert.equal(harness.startCommands("j-1").length, startsBefore);
});

test("a task that is cancelled before its start command is sent is never started", () => {
  const harness = new ControllerHarness().becomeLeader();
  harness.sendHeartbeat("A");
  harness.submit(jobSpec("j-0"));
  harness.advance(200);
  // A command batch to the machine is in flight, so the next placement is stored but its start command is not yet sent.
  harness.submit(jobSpec("j-1"));
  harness.advance(300);

  assert.ok(harness.store.entries.has("p/j-1/0"));
  assert.deepEqual(harness.startCommands("j-1"), []);

  harness.cancel("j-1");
  harness.timeOutCommands();
  harness.advance(3000);
  const reply = harness.sendHeartbeat("A");

  assert.ok(
    reply?.kind === "commands" &&
      reply.commands.every((command) => harness.controller.names.jobs.nameOf(command.job) !== "j-1"),
  );

  harness.advance(500);
  assert.deepEqual(harness.startCommands("j-1"), []);
  assert.ok(harness.store.entries.has("f/j-1"));
});

test("an unanswered start command is repeated only for the same attempt and on the same machine", () => {
  const harness = new ControllerHarness().becomeLeader();
  harness.sendHeartbeat("A");
  harness.submit(jobSpec("j-1"));
  harness.advance(200);
  harness.timeOutCommands();
  for (let i = 0; i < 3; i++) {
    harness.advance(2000);
    harness.sendHeartbeat("A");
    harness.timeOutCommands();
  }
  const starts = harness.startCommands("j-1");

  assert.ok(starts.length >= 1);
  assert.equal(new Set(starts.map((start) => `${start.machine} ${start.attempt}`)).size, 1);

  const reply = harness.sendHeartbeat("A");
  assert.ok(reply?.kind === "commands");
});

test("for a cancelled task whose start command may be in flight, start and stop are sent together, so that a delayed start has no effect", () => {
  const harness = new ControllerHarness().becomeLeader();
  harness.sendHeartbeat("A");
  harness.submit(jobSpec("j-1"));
  harness.advance(200);
  harness.timeOutCommands();
  harness.cancel("j-1");
  harness.advance(2000);
  const lastBatch = harness.sentCommands.at(-1);

  assert.deepEqual(
    lastBatch?.commands.map((command) => command.kind),
    ["start", "stop"],
  );
});
