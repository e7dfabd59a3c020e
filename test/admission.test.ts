/** External behaviour of fair admission: throttled submissions, settings, peer heartbeats, status and metrics. */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { UserResponse } from "../src/core/messages/users.js";
import { decodePeerMessage, encodePeerMessage } from "../src/protocol/peers.js";
import { renderMetrics } from "../src/shell/metrics.js";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";
import { leaderWithFairAdmission } from "./support/fair-admission.js";
import { FakeStore } from "./support/fake-store.js";
import { parseMessageAsProduction } from "./support/production-readers.js";

/** Submits jobs of a team until one is throttled; returns that response and the uids of the accepted jobs. */
function submitUntilThrottled(
  harness: ControllerHarness,
  team: string,
  firstNumber: number,
  limit = 500,
): { throttled: UserResponse; accepted: string[] } {
  const accepted: string[] = [];
  for (let i = 0; i < limit; i++) {
    const uid = `j-${firstNumber + i}`;
    const response = harness.submit(jobSpec(uid, { team }));
    if (response?.kind === "throttled") return { throttled: response, accepted };
    assert.equal(response?.kind, "accepted");
    accepted.push(uid);
  }
  throw new Error(`none of ${limit} submissions was throttled`);
}

test("a submission that exceeds the team's share is throttled with a retry-after; repeated submissions, polls, cancellations and another team's submissions are not throttled", () => {
  const harness = leaderWithFairAdmission();
  harness.advance(5000);
  const { throttled, accepted } = submitUntilThrottled(harness, "red", 1000);

  assert.ok(throttled.kind === "throttled" && throttled.retryAfterS >= 1 && throttled.retryAfterS <= 30);
  assert.match(throttled.error, /red/);

  const storedKeys = [...harness.store.entries.keys()].filter((key) => key.startsWith("j/"));
  assert.equal(storedKeys.length, accepted.length, "a throttled submission is not stored");

  const [firstUid = ""] = accepted;
  const repeatedSubmission = harness.submit(jobSpec(firstUid, { team: "red" }));
  assert.ok(repeatedSubmission?.kind === "accepted" && repeatedSubmission.known);
  assert.equal(harness.poll(firstUid)?.kind, "status");
  assert.equal(harness.cancel(firstUid)?.kind, "status");
  assert.equal(
    harness.submit(jobSpec("j-5000", { team: "blue" }))?.kind,
    "accepted",
    "another team's submission is accepted",
  );
  assert.equal(harness.submit(jobSpec("j-5001", { team: "green" }))?.kind, "unsatisfiable");
});

test("under overload, a repeated submission of a job that another node accepted is answered as known (200), even if the job has been cancelled", () => {
  const store = new FakeStore();
  const harness = leaderWithFairAdmission(store);
  const otherNode = new ControllerHarness("n1", store);
  otherNode.now = harness.now;
  otherNode.advance(500);

  for (const uid of ["j-1", "j-2"]) assert.equal(otherNode.submit(jobSpec(uid))?.kind, "accepted");
  assert.equal(otherNode.cancel("j-2")?.kind, "status");

  submitUntilThrottled(harness, "red", 1000);
  for (const uid of ["j-1", "j-2"]) {
    const response = harness.submit(jobSpec(uid));
    assert.ok(response?.kind === "accepted" && response.known, uid);
  }
});

test("when a team is removed from the settings, its existing jobs remain known and can be cancelled, while its new jobs are unsatisfiable", () => {
  const store = new FakeStore();
  const leaderWithBlue = leaderWithFairAdmission(store);
  assert.equal(leaderWithBlue.submit(jobSpec("j-1", { team: "blue" }))?.kind, "accepted");

  const teams = leaderWithBlue.controller.ctx.deployment.teams.filter(({ name }) => name !== "blue");
  const leaderWithoutBlue = new ControllerHarness("n0", store, {
    incarnation: "n0-2",
    settings: { teams },
    admission: true,
  });
  leaderWithoutBlue.now = leaderWithBlue.now + 5000;
  store.expire(leaderWithoutBlue.now);
  leaderWithoutBlue.becomeLeader();
  leaderWithoutBlue.advance(3000);
  const repeatedSubmission = leaderWithoutBlue.submit(jobSpec("j-1", { team: "blue" }));

  assert.ok(repeatedSubmission?.kind === "accepted" && repeatedSubmission.known);
  assert.equal(leaderWithoutBlue.submit(jobSpec("j-2", { team: "blue" }))?.kind, "unsatisfiable");
  assert.equal(leaderWithoutBlue.submit(jobSpec("j-3", { team: "red" }))?.kind, "accepted");

  const { admission } = leaderWithoutBlue.controller.status() as { admission: { teams: { name: string }[] } };
  assert.deepEqual(
    admission.teams.map(({ name }) => name),
    ["red"],
  );
  assert.equal(leaderWithoutBlue.cancel("j-1")?.kind, "status");
});

test("throttled submissions are looked up in the store in batches, and submissions are answered as unavailable (503) if the store does not respond", () => {
  const harness = leaderWithFairAdmission();
  submitUntilThrottled(harness, "red", 1000);
  let lookups = 0;
  harness.storeRule = (call) => {
    if (call.kind === "transaction" && call.changes.length === 0) lookups++;
    return null;
  };
  for (let i = 0; i < 40; i++)
    harness.handle({
      kind: "submit",
      requestId: 9000 + i,
      uid: `j-${7000 + i}`,
      submitted: { ok: true, spec: jobSpec(`j-${7000 + i}`) },
    });
  harness.handle({ kind: "tick" });

  assert.ok(
    Array.from({ length: 40 }, (_, i) => harness.userResponse(9000 + i)).every(
      (response) => response?.kind === "throttled",
    ),
  );
  assert.ok(lookups <= 3, `${lookups} store requests for 40 submissions`);

  harness.storeRule = (call) =>
    call.kind === "transaction" ? { kind: "unavailable", reason: "outage" } : null;
  assert.equal(harness.submit(jobSpec("j-8000"))?.kind, "unavailable");
});

test("a permit is returned when the store rejects the write of its submission", () => {
  const harness = leaderWithFairAdmission();
  harness.advance(3000);
  const available = () => {
    const { admission } = harness.controller.status() as {
      admission: { teams: { name: string; available: number }[] };
    };
    return admission.teams.find(({ name }) => name === "red")?.available;
  };
  const before = available();
  harness.storeRule = (call) =>
    call.kind === "transaction" && call.changes.length === 1 ? { kind: "throttled" } : null;

  assert.equal(harness.submit(jobSpec("j-1"))?.kind, "unavailable");
  assert.equal(available(), before);

  harness.storeRule = null;
  harness.submit(jobSpec("j-1"));
  assert.equal(available(), (before ?? 0) - 1);
});

test("admission weights and other admission settings are validated, and valid changes take effect at once", () => {
  const harness = leaderWithFairAdmission();
  const changeSettings = (values: Record<string, unknown>) =>
    harness.admin({ kind: "changeSettings", values });
  assert.equal(changeSettings({ admission_weights: { nobody: 1 } })?.kind, "invalid");
  assert.equal(changeSettings({ admission_weights: { red: -1 } })?.kind, "invalid");
  assert.equal(changeSettings({ admission_turn_s: 1 })?.kind, "invalid");
  assert.equal(changeSettings({ admission_rate: 2, admission_weights: { blue: 7 } })?.kind, "ok");

  const { admission } = harness.controller.status() as {
    admission: { rate: number; teams: { name: string; weight: number }[] };
  };
  assert.equal(admission.rate, 2);
  assert.equal(admission.teams.find(({ name }) => name === "blue")?.weight, 7);
});

test("peer heartbeats contain an admission field, which the previous version (production) ignores, and omit it when fair admission is disabled", () => {
  const harness = leaderWithFairAdmission();
  harness.advance(2000);
  const heartbeat = harness.heartbeats.get("n1");

  assert.ok(heartbeat?.kind === "heartbeat" && heartbeat.admission);
  assert.ok(parseMessageAsProduction(encodePeerMessage(heartbeat)));

  const heartbeatWithoutAdmission = new ControllerHarness().becomeLeader().heartbeats.get("n1");
  assert.ok(
    heartbeatWithoutAdmission?.kind === "heartbeat" && heartbeatWithoutAdmission.admission === undefined,
  );
});

test("a malformed admission field of a peer heartbeat is dropped, and the rest of the heartbeat is accepted", () => {
  const harness = leaderWithFairAdmission();
  harness.advance(2000);
  const heartbeat = harness.heartbeats.get("n1");

  assert.ok(heartbeat?.kind === "heartbeat" && heartbeat.admission);

  const encoded = JSON.parse(JSON.stringify(encodePeerMessage(heartbeat)));
  const roundTripped = decodePeerMessage(encoded);
  assert.ok(roundTripped);
  assert.deepEqual(JSON.parse(JSON.stringify(encodePeerMessage(roundTripped))), encoded);

  const { report } = encoded.admission;
  const malformed = [
    "yes",
    { report: { ...report, sequence: -1 } },
    { report: { ...report, teams: [{ team: 7 }] } },
    { report, slice: { token: "x" } },
  ];
  for (const admission of malformed) {
    const decoded = decodePeerMessage({ ...encoded, admission });
    assert.ok(decoded?.kind === "heartbeat" && decoded.admission === undefined, JSON.stringify(admission));
  }
  const fromLaterVersion = decodePeerMessage({ ...encoded, admission: { ...encoded.admission, more: 1 } });

  assert.ok(
    fromLaterVersion?.kind === "heartbeat" && fromLaterVersion.admission,
    "a field added by a later version is ignored",
  );
});

test("metrics report a team's admitted and refused submissions, retry-after and longest wait; status reports the admission mode and the longest wait", async () => {
  const harness = leaderWithFairAdmission();
  submitUntilThrottled(harness, "red", 1000);
  const { text } = await renderMetrics(harness.controller, { batches: 1, lagMs: 0, pendingUsers: 0 });

  assert.match(text, /hillspindle_admission_refused_total\{team="red"\} 1\n/);
  assert.match(text, /hillspindle_admission_admitted_total\{team="red"\} \d+/);
  assert.match(text, /hillspindle_admission_retry_after_seconds\{team="red"\} \d+/);
  assert.match(text, /hillspindle_admission_longest_wait_seconds\{team="red"\} \d+/);

  const status = harness.controller.status() as {
    longest_wait_s: Record<string, number>;
    admission: { mode: string };
  };
  assert.equal(status.admission.mode, "slice");
  assert.ok("red" in status.longest_wait_s);
});
