/** Submissions: idempotence, unsatisfiable jobs, and valid dependencies. */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { PeerMessage } from "../src/core/messages/peers.js";
import { decodeJobSubmission } from "../src/protocol/jobs.js";
import { ControllerHarness, jobSpec } from "./support/controller-harness.js";
import { phaseOf } from "./support/dependent-jobs.js";
import { CURRENT_VERSION_HEARTBEAT, PREVIOUS_VERSION_HEARTBEAT } from "./support/peer-versions.js";
import { STORE_OUTAGE } from "./support/store-outage.js";

test("a repeated submission of a known job is accepted, whatever its content, and a new job that can never run is unsatisfiable", () => {
  const harness = new ControllerHarness().becomeLeader();
  harness.submit(jobSpec("j-1"));
  assert.equal(harness.submit(jobSpec("j-1", { team: "nobody" }))?.kind, "accepted");

  harness.handle({
    kind: "submit",
    requestId: 500,
    uid: "j-1",
    submitted: { ok: false, error: "cpus: missing" },
  });
  assert.equal(harness.submit(jobSpec("j-2", { team: "nobody" }))?.kind, "unsatisfiable");
  assert.equal(
    harness.submit(jobSpec("j-3", { need: { cpu: 99_000, gpu: 0, ram: 0 } }))?.kind,
    "unsatisfiable",
  );
  assert.equal(
    harness.submit(jobSpec("j-4", { shape: "gang", tasks: 25 }))?.kind,
    "unsatisfiable",
    "more than the team's quota limit",
  );
  assert.equal(
    harness.submit(jobSpec("j-6", { tasks: 25 }))?.kind,
    "accepted",
    "an array needs capacity for only one task",
  );
});

test("a submission may depend only on accepted jobs that are not services, and is idempotent", () => {
  const harness = new ControllerHarness().becomeLeader();
  harness.submit(jobSpec("j-1"));
  harness.submit(jobSpec("j-2", { shape: "service" }));
  harness.submit(jobSpec("j-3"));
  harness.cancel("j-3");

  assert.equal(harness.submit(jobSpec("j-4", { awaits: ["j-9"] }))?.kind, "unsatisfiable", "never accepted");
  assert.equal(harness.submit(jobSpec("j-5", { awaits: ["j-5"] }))?.kind, "unsatisfiable", "itself");
  assert.equal(
    harness.submit(jobSpec("j-6", { awaits: ["j-1", "j-2"] }))?.kind,
    "unsatisfiable",
    "a service",
  );

  harness.cancel("j-2");
  harness.advance(2000);
  const otherNode = new ControllerHarness("n1", harness.store);
  otherNode.advance(300);

  assert.equal(
    otherNode.submit(jobSpec("j-6", { awaits: ["j-2"] }))?.kind,
    "unsatisfiable",
    "an ended service, on another node",
  );
  assert.equal(phaseOf(otherNode.submit(jobSpec("j-7", { awaits: ["j-3"] }))), "cancelled");

  otherNode.storeRule = (call) => (call.kind === "get" && call.key === "j/j-1" ? STORE_OUTAGE : null);
  assert.equal(
    otherNode.submit(jobSpec("j-8", { awaits: ["j-1"] }))?.kind,
    "unavailable",
    "cannot be checked without the store",
  );

  otherNode.storeRule = null;
  assert.equal(otherNode.submit(jobSpec("j-8", { awaits: ["j-1"] }))?.kind, "accepted");

  const repeatedSubmission = otherNode.submit(jobSpec("j-8", { awaits: ["j-9", "j-8", "j-2"] }));
  assert.deepEqual(
    [repeatedSubmission?.kind, phaseOf(repeatedSubmission)],
    ["accepted", "queued"],
    "the job is known, whatever its dependencies",
  );
});

test("awaits: null, absent or empty means no dependencies, and anything but a list of at most 100 well-formed ids is refused", () => {
  const body = {
    uid: "j-1",
    jobclass: "work",
    crew: "red",
    shape: "sweep",
    rank: "idle",
    pieces: 1,
    cpus: 1,
    gpus: 0,
    ram_gb: 1,
    same_place: false,
    apart: false,
    loaners: false,
    bundle: "img",
    size_gb: 1,
    guess_s: 1,
    snapshot_s: 0,
    stow_s: 0,
  };
  const parse = (awaits: unknown) => decodeJobSubmission({ ...body, awaits }).submitted;
  const dependenciesOf = (awaits: unknown) => {
    const submitted = parse(awaits);
    assert.ok(submitted.ok, JSON.stringify(submitted));
    return submitted.spec.awaits;
  };

  assert.equal(dependenciesOf(undefined), undefined);
  assert.equal(dependenciesOf(null), undefined);
  assert.equal(dependenciesOf([]), undefined);
  assert.deepEqual(dependenciesOf(["j-000398", "j-000405", "j-000398"]), ["j-000398", "j-000405"]);

  const tooMany = Array.from({ length: 101 }, (_, i) => `j-${i}`);
  for (const invalid of ["j-1", 7, {}, ["x-1"], [null], [["j-1"]], ["j-"], tooMany]) {
    const submitted = parse(invalid);
    assert.match(submitted.ok ? "" : submitted.error, /^awaits/, JSON.stringify(invalid));
  }
});

test("while a node of the previous version sends heartbeats, a job with dependencies is refused as unavailable", () => {
  const harness = new ControllerHarness().becomeLeader();
  harness.submit(jobSpec("j-1"));
  const receive = (message: PeerMessage) => harness.handle({ kind: "peerMessage", from: "n1", message });
  receive(PREVIOUS_VERSION_HEARTBEAT);

  assert.equal(harness.submit(jobSpec("j-2", { awaits: ["j-1"] }))?.kind, "unavailable");
  assert.equal(harness.submit(jobSpec("j-3"))?.kind, "accepted", "jobs without dependencies are accepted");

  receive(CURRENT_VERSION_HEARTBEAT);
  assert.equal(harness.submit(jobSpec("j-2", { awaits: ["j-1"] }))?.kind, "accepted");

  receive(PREVIOUS_VERSION_HEARTBEAT);
  assert.equal(
    phaseOf(harness.submit(jobSpec("j-2", { awaits: ["j-1"] }))),
    "queued",
    "a repeated submission is never refused",
  );

  // A node that is down or partitioned does not block jobs with dependencies forever.
  harness.advance(16_000);
  assert.equal(harness.submit(jobSpec("j-4", { awaits: ["j-1"] }))?.kind, "accepted");
});
