import assert from "node:assert/strict";
import { test } from "node:test";
import type { StoreRequest } from "../src/core/messages/store.js";
import { fencingTokenOf } from "../src/core/model/attempt-number.js";
import { ControllerHarness, jobSpec, type TaskStatus } from "./support/controller-harness.js";
import { FakeStore } from "./support/fake-store.js";

function only<T>(list: readonly T[]): T {
  assert.equal(list.length, 1, `one expected, not ${JSON.stringify(list)}`);
  return list[0] as T;
}

/** A leader with machine A, on which task 0 of j-1 has been started and is running. */
function running(state = new FakeStore()): { b: ControllerHarness; attempt: number } {
  const b = new ControllerHarness("n0", state).becomeLeader();
  b.sendHeartbeat("A");
  b.submit(jobSpec("j-1"));
  b.advance(200);
  const { attempt } = only(b.startCommands("j-1"));
  b.replyToCommands("A", [{ uid: "j-1", task: 0, attempt, state: "running" }]);
  return { b, attempt };
}

test("a start is sent only after its placement is on record", () => {
  const b = new ControllerHarness().becomeLeader();
  b.sendHeartbeat("A");
  b.storeRule = (call) =>
    call.kind === "transaction" && JSON.stringify(call).includes("p/j-1") ? "hang" : null;
  b.submit(jobSpec("j-1"));
  b.advance(500);
  assert.deepEqual(b.startCommands("j-1"), []);
  const { id, call } = only(b.hangingCalls);
  assert.ok(call.kind === "transaction");
  b.handle({ kind: "storeResponded", id, response: b.store.run(call, b.now) });
  assert.equal(b.startCommands("j-1").length, 1);
});

const UNHEARD = { kind: "unavailable", reason: "outage" } as const;

test("a leader that may not know of cancellations answers no report beyond what they leave room for", () => {
  // Renewals succeed, or not: what counts is the last time at which the job keys were known. `cancel_s` is 40, a lease 12.
  for (const renewals of [true, false]) {
    const { b, attempt } = running();
    b.storeRule = (call) =>
      renewals && (call.kind === "renewLease" || call.kind === "transaction") ? null : UNHEARD;
    const from = b.now;
    // Confirmed by another node in the next instant; no word of it comes here.
    let last = from;
    while (b.now < from + 60_000) {
      // In an outage that all share the peers are heard, and the hold is the longest.
      const beat = {
        kind: "heartbeat",
        fencingToken: 1,
        leader: null,
        storeHealthy: false,
        agentsHeard: 0,
      } as const;
      b.handle({ kind: "peerMessage", from: "n1", message: beat });
      const answer = b.sendHeartbeat("A", [{ uid: "j-1", task: 0, attempt, state: "running" }]);
      if (answer?.kind === "commands") last = b.now;
      b.advance(500);
    }
    assert.ok(last - from + 12_000 < 40_000, `a lease renewed ${last - from} ms after the confirmation`);
    assert.ok(last - from > 20_000, `work is let go after ${last - from} ms already`);
  }
});

test("a quiet leader keeps its office and its workers, however short a cancellation's time is beside a lease", () => {
  // Found by `real`: what was known grew older than was allowed between two answers of a follow.
  for (const cancelS of [40, 10, 8, 5]) {
    const b = new ControllerHarness("n0", new FakeStore(), "n0-1", { leaseS: 4, cancelS }).becomeLeader();
    const token = b.controller.election.lease?.firstFencingToken;
    for (let i = 0; i < 60; i++) {
      assert.equal(b.sendHeartbeat("A")?.kind, "commands", `${cancelS} s: ${i / 2} s`);
      b.advance(500);
    }
    assert.equal(b.controller.election.lease?.firstFencingToken, token, `${cancelS} s`);
  }
});

test("a leader that has stood still answers nothing it finds waiting, if it may not know of cancellations by then", () => {
  const { b, attempt } = running();
  // Renewals are answered to the last, the follow is not; then it stands still, and finds a peer's word and a report.
  b.storeRule = (call) => (call.kind === "watch" ? UNHEARD : null);
  b.advance(6000);
  b.now += 21_000;
  const beat = {
    kind: "heartbeat",
    fencingToken: 1,
    leader: null,
    storeHealthy: false,
    agentsHeard: 0,
  } as const;
  b.handle({ kind: "peerMessage", from: "n1", message: beat });
  const answer = b.sendHeartbeat("A", [{ uid: "j-1", task: 0, attempt, state: "running" }]);
  assert.notEqual(answer?.kind, "commands");
});

test("a leader that has not read the records yet renews no lease: it knows of no cancellation", () => {
  const { b: old, attempt } = running();
  old.store.expire(old.now + 60_000);
  const b = new ControllerHarness("n1", old.store);
  b.now = old.now + 60_000;
  b.storeRule = (call) => (call.kind === "list" && call.prefix === "j/" ? UNHEARD : null);
  b.becomeLeader();
  const said = [{ uid: "j-1", task: 0, attempt, state: "running" }] as const;
  assert.equal(b.controller.leaderTerm?.agents.areRecordsLoaded, false);
  assert.equal(b.sendHeartbeat("A", said), undefined, "held, for the leader to be");
  b.storeRule = null;
  b.advance(1000);
  assert.equal(b.sendHeartbeat("A", said)?.kind, "commands");
});

test("a start is not sent, nor repeated, on old knowledge that its job is not cancelled", () => {
  const b = new ControllerHarness().becomeLeader();
  b.sendHeartbeat("A");
  b.submit(jobSpec("j-1"));
  b.advance(200);
  b.timeOutCommands();
  // The follow hangs; another node cancels.
  b.storeRule = (call) => (call.kind === "watch" ? UNHEARD : null);
  for (let i = 0; i < 4; i++) {
    b.advance(2000);
    b.sendHeartbeat("A");
    b.timeOutCommands();
  }
  b.advance(1500);
  const before = b.startCommands("j-1").length;
  const answers = [b.sendHeartbeat("A"), b.sendHeartbeat("A")];
  b.advance(4000);
  assert.ok(answers.every((a) => a?.kind === "commands" && a.commands.length === 0));
  assert.equal(b.startCommands("j-1").length, before);
});

test("what is cancelled before its start was sent is never started", () => {
  const b = new ControllerHarness().becomeLeader();
  b.sendHeartbeat("A");
  b.submit(jobSpec("j-0"));
  b.advance(200);
  // A command to the machine is under way, so that the next start waits: on record, and not sent.
  b.submit(jobSpec("j-1"));
  b.advance(300);
  assert.ok(b.store.entries.has("p/j-1/0"));
  assert.deepEqual(b.startCommands("j-1"), []);
  b.cancel("j-1");
  b.timeOutCommands();
  b.advance(3000);
  const answer = b.sendHeartbeat("A");
  assert.ok(
    answer?.kind === "commands" &&
      answer.commands.every((o) => b.controller.names.jobs.name(o.job) !== "j-1"),
  );
  b.advance(500);
  assert.deepEqual(b.startCommands("j-1"), []);
  assert.ok(b.store.entries.has("f/j-1"));
});

test("an ended attempt is not cleared while its done mark is still being written", () => {
  const { b, attempt } = running();
  for (let i = 0; i < 33; i++) {
    b.advance(1000);
    b.sendHeartbeat("A", [{ uid: "j-1", task: 0, attempt, state: "running" }]);
  }
  b.submit(jobSpec("j-2", { tasks: 2 }));
  b.advance(300);
  const ended = b
    .startCommands("j-2")
    .map((s) => ({ ...s, uid: "j-2", state: "ended" as const, cause: "done" as const }));
  b.timeOutCommands();
  assert.equal(ended.length, 2);
  const first: TaskStatus[] = ended.map((s, i) => (i === 0 ? s : { ...s, state: "running" }));
  first.push({ uid: "j-1", task: 0, attempt, state: "running" });
  b.storeRule = (call) =>
    call.kind === "transaction" && JSON.stringify(call).includes("p/j-2") ? "hang" : null;
  const forgotten: string[] = [];
  for (let i = 0; i < 45; i++) {
    const answer = b.sendHeartbeat("A", first);
    if (answer?.kind === "commands")
      for (const o of answer.commands) if (o.kind === "acknowledge") forgotten.push(`${o.task}`);
    b.advance(1000);
  }
  assert.ok(b.hangingCalls.length > 0, "the mark is under way");
  assert.ok((b.controller.election.lease?.fencingToken ?? 0) > fencingTokenOf(ended[0]?.attempt ?? 0));
  assert.deepEqual(forgotten, []);
});

test("a leader that the state service refuses launches nothing, answers reports for a time, then no more", () => {
  const { b, attempt } = running();
  const token = b.controller.election.lease?.fencingToken;
  b.storeRule = () => ({ kind: "unavailable", reason: "outage" });
  b.advance(4000);
  assert.equal(b.controller.election.hasValidLease, false);
  const answer = b.sendHeartbeat("A", [{ uid: "j-1", task: 0, attempt, state: "running" }]);
  assert.ok(answer?.kind === "commands" && answer.fencingToken === token);
  assert.equal(b.submit(jobSpec("j-2"))?.kind, "unavailable");
  b.advance(40_000);
  assert.equal(b.controller.leaderTerm, null);
  assert.notEqual(b.sendHeartbeat("A")?.kind, "commands");
});

test("a leader whose grant is gone, or that sees a higher token, steps down at once", () => {
  for (const way of ["grant", "token"]) {
    const { b } = running();
    if (way === "grant") b.storeRule = (call) => (call.kind === "renewLease" ? { kind: "notFound" } : null);
    else b.sendHeartbeat("B", [], { fencingToken: 99 });
    b.advance(1000);
    if (way === "grant") b.storeRule = null;
    assert.ok(b.controller.leaderTerm === null || b.controller.leaderTerm.lease.fencingToken > 1, way);
  }
});

test("a transaction of a deposed leader that is applied late changes nothing", () => {
  const state = new FakeStore();
  const b = new ControllerHarness("n0", state).becomeLeader();
  b.sendHeartbeat("A");
  b.storeRule = (call) =>
    call.kind === "transaction" && JSON.stringify(call).includes("p/j-1") ? "hang" : null;
  b.submit(jobSpec("j-1"));
  b.advance(300);
  const { call } = only(b.hangingCalls);
  assert.ok(call.kind === "transaction");
  state.expire(b.now + 60_000);
  const next = new ControllerHarness("n1", state);
  next.now = b.now + 60_000;
  next.becomeLeader();
  assert.ok(next.controller.leaderTerm);
  assert.equal(state.run(call, next.now).kind, "conflict");
  assert.equal(state.entries.has("p/j-1/0"), false);
});

test("tokens never repeat: each leader's is higher than all before, also after raises", () => {
  const { b } = running();
  const first = b.controller.election.lease?.fencingToken ?? 0;
  for (let i = 0; i < 32; i++) {
    b.advance(1000);
    b.sendHeartbeat("A");
  }
  const raised = b.controller.election.lease?.fencingToken ?? 0;
  assert.ok(raised > first);
  b.store.expire(b.now + 60_000);
  const next = new ControllerHarness("n1", b.store);
  next.now = b.now + 60_000;
  next.becomeLeader();
  assert.ok((next.controller.election.lease?.fencingToken ?? 0) > raised);
});

/** A new leader over the records of one that placed task 0 of j-1 on A; A has not been heard. */
function succeeded(): { b: ControllerHarness; attempt: number } {
  const { b: old, attempt } = running();
  old.store.expire(old.now + 60_000);
  const b = new ControllerHarness("n1", old.store);
  b.now = old.now + 60_000;
  b.becomeLeader();
  assert.ok(b.controller.leaderTerm?.agents.areRecordsLoaded);
  b.sendHeartbeat("B", [], { zone: "b" });
  b.advance(300);
  return { b, attempt };
}

test("a new leader starts a recorded task nowhere else until its machine carries the new token without it", () => {
  const { b, attempt } = succeeded();
  assert.deepEqual(b.startCommands("j-1"), [], "nothing is known of A yet");
  b.sendHeartbeat("A", [], { fencingToken: 1 });
  b.advance(300);
  assert.equal(b.controller.leaderTerm?.cluster.jobByUid("j-1")?.placements.get(0)?.attempt, attempt);
  assert.deepEqual(
    b.startCommands("j-1"),
    [],
    "a report under the old token proves nothing: a start may be on its way",
  );
  b.timeOutCommands();
  b.sendHeartbeat("A");
  b.advance(2000);
  assert.equal(b.startCommands("j-1").length, 1);
});

test("a new leader adopts what it finds running", () => {
  const { b, attempt } = succeeded();
  b.sendHeartbeat("A", [{ uid: "j-1", task: 0, attempt, state: "running" }]);
  b.advance(2000);
  assert.deepEqual(b.startCommands("j-1"), []);
  assert.deepEqual(b.poll("j-1"), {
    kind: "status",
    status: { uid: "j-1", phase: "running", done: 0, running: 1 },
  });
});

test("an unadopted machine is waited out for the former leader's hold and the lease, not less", () => {
  const { b } = succeeded();
  b.cloudRule = () => ({ kind: "unavailable", reason: "down" });
  const since = b.controller.leaderTerm?.lease.electedAt ?? 0;
  const boundMs = b.controller.election.gracePeriodMs + 3000 + 12_000;
  const keepAlive = () => b.sendHeartbeat("B", [], { zone: "b" });
  while (b.now < since + boundMs) {
    keepAlive();
    b.advance(1000);
    if (b.now < since + boundMs) assert.deepEqual(b.startCommands("j-1"), []);
  }
  for (let i = 0; i < 4; i++) {
    keepAlive();
    b.advance(1000);
  }
  assert.equal(b.startCommands("j-1").length, 1);
});

/** How long after its election the leader starts j-1 anew, machine A being silent and B alive. */
function startsAfterMs(b: ControllerHarness, each: () => void = () => {}): number {
  b.cloudRule = () => ({ kind: "unavailable", reason: "down" });
  const since = b.controller.leaderTerm?.lease.electedAt ?? 0;
  while (b.startCommands("j-1").length === 0 && b.now < since + 60_000) {
    b.sendHeartbeat("B", [], { zone: "b" });
    each();
    b.advance(250);
  }
  return b.now - since;
}

test("once every peer has shown this leaderTerm's token no former leader's hold is waited out; one of two is not enough", () => {
  for (const shown of [["n0", "n2"], ["n2"], ["n0"]]) {
    const { b } = succeeded();
    const token = b.controller.leaderTerm?.lease.fencingToken ?? 0;
    const show = (value: number) => {
      for (const from of shown) {
        const message = {
          kind: "heartbeat",
          fencingToken: value,
          leader: null,
          storeHealthy: true,
          agentsHeard: 1,
        } as const;
        b.handle({ kind: "peerMessage", from, message });
      }
    };
    show(token - 1);
    const after = startsAfterMs(b, () => {
      if (b.now - (b.controller.leaderTerm?.lease.electedAt ?? 0) > 2000) show(token);
    });
    const holdMs = b.controller.election.gracePeriodMs;
    if (shown.length === 2) assert.ok(after > 14_000 && after < 16_000, `${after} ms`);
    else assert.ok(after > holdMs + 14_000, `${after} ms, only ${shown.join()}`);
  }
});

test("a leader that follows itself, nobody between, knows until when it answered; after anyone else it does not", () => {
  for (const between of [false, true]) {
    const { b } = running();
    b.storeRule = () => ({ kind: "unavailable", reason: "cut off" });
    let steppedDown = 0;
    const leads = () => b.controller.election.lease;
    while (leads()) {
      b.advance(100);
      steppedDown = b.now;
    }
    b.storeRule = null;
    if (between) {
      // Another leader has come and gone.
      const epoch = b.store.entries.get("c/epoch");
      const write = { put: "c/epoch", value: { token: 2 } };
      b.store.run(
        {
          kind: "transaction",
          conditions: [{ key: "c/epoch", version: epoch?.version ?? 0 }],
          changes: [write],
        },
        b.now,
      );
    }
    b.advance(3000);
    const again = leads();
    assert.ok(again, "it leads again");
    b.sentCommands.length = 0;
    const after = startsAfterMs(b) + again.electedAt - steppedDown;
    const bound = b.controller.election.gracePeriodMs + 12_000;
    if (between) assert.ok(after > bound, `${after} ms`);
    else assert.ok(after > 12_000 && after < 16_000, `${after} ms`);
  }
});

test("proofs that a task is gone: a later session, the release, the lease; absence alone is none", () => {
  const absent = running();
  absent.b.sendHeartbeat("B", [], { zone: "b" });
  // Nothing but the report of a worker that has lost sight of it; the token is the one it was started under.
  absent.b.sendHeartbeat("A");
  absent.b.advance(300);
  assert.equal(absent.b.startCommands("j-1").length, 1, "absence alone");

  const session = running();
  session.b.sendHeartbeat("B", [], { zone: "b" });
  session.b.sendHeartbeat("A", [], { incarnation: 2 });
  session.b.advance(300);
  assert.equal(session.b.startCommands("j-1").length, 2, "later session");

  const released = running();
  released.b.sendHeartbeat("B", [], { zone: "b" });
  released.b.cloudRule = (call) => {
    if (call.kind === "delete") return { kind: "deleted" };
    if (call.kind !== "list") return { kind: "unavailable", reason: "" };
    const at = { address: "A:1", type: "small", zone: "a", spot: false, ageS: 5 };
    return { kind: "page", machines: [{ name: "A", phase: "failed", ...at }], more: false };
  };
  released.b.advance(3000);
  released.b.sendHeartbeat("B", [], { zone: "b" });
  released.b.advance(3000);
  assert.deepEqual(released.b.startCommands("j-1").at(-1)?.machine, "B", "release");

  const lease = running();
  lease.b.cloudRule = () => ({ kind: "unavailable", reason: "" });
  for (let s = 0; s < 11; s++) {
    lease.b.sendHeartbeat("B", [], { zone: "b" });
    lease.b.advance(1000);
  }
  assert.equal(lease.b.startCommands("j-1").length, 1, "the lease still runs");
  for (let s = 0; s < 3; s++) {
    lease.b.sendHeartbeat("B", [], { zone: "b" });
    lease.b.advance(1000);
  }
  assert.equal(lease.b.startCommands("j-1").length, 2, "the lease is over");
});

test("a worker back with a new session gets work once it reports, not by direct answers alone, and has its full lease", () => {
  // Found by the property test: it was taken for dead by the lease of its former session (ran_twice).
  const { b } = running();
  b.cloudRule = () => ({ kind: "unavailable", reason: "" });
  b.advance(14_000);
  const reports = () => b.replyToCommands("A", [], { incarnation: 2 });
  b.controller.leaderTerm?.agents.queueFencing(
    [...(b.controller.leaderTerm?.cluster.machines.values() ?? [])][0] as never,
  );
  b.handle({ kind: "tick" });
  reports();
  b.advance(300);
  // A worker that reaches no controller, while direct commands reach it, loses whatever is started there.
  assert.equal(b.startCommands("j-1").length, 1, "only the first attempt while it doesn't report");
  b.sendHeartbeat("A", [], { incarnation: 2 });
  b.advance(300);
  const { attempt } = b.startCommands("j-1").at(-1) ?? { attempt: 0 };
  b.replyToCommands("A", [{ uid: "j-1", task: 0, attempt, state: "running" }], { incarnation: 2 });
  b.advance(5000);
  assert.equal(
    b.startCommands("j-1").filter((s) => s.attempt !== attempt).length,
    1,
    "only the first attempt before it",
  );
});

test("an unanswered start is repeated: same attempt, same machine, until it is seen", () => {
  const b = new ControllerHarness().becomeLeader();
  b.sendHeartbeat("A");
  b.submit(jobSpec("j-1"));
  b.advance(200);
  b.timeOutCommands();
  for (let i = 0; i < 3; i++) {
    b.advance(2000);
    b.sendHeartbeat("A");
    b.timeOutCommands();
  }
  const starts = b.startCommands("j-1");
  assert.ok(starts.length >= 1);
  assert.equal(new Set(starts.map((s) => `${s.machine} ${s.attempt}`)).size, 1);
  const answer = b.sendHeartbeat("A");
  assert.ok(answer?.kind === "commands");
});

test("a cancelled task whose start may be on its way is started and stopped, so that the start can't come later", () => {
  const b = new ControllerHarness().becomeLeader();
  b.sendHeartbeat("A");
  b.submit(jobSpec("j-1"));
  b.advance(200);
  b.timeOutCommands();
  b.cancel("j-1");
  b.advance(2000);
  const last = b.sentCommands.at(-1);
  assert.deepEqual(
    last?.commands.map((o) => o.kind),
    ["start", "stop"],
  );
});

test("an ended attempt is cleared only when its worker carries a higher token than it was started under", () => {
  const { b, attempt } = running();
  const ended = { uid: "j-1", task: 0, attempt, state: "ended", cause: "done" } as const;
  const early = b.sendHeartbeat("A", [ended]);
  assert.ok(early?.kind === "commands" && early.commands.every((o) => o.kind !== "acknowledge"));
  for (let i = 0; i < 33; i++) {
    b.advance(1000);
    b.sendHeartbeat("A", [ended]);
  }
  assert.ok((b.controller.election.lease?.fencingToken ?? 0) > fencingTokenOf(attempt));
  const late = b.sendHeartbeat("A", [ended]);
  assert.ok(late?.kind === "commands" && late.commands.some((o) => o.kind === "acknowledge"));
});

test("of cancelling and completing just one wins, and it stays", () => {
  const { b, attempt } = running();
  b.sendHeartbeat("A", [{ uid: "j-1", task: 0, attempt, state: "ended", cause: "done" }]);
  b.advance(500);
  const answer = b.cancel("j-1");
  assert.ok(answer?.kind === "status" && answer.status.phase === "done");

  const other = running();
  const cancelled = other.b.cancel("j-1");
  assert.ok(cancelled?.kind === "status" && cancelled.status.phase === "cancelled");
  other.b.sendHeartbeat("A", [
    { uid: "j-1", task: 0, attempt: other.attempt, state: "ended", cause: "done" },
  ]);
  other.b.advance(3000);
  const after = other.b.poll("j-1");
  assert.ok(after?.kind === "status" && after.status.phase === "cancelled");
  assert.equal(other.b.submit(jobSpec("j-1"))?.kind, "accepted");
});

test("reports that are late, repeated or from an earlier session change nothing", () => {
  const { b, attempt } = running();
  const old = b.makeHeartbeat("A", [{ uid: "j-1", task: 0, attempt, state: "ended", cause: "done" }]);
  b.sendHeartbeat("A", [{ uid: "j-1", task: 0, attempt, state: "running" }]);
  b.handle({ kind: "heartbeat", requestId: 900, heartbeat: old, body: null });
  b.advance(500);
  assert.equal(b.controller.leaderTerm?.progressOf("j-1")?.done, 0);
});

test("neither an old list nor a late report brings a released machine back into use", () => {
  const b = new ControllerHarness().becomeLeader();
  const listed = (phase: "failed" | "running") => ({
    kind: "page" as const,
    machines: [{ name: "A", address: "A:1", type: "small", zone: "a", spot: false, phase, ageS: 5 }],
    more: false,
  });
  let phase: "failed" | "running" = "failed";
  b.cloudRule = (call) =>
    call.kind === "list"
      ? listed(phase)
      : call.kind === "delete"
        ? { kind: "deleted" }
        : { kind: "unavailable", reason: "" };
  b.sendHeartbeat("A");
  b.advance(5000);
  phase = "running";
  b.advance(5000);
  b.sendHeartbeat("A");
  b.submit(jobSpec("j-1"));
  b.advance(1000);
  assert.deepEqual(b.startCommands("j-1"), []);
});

test("404 needs proof: without the state service nothing is said to be unknown", () => {
  const b = new ControllerHarness().becomeLeader();
  assert.equal(b.poll("j-5")?.kind, "notFound");
  b.storeRule = () => ({ kind: "timeout" });
  assert.equal(b.poll("j-5")?.kind, "unavailable");
});

test("a known job is never turned away, however its repeated submission looks", () => {
  const b = new ControllerHarness().becomeLeader();
  b.submit(jobSpec("j-1"));
  assert.equal(b.submit(jobSpec("j-1", { team: "nobody" }))?.kind, "accepted");
  b.handle({ kind: "submit", requestId: 500, uid: "j-1", spec: "cpus: missing" });
  assert.equal(b.submit(jobSpec("j-2", { team: "nobody" }))?.kind, "unsatisfiable");
  assert.equal(b.submit(jobSpec("j-3", { need: { cpu: 99_000, gpu: 0, ram: 0 } }))?.kind, "unsatisfiable");
  assert.equal(
    b.submit(jobSpec("j-4", { shape: "gang", tasks: 25 }))?.kind,
    "unsatisfiable",
    "more than the team's limit",
  );
  assert.equal(b.submit(jobSpec("j-6", { tasks: 25 }))?.kind, "accepted", "an array needs room for one task");
});

test("a fault in the core costs the office, not the process", () => {
  const { b } = running();
  // An index that no name has: the fault. The poll behind it in the same batch is answered all the same.
  const report = { ...b.makeHeartbeat("A"), machine: 9999 };
  b.handle(
    { kind: "heartbeat", requestId: 800, heartbeat: report, body: null },
    { kind: "poll", requestId: 801, uid: "j-1" },
  );
  b.handle({ kind: "tick" });
  assert.deepEqual(b.errorLines, ["fault in the core"]);
  assert.equal(b.userResponse(801)?.kind, "status");
  assert.equal(b.controller.leaderName === null || b.controller.election.lease === null, true);
  b.advance(6000);
  assert.ok(b.controller.election.lease, "it leads again");
  assert.equal(b.controller.status().jobs, 1, "with what the records say");
});

test("a leader that hears no worker while a peer does hands over and stays out of the race", () => {
  const b = new ControllerHarness().becomeLeader();
  for (const name of ["A", "B", "C"]) b.sendHeartbeat(name);
  const beat = (agentsHeard: number) =>
    b.handle({
      kind: "peerMessage",
      from: "n1",
      message: {
        kind: "heartbeat",
        fencingToken: 0,
        leader: null,
        storeHealthy: true,
        agentsHeard: agentsHeard,
      },
    });
  for (let s = 0; s < 10; s++) {
    beat(0);
    b.advance(1000);
  }
  assert.ok(b.controller.election.lease, "nobody hears any: handing over would not help");
  for (const name of ["A", "B", "C"]) b.sendHeartbeat(name);
  for (let s = 0; s < 8; s++) {
    beat(3);
    b.advance(1000);
  }
  assert.equal(b.controller.election.lease, null);
  assert.equal(b.store.entries.has("c/leader"), false, "the key is free at once");
  b.advance(5000);
  assert.equal(b.controller.election.lease, null);
});

test("polls are answered together by one comparison, and never with what another node has outdated", () => {
  const state = new FakeStore();
  const b = new ControllerHarness("n0", state).becomeLeader();
  const other = new ControllerHarness("n1", state);
  other.now = b.now;
  other.advance(500);
  const uids = ["j-1", "j-2", "j-3"];
  for (const uid of uids) b.submit(jobSpec(uid));
  const calls: string[] = [];
  b.storeRule = (call) => {
    calls.push(call.kind);
    return null;
  };
  for (const [i, uid] of uids.entries()) b.handle({ kind: "poll", requestId: 700 + i, uid });
  b.handle({ kind: "tick" });
  assert.deepEqual(calls, ["transaction"]);
  for (const i of uids.keys()) assert.equal(b.userResponse(700 + i)?.kind, "status");
  assert.equal(other.cancel("j-2")?.kind, "status");
  assert.deepEqual(b.poll("j-1"), {
    kind: "status",
    status: { uid: "j-1", phase: "queued", done: 0, running: 0 },
  });
  const told = b.poll("j-2");
  assert.ok(told?.kind === "status" && told.status.phase === "cancelled");
  b.storeRule = () => ({ kind: "timeout" });
  assert.equal(b.poll("j-1")?.kind, "unavailable", "what can't be compared is not answered from memory");
});

test("a follower passes reports on to a leader it hears, sends workers to one it does not, and never answers itself", () => {
  const { b: leader } = running();
  const b = new ControllerHarness("n1", leader.store);
  b.now = leader.now;
  b.advance(500);
  b.handle({ kind: "peerLinkChanged", node: "n0", up: true });
  assert.deepEqual(b.sendHeartbeat("C"), { kind: "redirect", node: "n0" }, "the link alone proves nothing");
  const message = {
    kind: "heartbeat",
    fencingToken: 1,
    leader: "n0",
    storeHealthy: true,
    agentsHeard: 1,
  } as const;
  b.handle({ kind: "peerMessage", from: "n0", message });
  assert.equal(b.sendHeartbeat("C"), undefined, "no answer of its own");
  assert.deepEqual(b.forwardedTo, ["n0"]);
  for (let s = 0; s < 4; s++) {
    leader.now = b.now;
    leader.advance(1000);
    b.advance(1000);
  }
  assert.deepEqual(b.sendHeartbeat("C"), { kind: "redirect", node: "n0" }, "it is heard no more");
});

test("a follower without a leader holds a report for a while, then sends the worker to the next node", () => {
  const b = new ControllerHarness("n1");
  b.storeRule = () => ({ kind: "unavailable", reason: "" });
  b.handle({ kind: "heartbeat", requestId: 77, heartbeat: b.makeHeartbeat("C"), body: null });
  b.advance(1000);
  assert.equal(b.agentReply(77), undefined);
  b.advance(1500);
  assert.deepEqual(b.agentReply(77), { kind: "redirect", node: null });
});

test("a node back at once waits out the leader before its former self, too", () => {
  // n0 led, n1 followed and came back within a fraction of a second: n0 may still be in its hold, answering A.
  const { b: old } = running();
  old.store.expire(old.now + 60_000);
  const first = new ControllerHarness("n1", old.store, "n1-1");
  first.now = old.now + 60_000;
  first.becomeLeader();
  const b = new ControllerHarness("n1", old.store, "n1-2");
  b.now = first.now + 100;
  b.becomeLeader();
  assert.ok(b.controller.leaderTerm, "it takes over from its former self at once");
  b.cloudRule = () => ({ kind: "unavailable", reason: "down" });
  const holdMs = b.controller.election.gracePeriodMs;
  const endsAt = b.now + holdMs + 12_000;
  while (b.now < endsAt - 1000) {
    b.sendHeartbeat("B", [], { zone: "b" });
    b.advance(1000);
    assert.deepEqual(b.startCommands("j-1"), []);
  }
});

test("a worker that reports but hears nothing gets no more work, is replaced if it lasts, and is used again", () => {
  for (const lasts of [true, false]) {
    const b = new ControllerHarness().becomeLeader();
    const released: string[] = [];
    const rule = b.cloudRule;
    b.cloudRule = (call) => {
      if (call.kind === "delete") released.push(...call.machines);
      return rule(call);
    };
    const others = (token?: number) => {
      for (const name of ["B", "C", "D"])
        b.sendHeartbeat(name, [], { zone: "b", ...(token && { fencingToken: token }) });
    };
    b.sendHeartbeat("A");
    b.submit(jobSpec("j-1", { zone: "a" }));
    b.advance(200);
    assert.equal(only(b.startCommands("j-1")).machine, "A");
    b.timeOutCommands();
    // Its reports go on arriving; the start never shows in them.
    for (let s = 0; s < 8; s++) {
      b.sendHeartbeat("A");
      others();
      b.advance(1000);
      b.timeOutCommands();
    }
    assert.notEqual(
      b.controller.leaderTerm?.cluster.machine("A", { address: "", type: "", zone: "", spot: false }, 0)
        .unreachableSince,
      null,
    );
    b.submit(jobSpec("j-2", { zone: "a" }));
    for (let s = 0; s < 2; s++) {
      b.sendHeartbeat("A");
      others();
      b.advance(1000);
      b.timeOutCommands();
    }
    assert.deepEqual(b.startCommands("j-2"), [], "nothing new is given to it");
    if (lasts) {
      for (let s = 0; s < 30; s++) {
        b.sendHeartbeat("A");
        others();
        b.advance(1000);
        b.timeOutCommands();
      }
      assert.deepEqual(released, ["A"]);
    } else {
      const { attempt } = b.startCommands("j-1")[0] ?? assert.fail();
      const runs: TaskStatus = { uid: "j-1", task: 0, attempt, state: "running" };
      b.sendHeartbeat("A", [runs]);
      b.advance(100);
      b.replyToCommands("A", [runs]);
      b.advance(2000);
      assert.equal(b.startCommands("j-2").length, 1, "an effect shows that it hears again");
    }
  }
});

test("a lease that runs out under answers shows that they don't arrive; one that ran out in silence does not", () => {
  for (const silentMs of [0, 13_000]) {
    const { b } = running();
    b.cloudRule = () => ({ kind: "unavailable", reason: "" });
    b.advance(silentMs);
    b.sendHeartbeat("A", [], { incarnation: 2 });
    for (let s = 0; s < 3; s++) {
      b.advance(500);
      b.timeOutCommands();
      b.sendHeartbeat("A", [], { incarnation: 2 });
    }
    const again = b.startCommands("j-1").length > 1;
    assert.equal(again, silentMs > 0, `silent for ${silentMs} ms`);
  }
});

test("where most workers don't hear the leader, it hands over", () => {
  const b = new ControllerHarness().becomeLeader();
  for (let s = 0; s < 8; s++) {
    for (const name of ["A", "B", "C"]) b.sendHeartbeat(name, [], { fencingToken: 0 });
    b.advance(1000);
    b.timeOutCommands();
  }
  assert.equal(b.controller.election.lease, null);
});

test("a copy that comes late brings no released machine back, and is no sign of life to a new leader", () => {
  const b = new ControllerHarness().becomeLeader();
  const released: string[] = [];
  b.cloudRule = (call) => {
    if (call.kind === "listTypes") return { kind: "types", machineTypes: b.types };
    if (call.kind === "delete") released.push(...call.machines);
    if (call.kind !== "list") return call.kind === "delete" ? { kind: "deleted" } : { kind: "noCapacity" };
    const at = { address: "A:1", type: "small", zone: "a", spot: false, ageS: 5 };
    return { kind: "page", machines: [{ name: "A", phase: "failed", ...at }], more: false };
  };
  b.sendHeartbeat("A");
  b.advance(5000);
  assert.deepEqual(released, ["A"]);
  b.advance(30_000);
  const copy = b.makeHeartbeat("A");
  b.handle({ kind: "heartbeat", requestId: 900, heartbeat: copy, body: null });
  b.advance(5000);
  assert.deepEqual(b.agentReply(900), { kind: "unavailable" });
  assert.deepEqual(released, ["A"], "it is not released again");
  assert.equal(b.controller.leaderTerm?.cluster.machines.size, 0);

  const next = new ControllerHarness().becomeLeader();
  next.sendHeartbeat("A", [], { fencingToken: 0 });
  next.submit(jobSpec("j-1"));
  next.advance(3000);
  assert.deepEqual(next.startCommands("j-1"), [], "the report carries no token of this term");
});

test("a copy that comes late to a follower does not make it a worker's way to the leader", () => {
  const { b: leader } = running();
  const b = new ControllerHarness("n1", leader.store);
  b.now = leader.now;
  b.advance(500);
  b.handle({ kind: "peerLinkChanged", node: "n0", up: true });
  const report = b.makeHeartbeat("C");
  b.handle({ kind: "heartbeat", requestId: 901, heartbeat: report, body: null });
  b.handle({ kind: "heartbeat", requestId: 902, heartbeat: report, body: null });
  assert.deepEqual(b.agentReply(901), { kind: "redirect", node: "n0" });
  assert.deepEqual(b.agentReply(902), { kind: "unavailable" });
  assert.deepEqual(b.forwardedTo, []);
});

test("a leader without state service and peers lets its workers go after two grants, and is not ready", () => {
  for (const alone of [true, false]) {
    const { b } = running();
    const step = (n: number) => {
      for (let s = 0; s < n; s++) {
        if (!alone)
          b.handle({
            kind: "peerMessage",
            from: "n1",
            message: {
              kind: "heartbeat",
              fencingToken: 0,
              leader: null,
              storeHealthy: false,
              agentsHeard: 0,
            },
          });
        b.advance(1000);
      }
    };
    step(1);
    b.storeRule = () => ({ kind: "unavailable", reason: "cut off" });
    step(6);
    assert.equal(b.sendHeartbeat("A")?.kind, "commands", "within the hold");
    step(6);
    assert.equal(b.sendHeartbeat("A")?.kind === "commands", !alone, `alone: ${alone}`);
    assert.equal(b.controller.ready, !alone, "an outage that all share leaves a node ready");
    assert.equal(b.poll("j-1")?.kind, "unavailable", "users are answered at once");
  }
});

test("records that can't be read are told of and kept, and nothing they may speak of is started", () => {
  const { b: old, attempt } = running();
  old.submit(jobSpec("j-2"));
  const put = (key: string, value: unknown) =>
    old.store.run({ kind: "transaction", conditions: [], changes: [{ put: key, value }] }, old.now);
  put("p/j-1/0", { held: "?" });
  put("j/j-3", ["?"]);
  put("m/7", 12);
  put("c/settings", "?");
  old.store.expire(old.now + 60_000);
  const b = new ControllerHarness("n1", old.store);
  b.now = old.now + 60_000;
  b.becomeLeader();
  assert.ok(b.controller.leaderTerm?.agents.areRecordsLoaded);
  assert.ok(b.errorLines.length >= 3 && b.errorLines.every((text) => text === "a record can't be read"));
  b.sendHeartbeat("B", [], { zone: "b" });
  const runs: TaskStatus = { uid: "j-1", task: 0, attempt, state: "running" };
  b.sendHeartbeat("A", [runs], { fencingToken: 1 });
  b.advance(1000);
  assert.deepEqual(
    b.sendHeartbeat("A", [runs]),
    { kind: "commands", fencingToken: 2, commands: [] },
    "and what runs is let run",
  );
  b.advance(60_000);
  b.sendHeartbeat("B", [], { zone: "b" });
  b.advance(500);
  assert.deepEqual(b.startCommands("j-1"), [], "it may be running");
  assert.deepEqual(old.store.entries.get("p/j-1/0")?.value, { held: "?" }, "kept");
  assert.equal(b.poll("j-3")?.kind, "unavailable");
  const queue = b.controller.status().queue as { job: string; why: string }[];
  assert.ok(queue.some((q) => q.job === "j-1" && q.why.includes("read")));
});

test("a job that waits says why", () => {
  const b = new ControllerHarness().becomeLeader();
  b.sendHeartbeat("A");
  b.submit(jobSpec("j-1", { types: ["gpu"], need: { cpu: 1000, gpu: 1000, ram: 1000 } }));
  b.advance(3000);
  const queue = b.controller.status().queue as { job: string; why: string }[];
  assert.equal(queue.find((q) => q.job === "j-1")?.why, "no machine has room");
  // The log says it once, not in every round: six thousand lines on one day of a fleet were most of its log.
  for (let i = 0; i < 200; i++) {
    b.sendHeartbeat("A");
    b.advance(1000);
  }
  assert.equal(b.logLines.filter((text) => text === "job still waits").length, 1);
});

test("a machine is on record no later than the first placement on it", () => {
  const { b } = running();
  const bucket = b.store.entries.get("m/0");
  assert.ok(JSON.stringify(bucket?.value).includes('"A"'));
  assert.equal(bucket?.version, b.store.entries.get("p/j-1/0")?.version, "in the same transaction");
});

test("every write of a leader depends on what it replaces: none that is carried out late undoes a newer one", () => {
  const b = new ControllerHarness().becomeLeader();
  const sent: StoreRequest[] = [];
  b.storeRule = (call) => {
    if (call.kind === "transaction" && call.changes.length > 0) sent.push(call);
    return null;
  };
  // Work that begins and ends, a machine that goes, machine types that change, a token that is raised.
  b.sendHeartbeat("A");
  b.submit(jobSpec("j-1"));
  b.submit(jobSpec("j-2", { shape: "service", priority: 3, estimateS: 0 }));
  b.advance(300);
  const held = () => b.startCommands("j-2").map((s) => ({ ...s, uid: "j-2", state: "running" as const }));
  const ended = b
    .startCommands("j-1")
    .map((s) => ({ ...s, uid: "j-1", state: "ended" as const, cause: "done" as const }));
  b.replyToCommands("A", [...held(), ...ended]);
  b.types = b.types.map((type) => ({ ...type, size: { ...type.size, ram: type.size.ram + 1000 } }));
  for (let i = 0; i < 70; i++) {
    b.sendHeartbeat("A", [...held(), ...ended]);
    b.advance(1000);
  }
  b.controller.leaderTerm?.recordWriter.writeMigration(
    { job: "j-2", task: 0, from: "A", to: "B", startedAt: 1 },
    () => {},
  );
  b.advance(300);
  b.controller.leaderTerm?.recordWriter.writeMigration(null, () => {});
  b.advance(300);
  const writes = new Set(
    sent.flatMap((c) =>
      c.kind === "transaction" ? c.changes.map((x) => ("put" in x ? x.put : x.remove)) : [],
    ),
  );
  for (const key of ["c/move", "c/types", "c/epoch", "j/j-1", "f/j-1", "p/j-2/0", "m/0"])
    assert.ok(writes.has(key), `${key} was written`);
  b.storeRule = null;
  const before = JSON.stringify([...b.store.entries]);
  for (const call of sent) if (call.kind !== "watch") b.store.run(call, b.now);
  assert.equal(JSON.stringify([...b.store.entries]), before);
});
