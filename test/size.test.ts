import assert from "node:assert/strict";
import { test } from "node:test";
import { Job } from "../src/core/model/job.js";
import { NegativeFitCache } from "../src/core/scheduling/negative-fit-cache.js";
import { ControllerHarness, jobSpec, type TaskStatus } from "./support/controller-harness.js";
import { FakeStore } from "./support/fake-store.js";

/** Lets workers do what they are told at once; reports every other second; tasks of an array take `runS`. */
class Fleet {
  readonly held = new Map<string, (TaskStatus & { until: number })[]>();
  readonly begun = new Map<string, number>();
  done = 0;
  readonly #b: ControllerHarness;
  readonly #more: Record<string, object>;

  constructor(b: ControllerHarness, names: readonly string[], more: Record<string, object> = {}) {
    this.#b = b;
    this.#more = more;
    for (const name of names) this.held.set(name, []);
    this.report();
  }

  report(): void {
    for (const [name, list] of this.held) this.#b.sendHeartbeat(name, list, this.#more[name] ?? {});
  }

  /** One step of half a second. */
  step(runMs: number): void {
    const b = this.#b;
    b.advance(500);
    for (const { machine, commands: orders } of b.sentCommands.splice(0)) {
      let list = this.held.get(machine) ?? [];
      for (const o of orders) {
        const known = list.find((s) => s.uid === o.uid && s.task === o.task && s.attempt === o.attempt);
        if (o.kind === "start" && !known) {
          // Not all alike: places come free one by one.
          const until = b.now + runMs + (o.attempt % 7) * 900;
          list.push({ uid: o.uid, task: o.task, attempt: o.attempt, state: "running", until });
          if (!this.begun.has(o.uid)) this.begun.set(o.uid, b.now);
        } else if (o.kind === "stop" && known) {
          known.until = 0;
          Object.assign(known, { state: "ended", cause: "stopped" });
        } else if (o.kind === "acknowledge") list = list.filter((s) => s !== known);
      }
      this.held.set(machine, list);
      b.replyToCommands(machine, list, this.#more[machine] ?? {});
    }
    for (const list of this.held.values()) {
      for (const s of list) {
        if (s.state !== "running" || b.now < s.until) continue;
        Object.assign(s, { state: "ended", cause: "done" });
        this.done++;
      }
    }
    this.report();
  }
}

test("under constant overload the largest and least of every kind begins within four minutes", () => {
  const b = new ControllerHarness().becomeLeader();
  const more: Record<string, object> = {};
  const names: string[] = [];
  for (let i = 0; i < 3; i++) {
    names.push(`G${i}`);
    more[`G${i}`] = { type: "gpu" };
  }
  names.push("S0", "S1");
  const fleet = new Fleet(b, names, more);
  const gang = {
    shape: "gang",
    priority: 2,
    types: ["gpu"],
    need: { cpu: 6000, gpu: 2000, ram: 8000 },
  } as const;
  const small = { ...gang, tasks: 1 };
  let n = 0;
  // More of everything than there is room for, shorter and of higher rank, all the time.
  let begin = 0;
  for (let step = 0; step < 520; step++) {
    if (step === 40) {
      begin = b.now;
      b.submit(jobSpec("j-wide", { ...gang, tasks: 2, estimateS: 60, team: "blue", oneZone: true }));
      b.submit(jobSpec("j-long", { tasks: 60, estimateS: 60, types: ["small"], team: "blue" }));
      b.submit(jobSpec("j-idle", { priority: 0, types: ["small"], team: "blue" }));
    }
    if (step % 4 === 0) {
      b.submit(jobSpec(`j-g${n}`, { ...small, estimateS: 5, team: n % 2 ? "red" : "blue" }));
      b.submit(jobSpec(`j-s${n}`, { tasks: 6, estimateS: 5, priority: 2, types: ["small"], team: "red" }));
      n++;
    }
    fleet.step(5000);
  }
  assert.ok((b.controller.leaderTerm?.scheduler.blocked.length ?? 0) > 10, "there is overload to the end");
  for (const uid of ["j-wide", "j-long", "j-idle"]) {
    const at = fleet.begun.get(uid);
    assert.ok(at !== undefined, `${uid} never began`);
    assert.ok(at - begin < 240_000, `${uid} began after ${(at - begin) / 1000} s`);
  }
});

test("a fleet of a thousand machines with 100,000 tasks: quiet rounds and unchanged reports cost next to nothing", () => {
  const b = new ControllerHarness().becomeLeader();
  const names = Array.from({ length: 1000 }, (_, i) => `M${i}`);
  const fleet = new Fleet(b, names);
  for (let i = 0; i < 10; i++)
    b.submit(jobSpec(`j-${i}`, { tasks: 10_000, estimateS: 600, team: i % 2 ? "red" : "blue" }));
  for (let i = 0; i < 40; i++) fleet.step(3_600_000);
  const { leaderTerm } = b.controller;
  assert.ok(leaderTerm);
  const placed = [...leaderTerm.cluster.machines.values()].reduce((sum, m) => sum + m.placements.size, 0);
  assert.equal(placed, 40, "as many as the teams' limits allow");
  const looked = leaderTerm.scheduler.feasibleMachines.machinesExamined;
  const compared = leaderTerm.agents.reconciliations;
  const written = b.store.revision;
  for (let i = 0; i < 20; i++) fleet.step(3_600_000);
  // Ten seconds, ten rounds at most a second, ten jobs waiting: far fewer looks at a machine than machines x jobs.
  assert.ok(
    leaderTerm.scheduler.feasibleMachines.machinesExamined - looked <= 2 * 1000,
    `${leaderTerm.scheduler.feasibleMachines.machinesExamined - looked} looks`,
  );
  assert.ok(
    leaderTerm.agents.reconciliations - compared <= 1000,
    `${leaderTerm.agents.reconciliations - compared} reports taken apart`,
  );
  assert.ok(b.store.revision - written <= 5, "and next to nothing is written");
});

test("a fleet's machines are recorded many to a key, and a new leader of the largest fleet is soon ready", () => {
  const b = new ControllerHarness().becomeLeader();
  const names = Array.from({ length: 1000 }, (_, i) => `M${i}`);
  const fleet = new Fleet(b, names);
  for (let i = 0; i < 20; i++) b.submit(jobSpec(`j-${i}`, { tasks: 1, estimateS: 600 }));
  for (let i = 0; i < 20; i++) fleet.step(3_600_000);
  const buckets = [...b.store.entries.keys()].filter((key) => key.startsWith("m/"));
  assert.ok(buckets.length >= 1 && buckets.length <= 30, `${buckets.length} records of machines`);
  b.store.expire(b.now + 60_000);
  const next = new ControllerHarness("n1", b.store);
  next.now = b.now + 60_000;
  next.becomeLeader();
  assert.ok(next.controller.leaderTerm?.agents.areRecordsLoaded, "ready after three reads");
  const recorded = next.controller.leaderTerm.cluster.machines.size;
  assert.ok(recorded > 0);
  // It shows them its token a few at a time, so that its renewals are never late.
  let most = 0;
  for (let i = 0; i < 60; i++) {
    const before = next.sentCommands.length;
    next.advance(100);
    most = Math.max(most, next.sentCommands.length - before);
  }
  assert.ok(most > 0 && most <= 10, `${most} at once`);
});

test("what found no place is not looked for again by as much or more, unless places are kept for it", () => {
  const { ctx } = new ControllerHarness().controller;
  const failedFits = new NegativeFitCache(ctx);
  const make = (uid: string, cpu: number, tasks = 1) =>
    new Job(0, jobSpec(uid, { shape: "gang", tasks, need: { cpu, gpu: 0, ram: 0 } }), 0, 1);
  failedFits.add(make("j-1", 2000, 2), 2);
  assert.equal(failedFits.has(make("j-2", 3000, 2), 2), true);
  assert.equal(failedFits.has(make("j-3", 1000, 2), 2), false, "less may fit");
  assert.equal(failedFits.has(make("j-4", 2000), 1), false, "fewer may fit");
  const kept = make("j-5", 3000, 2);
  kept.reservationUntil = ctx.now + 1;
  assert.equal(failedFits.has(kept, 2), false);
  const fails = make("j-6", 3000, 2);
  fails.failedMachines.add(1);
  assert.equal(failedFits.has(fails, 2), false, "its choice is another one");
  failedFits.clear();
  assert.equal(failedFits.has(make("j-2", 3000, 2), 2), false);
});

const ANY = { cpu: 1_000_000_000, gpu: 0, ram: 0 };
const MANY = 1000;
const EACH = 100;
/** A new leader shows its token to four a tick of a tenth of a second. */
const FENCES_IN_500_MS = 20;

/** A leader with a thousand machines, a hundred tasks on each. */
function hugeFleet(): { b: ControllerHarness; fleet: Fleet } {
  const teams = [{ name: "red", guarantee: ANY, limit: ANY }];
  const b = new ControllerHarness("n0", new FakeStore(), "n0-1", { teams }).becomeLeader();
  const names = Array.from({ length: MANY }, (_, i) => `M${i}`);
  const fleet = new Fleet(
    b,
    names,
    Object.fromEntries(names.map((name, i) => [name, { zone: i % 3 === 0 ? "a" : "b" }])),
  );
  const need = { cpu: 40, gpu: 0, ram: 40 };
  for (let i = 0; i < 10; i++)
    b.submit(jobSpec(`j-${i}`, { tasks: (MANY * EACH) / 10, estimateS: 3600, need, imageGb: 0 }));
  for (let i = 0; i < 60; i++) fleet.step(3_600_000);
  return { b, fleet };
}

function placements(b: ControllerHarness): number {
  let n = 0;
  for (const machine of b.controller.leaderTerm?.cluster.machines.values() ?? [])
    n += machine.placements.size;
  return n;
}

test("100,000 tasks on a thousand machines: placed, taken over by a new leader, a third of them lost in one tick", () => {
  const { b, fleet } = hugeFleet();
  assert.equal(placements(b), MANY * EACH);
  assert.deepEqual(b.errorLines, []);
  // Records of 128 tasks, each written twice at most: when they were placed, and once more for a round that was cut.
  const chunks = [...b.store.entries.keys()].filter((key) => key.startsWith("p/")).length;
  assert.ok(chunks <= 10 * Math.ceil((MANY * EACH) / 10 / 128), `${chunks} records`);

  const held = [...fleet.held];
  b.store.expire(b.now + 60_000);
  const teams = [{ name: "red", guarantee: ANY, limit: ANY }];
  const next = new ControllerHarness("n1", b.store, "n1-1", { teams });
  next.now = b.now + 60_000;
  next.becomeLeader();
  assert.ok(next.controller.leaderTerm?.agents.areRecordsLoaded);
  assert.equal(placements(next), MANY * EACH);
  const beat = (alive: readonly [string, (typeof held)[number][1]][], token: number) => {
    for (const [name, list] of alive) next.sendHeartbeat(name, list, { fencingToken: token });
  };
  const token = next.controller.leaderTerm.lease.fencingToken;
  beat(held, 1);
  next.advance(500);
  beat(held, token);
  assert.equal(placements(next), MANY * EACH, "all are adopted, none is started or stopped");
  assert.deepEqual(next.commandedTasks("start", "j-0"), []);
  assert.deepEqual(next.commandedTasks("stop", "j-0"), []);

  // A third falls silent for good: each tick's effects stay bounded while what ran there is placed again.
  const alive = held.filter((_, i) => i % 3 !== 0);
  const before = next.controller.leaderTerm.scheduler.feasibleMachines.machinesExamined;
  let mostSent = 0;
  for (let i = 0; i < 60; i++) {
    const sent = next.sentCommands.length;
    next.advance(500);
    mostSent = Math.max(mostSent, next.sentCommands.length - sent);
    if (i % 4 === 0) beat(alive, token);
  }
  const left = placements(next);
  assert.ok(left <= Math.ceil(alive.length * EACH), `${left} placements`);
  assert.ok(next.controller.leaderTerm, "it still leads");
  assert.deepEqual(next.errorLines, []);
  assert.ok(mostSent <= 2 * FENCES_IN_500_MS, `${mostSent} direct commands in half a second`);
  const looked = next.controller.leaderTerm.scheduler.feasibleMachines.machinesExamined - before;
  assert.ok(looked <= 20 * 10 * MANY, `${looked} looks at a machine for ten jobs in thirty seconds`);
});
