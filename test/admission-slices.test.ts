import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { Admission } from "../src/admission/admission.js";
import type { AdmissionNote } from "../src/admission/messages.js";
import { policyOf } from "../src/admission/policy.js";
import { defaultOperator, type OperatorSettings } from "../src/config/operator.js";
import { Context } from "../src/core/context.js";
import { NameRegistry } from "../src/core/model/interner.js";
import { randomInt, seededRandom } from "../src/core/random.js";
import { deployment, NODES } from "./support/deployment.js";

const BEAT_MS = 1000;

interface Node {
  readonly name: string;
  readonly ctx: Context;
  admission: Admission;
  /** The part by which its steady clock runs fast. */
  readonly drift: number;
  readonly inbox: { readonly from: string; readonly note: AdmissionNote | undefined; readonly at: number }[];
}

type Names = (typeof NODES)[number];

/** Three nodes with clocks of their own; one of them issues. Heartbeats can be lost or come late. */
class Cluster {
  now = 0;
  leader: Names | null = "n0";
  token = 1;
  readonly openJobs = new Map<string, number>();
  readonly nodes: Node[];
  /** Nodes that nothing reaches and that reach nobody. */
  readonly cut = new Set<string>();
  /** Nodes without fair admission. */
  readonly old = new Set<string>();
  readonly #settings: OperatorSettings;
  #processes = 0;
  #uid = 0;
  readonly #refused: { readonly uid: string; readonly team: string; readonly at: number }[] = [];

  constructor(settings: Partial<OperatorSettings> = {}, teams = deployment("n0").teams) {
    this.#settings = { ...defaultOperator, ...settings };
    this.nodes = NODES.map((name, i) => {
      const ctx = new Context({ ...deployment(name), teams }, new NameRegistry(), seededRandom(1), 0);
      ctx.settings = this.#settings;
      const drift = 1 + (i - 1) * 0.0005;
      return { name, ctx, admission: new Admission(ctx, `p${this.#processes++}`), drift, inbox: [] };
    });
  }

  node(name: string): Node {
    const node = this.nodes.find((one) => one.name === name);
    assert.ok(node);
    return node;
  }

  restart(name: string): void {
    const node = this.node(name);
    node.admission = new Admission(node.ctx, `p${this.#processes++}`);
    node.inbox.length = 0;
  }

  /** All nodes beat once, a tenth of a second apart; messages arrive after `delayMs`, or never where it is null. */
  beat(delayMs: (from: string, to: string) => number | null = () => 5): void {
    for (const node of this.nodes) {
      this.advance(BEAT_MS / 10);
      const isLeader = node.name === this.leader && !this.cut.has(node.name);
      const token = isLeader && !this.old.has(node.name) ? this.token : null;
      node.admission.tick(this.leader, token, { openJobs: () => this.openJobs });
      for (const other of this.nodes) {
        if (other === node || this.cut.has(node.name) || this.cut.has(other.name)) continue;
        const delay = delayMs(node.name, other.name);
        if (delay === null) continue;
        const note = this.old.has(node.name) ? undefined : node.admission.noteFor(other.name);
        other.inbox.push({ from: node.name, note, at: this.now + delay });
      }
    }
    this.advance(BEAT_MS - (BEAT_MS / 10) * this.nodes.length);
  }

  beats(count: number): void {
    for (let i = 0; i < count; i++) this.beat();
  }

  advance(ms: number): void {
    this.now += ms;
    for (const node of this.nodes) {
      node.ctx.now = this.now * node.drift;
      const due = node.inbox.filter(({ at }) => at <= this.now);
      node.inbox.splice(0, node.inbox.length, ...node.inbox.filter(({ at }) => at > this.now));
      if (this.old.has(node.name)) continue;
      for (const { from, note } of due) node.admission.heard(from, note);
    }
  }

  /** Submissions of a team at one node: of those that were told to come back by now, then new ones. Returns how many it takes. */
  submit(name: string, team: string, count: number): number {
    let taken = 0;
    for (let i = 0; i < count; i++) {
      const uid = this.#returning(team) ?? `j-${++this.#uid}`;
      const decision = this.node(name).admission.decide(uid, team);
      if (decision.kind === "take") taken++;
      else this.#refused.push({ uid, team, at: this.now + decision.afterS * 1000 });
    }
    this.openJobs.set(team, (this.openJobs.get(team) ?? 0) + taken);
    return taken;
  }

  #returning(team: string): string | undefined {
    const next = this.#refused.findIndex((one) => one.team === team && one.at <= this.now);
    return next < 0 ? undefined : this.#refused.splice(next, 1)[0]?.uid;
  }
}

/** A single team: what others hold for their first submissions is none of these tests' business. */
const RED_ONLY = deployment("n0").teams.slice(0, 1);

function availableOf(node: Node, team: string): number {
  return node.admission.report().teams.find(({ name }) => name === team)?.available ?? 0;
}

test("two nodes that accept at the same moment never take the last room twice", () => {
  for (const room of [1, 2, 5, 20]) {
    const cluster = new Cluster({ admission_open_jobs: room, admission_rate: 1000 }, RED_ONLY);
    cluster.beats(3);
    for (let i = 0; i < 30; i++) {
      cluster.beat();
      for (const { name } of cluster.nodes) cluster.submit(name, "red", 50);
    }
    assert.equal(cluster.openJobs.get("red"), room, "and none of it is left unused");
  }
});

test("a flood through one node, or through all, leaves the other team what it asks for", () => {
  for (const through of [["n1"], NODES]) {
    const cluster = new Cluster({ admission_rate: 30 });
    cluster.beats(5);
    let [asked, taken, flooded] = [0, 0, 0];
    for (let i = 0; i < 60; i++) {
      cluster.beat();
      for (const name of through) flooded += cluster.submit(name, "red", 300 / through.length);
      for (const { name } of cluster.nodes) {
        asked += 1;
        taken += cluster.submit(name, "blue", 1);
      }
    }
    assert.equal(taken, asked);
    assert.ok(flooded > 60 * 15, `the rest is used: ${flooded} in 60 s`);
    assert.ok(flooded + taken <= 30 * 75, `${flooded + taken} in 60 s at 30 a second, with 10 s of burst`);
  }
});

// Found on loopback: teams within their shares were refused, as the little that they might hold was at other nodes.
test("teams that ask for less than their shares are hardly refused under a flood, at whatever nodes they ask", () => {
  const [red] = deployment("n0").teams;
  assert.ok(red);
  const quiet = ["web", "bills", "maps"];
  const teams = ["red", ...quiet].map((name) => ({ ...red, name }));
  const cluster = new Cluster({ admission_rate: 4 }, teams);
  cluster.beats(20);
  const random = seededRandom(7);
  let [asked, refused] = [0, 0];
  for (let second = 0; second < 120; second++) {
    cluster.beat();
    for (const { name } of cluster.nodes) cluster.submit(name, "red", 15);
    for (const team of quiet) {
      const node = cluster.nodes[randomInt(random, 0, NODES.length - 1)];
      if (!node) continue;
      asked++;
      if (cluster.submit(node.name, team, 1) === 0) refused++;
    }
  }
  assert.ok(refused * 50 <= asked, `${refused} of ${asked}`);
});

test("a node that is gone gives back what it held, and only once its permits are void by every clock", () => {
  const cluster = new Cluster({ admission_open_jobs: 12, admission_rate: 1000 }, RED_ONLY);
  cluster.beats(4);
  const gone = cluster.node("n1");
  assert.ok(availableOf(gone, "red") > 0);
  cluster.cut.add("n1");
  // It was to hold two; while it may still spend them nobody else does.
  cluster.beats(2);
  for (const name of ["n0", "n2"]) cluster.submit(name, "red", 50);
  cluster.beats(1);
  for (const name of ["n0", "n2"]) cluster.submit(name, "red", 50);
  const held = gone.admission.mode === "slice" ? availableOf(gone, "red") : 0;
  assert.ok((cluster.openJobs.get("red") ?? 0) + held <= 12, "not taken twice");
  for (let i = 0; i < 45; i++) {
    cluster.beat();
    for (const name of ["n0", "n2"]) cluster.submit(name, "red", 50);
  }
  assert.equal(cluster.openJobs.get("red"), 12, "come back");
});

test("a node cut off with permits that it has not spent can't spend them when it is back late", () => {
  const cluster = new Cluster({ admission_open_jobs: 6, admission_rate: 1000 }, RED_ONLY);
  cluster.beats(4);
  const { admission } = cluster.node("n1");
  assert.ok(availableOf(cluster.node("n1"), "red") > 0);
  cluster.cut.add("n1");
  cluster.beats(6);
  assert.equal(admission.mode, "floor");
  for (let i = 0; i < 8; i++) {
    cluster.beat();
    for (const name of ["n0", "n2"]) cluster.submit(name, "red", 50);
  }
  assert.equal(cluster.openJobs.get("red"), 6);
  cluster.cut.delete("n1");
  cluster.beats(3);
  assert.equal(admission.mode, "slice");
  assert.equal(cluster.submit("n1", "red", 50), 0, "the room is taken");
});

test("a slice that comes late counts from when it was asked for, and an older leader's is not taken", () => {
  const cluster = new Cluster();
  cluster.beats(3);
  const { admission } = cluster.node("n1");
  const late = cluster.node("n0").admission.noteFor("n1");
  assert.ok(late.slice);
  cluster.cut.add("n1");
  cluster.beats(5);
  admission.heard("n0", late);
  assert.equal(admission.mode, "floor", "it is void already");
  cluster.cut.delete("n1");
  cluster.leader = "n2";
  cluster.token = 2;
  cluster.beats(3);
  assert.equal(admission.mode, "slice");
  const before = admission.report();
  const answers = admission.noteFor("n0").report.sequence;
  admission.heard("n0", {
    ...late,
    slice: { ...late.slice, id: 10_000, answers, permits: [{ team: "red", count: 99, ratePerS: 1 }] },
  });
  assert.deepEqual(admission.report(), before);
});

test("slices on their way count as held: late ones are not issued again on top", () => {
  for (const room of [4, 10, 25]) {
    const cluster = new Cluster({ admission_open_jobs: room, admission_rate: 1000 }, RED_ONLY);
    for (let i = 0; i < 40; i++) {
      cluster.beat((from) => (from === "n0" ? 2500 : 5));
      for (const node of cluster.nodes) {
        // The first submission tells how much is wanted; then all that is there is spent.
        cluster.submit(node.name, "red", node.admission.mode === "slice" ? availableOf(node, "red") + 1 : 0);
      }
      assert.ok((cluster.openJobs.get("red") ?? 0) <= room, `${cluster.openJobs.get("red")} of ${room}`);
    }
  }
});

test("a node that starts anew holds nothing of its former process, and what that one had accepted counts", () => {
  const cluster = new Cluster({ admission_open_jobs: 6, admission_rate: 1000 }, RED_ONLY);
  cluster.beats(4);
  const former = cluster.node("n1").admission;
  const held = former.report().teams[0]?.available ?? 0;
  assert.ok(held > 0);
  // The former one spends what it has in its last moment.
  cluster.restart("n1");
  cluster.openJobs.set("red", held);
  cluster.beats(1);
  for (const node of cluster.nodes)
    if (node.admission.mode === "slice") cluster.submit(node.name, "red", availableOf(node, "red"));
  assert.ok((cluster.openJobs.get("red") ?? 0) <= 6, `${cluster.openJobs.get("red")} of 6`);
});

test("a change of leader in the burst: what both issue stays within the rate and one burst", () => {
  const rate = 30;
  const cluster = new Cluster({ admission_rate: rate });
  cluster.beats(20);
  let taken = 0;
  const seconds = 40;
  for (let i = 0; i < seconds; i++) {
    if (i === 10 || i === 12 || i === 25) {
      cluster.leader = cluster.leader === "n0" ? "n2" : "n0";
      cluster.token++;
    }
    cluster.beat();
    for (const { name } of cluster.nodes) taken += cluster.submit(name, "red", 200);
  }
  assert.ok(taken <= rate * (seconds + 10 + 3 * 2), `${taken}`);
  assert.ok(taken >= rate * seconds * 0.6, `${taken}`);
});

test("without a leader each node goes on with its floor: little, but something for every team, and no more than the rate", () => {
  const cluster = new Cluster({ admission_rate: 30 });
  cluster.beats(5);
  cluster.leader = null;
  cluster.beats(6);
  const taken = { red: 0, blue: 0 };
  for (let i = 0; i < 30; i++) {
    cluster.beat();
    for (const { name } of cluster.nodes)
      for (const team of ["red", "blue"] as const) taken[team] += cluster.submit(name, team, 100);
  }
  assert.ok(taken.red + taken.blue <= 30 * 45, JSON.stringify(taken));
  assert.ok(taken.blue >= 30 * 8, JSON.stringify(taken));
  assert.ok(taken.red > taken.blue * 1.5, "by weight");
});

test("a team of weight 0 has what the others leave, and one that the settings no longer name takes none of theirs", () => {
  const cluster = new Cluster({
    admission_rate: 30,
    admission_weights: { blue: 0 },
    admission_open_jobs: 50,
  });
  cluster.openJobs.set("gone", 30);
  cluster.beats(5);
  let blue = 0;
  for (let i = 0; i < 10; i++) {
    cluster.beat();
    for (const { name } of cluster.nodes) blue += cluster.submit(name, "blue", 1);
  }
  // Red holds two at each node for its first submissions; the rest of what the team that is gone leaves is lent.
  assert.ok(blue >= 20 - 6 && blue <= 20, `${blue} of the 20 that are left`);
  cluster.openJobs.clear();
  for (let i = 0; i < 20; i++) {
    cluster.beat();
    for (const { name } of cluster.nodes) {
      cluster.submit(name, "red", 100);
      blue = cluster.submit(name, "blue", 100);
    }
  }
  assert.ok((cluster.openJobs.get("red") ?? 0) > 40, JSON.stringify([...cluster.openJobs]));
});

test("both versions side by side: under an older leader all is taken; an older node's part is set aside", () => {
  const cluster = new Cluster({ admission_rate: 30 });
  cluster.old.add("n0");
  cluster.beats(3);
  assert.equal(cluster.node("n1").admission.mode, "open");
  assert.equal(cluster.submit("n1", "red", 500), 500);
  // What was taken then is no debt once there is no leader.
  cluster.leader = null;
  cluster.beats(6);
  assert.equal(cluster.node("n1").admission.mode, "floor");
  assert.ok(cluster.submit("n1", "red", 1) === 1);
  cluster.openJobs.clear();
  cluster.leader = "n2";
  cluster.token = 2;
  cluster.beats(5);
  assert.equal(cluster.node("n1").admission.mode, "slice");
  let taken = 0;
  for (let i = 0; i < 60; i++) {
    cluster.beat();
    for (const name of ["n1", "n2"]) taken += cluster.submit(name, "red", 200);
  }
  assert.ok(taken <= 20 * 60 + 300, `two thirds of the rate: ${taken}`);
});

test("property: lost and late heartbeats, restarts, cuts and clocks that differ never let more in than there is room", () => {
  const event = fc.oneof(
    { weight: 8, arbitrary: fc.constant("beat" as const) },
    { weight: 2, arbitrary: fc.constantFrom("lost" as const, "late" as const) },
    {
      weight: 1,
      arbitrary: fc.constantFrom("cut n1" as const, "cut n2" as const, "heal" as const, "restart" as const),
    },
  );
  const step = fc.record({ event, node: fc.constantFrom(...NODES), count: fc.nat({ max: 12 }) });
  fc.assert(
    fc.property(
      fc.array(step, { minLength: 20, maxLength: 80 }),
      fc.integer({ min: 1, max: 40 }),
      (steps, room) => {
        const cluster = new Cluster({ admission_open_jobs: room, admission_rate: 1000 });
        cluster.beats(2);
        for (const { event: what, node, count } of steps) {
          if (what === "cut n1") cluster.cut.add("n1");
          else if (what === "cut n2") cluster.cut.add("n2");
          else if (what === "heal") cluster.cut.clear();
          else if (what === "restart") cluster.restart(node);
          else cluster.beat((from) => (what === "beat" || from !== node ? 5 : what === "lost" ? null : 2500));
          const { admission } = cluster.node(node);
          // What a floor takes is outside of the room, as is what was promised.
          if (admission.mode === "slice") {
            const { available = 0 } = admission.report().teams.find(({ name }) => name === "red") ?? {};
            cluster.submit(node, "red", Math.min(count, available));
          }
          assert.ok((cluster.openJobs.get("red") ?? 0) <= room);
        }
      },
    ),
    { numRuns: 150, seed: 20_261_202 },
  );
});

test("who is refused and comes back at the time it was told is taken, at whatever node, before newcomers", () => {
  const cluster = new Cluster({ admission_rate: 12 });
  cluster.beats(5);
  const back = new Map<number, string[]>();
  let uid = 0;
  let [kept, broken, early] = [0, 0, 0];
  for (let second = 0; second < 60; second++) {
    cluster.beat();
    for (const [k, { name }] of cluster.nodes.entries()) {
      for (let i = 0; i < 10; i++) {
        const id = `j-1${++uid}`;
        const decision = cluster.node(name).admission.decide(id, "red");
        if (decision.kind === "take") continue;
        assert.ok(decision.afterS >= 1 && decision.afterS <= 30);
        const again = cluster.node(name).admission.decide(id, "red");
        if (again.kind === "wait")
          assert.ok(again.afterS <= decision.afterS, "the same submission, the same time");
        else early++;
        if (decision.afterS < 30) {
          const due = second + decision.afterS + 1;
          back.set(due, [...(back.get(due) ?? []), id]);
        }
      }
      // Each comes back to another node than the one that refused it.
      const due = back.get(second)?.filter((_, i) => i % NODES.length === k) ?? [];
      for (const id of due) {
        if (cluster.node(name).admission.decide(id, "red").kind === "take") kept++;
        else broken++;
      }
    }
  }
  assert.equal(early, 0);
  assert.ok(kept > 100, `${kept} came back, ${broken} were refused again`);
  assert.equal(broken, 0);
});

test("the policy: weights are the operators' or the guarantees, the rate follows the state service's smaller limit", () => {
  const { teams, rate } = policyOf({ ...defaultOperator, admission_weights: { blue: 5 } }, deployment("n0"));
  assert.deepEqual(
    teams.map(({ name, weight }) => [name, weight]),
    [
      ["red", 16_000],
      ["blue", 5],
    ],
  );
  assert.equal(rate, 70 / 8);
  assert.equal(policyOf({ ...defaultOperator, admission_rate: 3 }, deployment("n0")).rate, 3);
});
