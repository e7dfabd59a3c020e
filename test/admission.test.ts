import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { RoundRobinTurns } from "../src/admission/round-robin-turns.js";
import type { UserResponse } from "../src/core/messages/users.js";
import { decodePeerMessage, encodePeerMessage } from "../src/protocol/peers.js";
import { renderMetrics } from "../src/shell/metrics.js";
import { ControllerHarness, jobSpec, type TaskStatus } from "./support/controller-harness.js";
import { FakeStore } from "./support/fake-store.js";
import { readMessageInProduction } from "./support/production-readers.js";
import { liveTasks, sendHeartbeatsFor } from "./support/scripted-agents.js";

/** A leader that admits by shares. */
function leading(state = new FakeStore()): ControllerHarness {
  return new ControllerHarness("n0", state, "n0-1", {}, 0, true).becomeLeader();
}

/** Submits jobs of a team until one is turned away; returns its answer and the ids that were taken. */
function flood(
  b: ControllerHarness,
  team: string,
  from: number,
  most = 500,
): { refused: UserResponse; taken: string[] } {
  const taken: string[] = [];
  for (let i = 0; i < most; i++) {
    const uid = `j-${from + i}`;
    const answer = b.submit(jobSpec(uid, { team }));
    if (answer?.kind === "throttled") return { refused: answer, taken };
    assert.equal(answer?.kind, "accepted");
    taken.push(uid);
  }
  throw new Error(`${most} were taken`);
}

test("beyond its share a team's submission is refused at once with a time; repeats, cancellations and polls are not", () => {
  const b = leading();
  b.advance(5000);
  const { refused, taken } = flood(b, "red", 1000);
  assert.ok(refused.kind === "throttled" && refused.retryAfterS >= 1 && refused.retryAfterS <= 30);
  assert.match(refused.error, /red/);
  const written = [...b.store.entries.keys()].filter((key) => key.startsWith("j/"));
  assert.equal(written.length, taken.length, "what is refused is not written");
  const [first = ""] = taken;
  const repeat = b.submit(jobSpec(first, { team: "red" }));
  assert.ok(repeat?.kind === "accepted" && repeat.known);
  assert.equal(b.poll(first)?.kind, "status");
  assert.equal(b.cancel(first)?.kind, "status");
  assert.equal(b.submit(jobSpec("j-5000", { team: "blue" }))?.kind, "accepted", "another team's is taken");
  assert.equal(b.submit(jobSpec("j-5001", { team: "green" }))?.kind, "unsatisfiable");
});

test("a repeat of a job that another node accepted is 200 under overload, whatever state the job is in", () => {
  const state = new FakeStore();
  const b = leading(state);
  const other = new ControllerHarness("n1", state);
  other.now = b.now;
  other.advance(500);
  for (const uid of ["j-1", "j-2"]) assert.equal(other.submit(jobSpec(uid))?.kind, "accepted");
  assert.equal(other.cancel("j-2")?.kind, "status");
  flood(b, "red", 1000);
  for (const uid of ["j-1", "j-2"]) {
    const answer = b.submit(jobSpec(uid));
    assert.ok(answer?.kind === "accepted" && answer.known, uid);
  }
});

test("a team that the settings no longer name: its work goes on, a repeat of it is 200, what is new is refused for good", () => {
  const state = new FakeStore();
  const before = leading(state);
  assert.equal(before.submit(jobSpec("j-1", { team: "blue" }))?.kind, "accepted");
  const teams = before.controller.ctx.deployment.teams.filter(({ name }) => name !== "blue");
  const after = new ControllerHarness("n0", state, "n0-2", { teams }, 0, true);
  after.now = before.now + 5000;
  state.expire(after.now);
  after.becomeLeader();
  after.advance(3000);
  const repeat = after.submit(jobSpec("j-1", { team: "blue" }));
  assert.ok(repeat?.kind === "accepted" && repeat.known);
  assert.equal(after.submit(jobSpec("j-2", { team: "blue" }))?.kind, "unsatisfiable");
  assert.equal(after.submit(jobSpec("j-3", { team: "red" }))?.kind, "accepted");
  const { admission } = after.controller.status() as { admission: { teams: { name: string }[] } };
  assert.deepEqual(
    admission.teams.map(({ name }) => name),
    ["red"],
  );
  assert.equal(after.cancel("j-1")?.kind, "status");
});

test("submissions that are turned away cost the state service one request for many; without its answer they get 503", () => {
  const b = leading();
  flood(b, "red", 1000);
  let asked = 0;
  b.storeRule = (call) => {
    if (call.kind === "transaction" && call.changes.length === 0) asked++;
    return null;
  };
  for (let i = 0; i < 40; i++)
    b.handle({ kind: "submit", requestId: 9000 + i, uid: `j-${7000 + i}`, spec: jobSpec(`j-${7000 + i}`) });
  b.handle({ kind: "tick" });
  assert.ok(
    Array.from({ length: 40 }, (_, i) => b.userResponse(9000 + i)).every((a) => a?.kind === "throttled"),
  );
  assert.ok(asked <= 3, `${asked} requests for 40`);
  b.storeRule = (call) => (call.kind === "transaction" ? { kind: "unavailable", reason: "outage" } : null);
  assert.equal(b.submit(jobSpec("j-8000"))?.kind, "unavailable");
});

test("a permit that was not used is given back: a repeat, or a write that was refused", () => {
  const b = leading();
  b.advance(3000);
  const available = () => {
    const { admission } = b.controller.status() as {
      admission: { teams: { name: string; available: number }[] };
    };
    return admission.teams.find(({ name }) => name === "red")?.available;
  };
  const before = available();
  b.storeRule = (call) =>
    call.kind === "transaction" && call.changes.length === 1 ? { kind: "throttled" } : null;
  assert.equal(b.submit(jobSpec("j-1"))?.kind, "unavailable");
  assert.equal(available(), before);
  b.storeRule = null;
  b.submit(jobSpec("j-1"));
  assert.equal(available(), (before ?? 0) - 1);
});

test("weights and bounds: checked, effective at once, kept out of the way of the version before", () => {
  const b = leading();
  const set = (values: Record<string, unknown>) => b.admin({ kind: "changeSettings", values });
  assert.equal(set({ admission_weights: { nobody: 1 } })?.kind, "invalid");
  assert.equal(set({ admission_weights: { red: -1 } })?.kind, "invalid");
  assert.equal(set({ admission_turn_s: 1 })?.kind, "invalid");
  assert.equal(set({ admission_rate: 2, admission_weights: { blue: 7 } })?.kind, "ok");
  const { admission } = b.controller.status() as {
    admission: { rate: number; teams: { name: string; weight: number }[] };
  };
  assert.equal(admission.rate, 2);
  assert.equal(admission.teams.find(({ name }) => name === "blue")?.weight, 7);
});

test("heartbeats carry it as an added field, which production ignores; a node without it says nothing", () => {
  const b = leading();
  b.advance(2000);
  const beat = b.heartbeats.get("n1");
  assert.ok(beat?.kind === "heartbeat" && beat.admission);
  assert.ok(readMessageInProduction(encodePeerMessage(beat)));
  const plain = new ControllerHarness().becomeLeader().heartbeats.get("n1");
  assert.ok(plain?.kind === "heartbeat" && plain.admission === undefined);
});

test("a word of admission that can't be read costs that word, not the heartbeat", () => {
  const b = leading();
  b.advance(2000);
  const beat = b.heartbeats.get("n1");
  assert.ok(beat?.kind === "heartbeat" && beat.admission);
  const asSent = JSON.parse(JSON.stringify(encodePeerMessage(beat)));
  const read = decodePeerMessage(asSent);
  assert.ok(read);
  assert.deepEqual(JSON.parse(JSON.stringify(encodePeerMessage(read))), asSent);
  const { report } = beat.admission;
  const malformed = [
    "yes",
    { report: { ...report, sequence: -1 } },
    { report: { ...report, teams: [{ team: 7 }] } },
    { report, slice: { token: "x" } },
  ];
  for (const admission of malformed) {
    const heard = decodePeerMessage({ ...asSent, admission });
    assert.ok(heard?.kind === "heartbeat" && heard.admission === undefined, JSON.stringify(admission));
  }
  const later = decodePeerMessage({ ...asSent, admission: { ...beat.admission, more: 1 } });
  assert.ok(later?.kind === "heartbeat" && later.admission, "unknown fields are a later version's");
});

test("metrics and status tell of each team what was taken, refused and how long it waits", async () => {
  const b = leading();
  flood(b, "red", 1000);
  const { text } = await renderMetrics(b.controller, { batches: 1, lagMs: 0, waiting: 0 });
  assert.match(text, /hillspindle_admission_refused_total\{team="red"\} 1\n/);
  assert.match(text, /hillspindle_admission_admitted_total\{team="red"\} \d+/);
  assert.match(text, /hillspindle_admission_retry_after_seconds\{team="red"\} \d+/);
  assert.match(text, /hillspindle_admission_longest_wait_seconds\{team="red"\} \d+/);
  const status = b.controller.status() as {
    longest_wait_s: Record<string, number>;
    admission: { mode: string };
  };
  assert.equal(status.admission.mode, "slice");
  assert.ok("red" in status.longest_wait_s);
});

/* ---- turns ---- */

const TURN_MS = 60_000;

interface Waiting {
  readonly uid: number;
  readonly spec: { readonly team: string; readonly jobClass: string };
  readonly queuedSince: number;
}

function waiting(uid: number, team: string, jobClass: string, queuedSince: number): Waiting {
  return { uid, spec: { team, jobClass }, queuedSince };
}

test("property: no more than one job of each other line goes before a line's oldest, whatever the lines are made of", () => {
  const line = fc.record({
    team: fc.constantFrom("a", "b", "c"),
    jobClass: fc.constantFrom("x", "y"),
    queuedSince: fc.integer({ min: 0, max: 200_000 }),
  });
  fc.assert(
    fc.property(
      fc.array(line, { minLength: 1, maxLength: 60 }),
      fc.integer({ min: 0, max: 300_000 }),
      (list, now) => {
        const jobs = list.map(({ team, jobClass, queuedSince }, i) =>
          waiting(i, team, jobClass, Math.min(queuedSince, now)),
        );
        const turns = new RoundRobinTurns();
        const due = turns.due(jobs, TURN_MS, now);
        const lines = new Set([...due].map(({ spec }) => `${spec.team} ${spec.jobClass}`));
        assert.equal(lines.size, due.size, "one of each line");
        for (const one of jobs) {
          const older = jobs.filter(
            ({ spec, queuedSince }) =>
              spec.team === one.spec.team &&
              spec.jobClass === one.spec.jobClass &&
              queuedSince < one.queuedSince,
          );
          if (older.length === 0 && now - one.queuedSince >= TURN_MS)
            assert.ok(
              [...due].some(({ spec }) => spec.team === one.spec.team && spec.jobClass === one.spec.jobClass),
            );
        }
        const places = turns.places(jobs);
        for (const one of due) {
          const before = jobs.filter(
            (other) => other !== one && (places.get(other) ?? 0) < (places.get(one) ?? 0),
          );
          assert.deepEqual(before, []);
        }
      },
    ),
    { numRuns: 300, seed: 20_261_202 },
  );
});

test("a line's turn comes once nothing of it has begun for so long, and goes when something has", () => {
  const turns = new RoundRobinTurns();
  const flood = Array.from({ length: 1000 }, (_, i) => waiting(i, "a", "x", i));
  const huge = waiting(9999, "b", "y", 500);
  turns.began(waiting(-1, "a", "x", 0), 59_000);
  assert.deepEqual([...turns.due([...flood, huge], TURN_MS, 60_000)], []);
  assert.deepEqual([...turns.due([...flood, huge], TURN_MS, 60_500)], [huge]);
  turns.began(huge, 61_000);
  assert.deepEqual([...turns.due([...flood, huge], TURN_MS, 100_000)], []);
  assert.equal(turns.longestWaitMs("b", [huge], 100_000), 39_000);
});

test("under a flood of small jobs a huge array of another team has its turn, also under a new leader", () => {
  const state = new FakeStore();
  const settings = { admission_rate: 10_000, admission_turn_s: 30 };
  state.run({ kind: "transaction", conditions: [], changes: [{ put: "c/settings", value: settings }] }, 0);
  const held = new Map<string, TaskStatus[]>([["A", []]]);
  let uid = 100;
  const begun = () => liveTasks(held, "A", "j-7").length;
  /** Small jobs keep coming, and each ends within a second. */
  const play = (b: ControllerHarness, seconds: number) => {
    for (let s = 0; s < seconds && begun() === 0; s++) {
      const jobs = [...(b.controller.leaderTerm?.cluster.jobs.values() ?? [])];
      for (let missing = 12 - jobs.filter((j) => j.pending > 0).length; missing > 0; missing--)
        b.submit(jobSpec(`j-${uid++}`, { tasks: 1, estimateS: 1, team: "red" }));
      sendHeartbeatsFor(b, held, {}, 1);
      const ended = (held.get("A") ?? []).map((said) =>
        said.uid === "j-7" ? said : { ...said, state: "ended" as const, cause: "done" as const },
      );
      held.set("A", ended);
    }
  };
  const first = leading(state);
  first.sendHeartbeat("A");
  play(first, 6);
  first.submit(jobSpec("j-7", { tasks: 5000, estimateS: 50, team: "blue", jobClass: "bulk" }));
  play(first, 6);
  assert.equal(begun(), 0, "the small ones go first for a while");
  const next = new ControllerHarness("n1", state, "n1-1", {}, 0, true);
  next.now = first.now + 5000;
  state.expire(next.now);
  next.becomeLeader();
  play(next, 20);
  assert.ok(begun() > 0, "its wait counts from its acceptance");
});
