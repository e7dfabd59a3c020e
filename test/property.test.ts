import assert from "node:assert/strict";
import { test } from "node:test";
import type { ModelCluster } from "./model/model-cluster.js";
import { runScenario, SCENARIOS, scenarioNamed } from "./model/scenarios.js";

/** A start sent before the cancellation may begin when its image is there; with a hanging agent, later still. */
const MAX_LATE_START_MS = 12_000;

/** Troubles that only a large fleet shows in full: played with some three hundred machines. */
const LARGE = new Set(["mass failures of machines", "store outages and rolling restarts", "all faults"]);
const LARGE_SCALE = 20;

/** The rules, and the users' checks at the end of a day. */
function check(cluster: ModelCluster, seed: number): void {
  assert.deepEqual(cluster.violations, [], `seed ${seed}`);
  assert.ok(cluster.agents.tasks.starts > 0, `seed ${seed}: nothing ran`);
  for (const job of cluster.jobs.values()) {
    if (job.acceptedAt === null) continue;
    const unansweredS = (cluster.now - job.answeredAt) / 1000;
    assert.ok(unansweredS < 75, `seed ${seed}: ${job.spec.uid} is forgotten: ${unansweredS} s`);
  }
  const late = cluster.rules.lateStartsMs.filter((lateMs) => lateMs > MAX_LATE_START_MS);
  assert.deepEqual(late, [], `seed ${seed}: starts long after a confirmed cancellation`);
  const finishable = [...cluster.jobs.values()].filter(
    (job) => job.spec.shape !== "service" && job.acceptedAt !== null && !cluster.jobs.isCancelRequested(job),
  );
  // Of each class, team and the largest jobs at least half is served; on few jobs that says nothing.
  const largest = finishable.filter(({ spec }) => spec.tasks >= (spec.shape === "gang" ? 2 : 9));
  const kinds = new Map([["the largest", largest]]);
  for (const job of finishable)
    for (const kind of [job.spec.jobClass, job.spec.team]) kinds.set(kind, [...(kinds.get(kind) ?? []), job]);
  for (const [kind, jobs] of kinds) {
    const served = jobs.filter((job) => job.finishedAt !== null).length;
    if (jobs.length >= 3)
      assert.ok(served * 2 >= jobs.length, `seed ${seed}: ${kind}: ${served} of ${jobs.length}`);
  }
  const finished = finishable.filter((job) => job.confirmedDone).length;
  assert.ok(
    finished >= finishable.length * 0.9,
    `seed ${seed}: ${finished} of ${finishable.length} jobs done`,
  );
}

for (const [name, trouble] of Object.entries(SCENARIOS)) {
  test(`no rule is broken: ${name}`, () => {
    const seeds = Number(process.env.WORLD_SEEDS ?? 3);
    const first = Number(process.env.WORLD_FIRST ?? 1);
    for (let seed = first; seed < first + seeds; seed++)
      check(
        runScenario({
          seed,
          faultRates: trouble,
          scale: LARGE.has(name) && seed % 3 === 0 ? LARGE_SCALE : 1,
        }),
        seed,
      );
  });
}

/** The days on which leaders change most, played again with a standby. */
const WITH_STANDBY = [
  "crashing controllers",
  "isolated controllers",
  "paused controllers",
  "compound faults",
  "a rolling upgrade among faults",
  "all faults",
];

for (const name of WITH_STANDBY) {
  test(`no rule is broken with a warm standby: ${name}`, () => {
    const seeds = Number(process.env.WORLD_SEEDS ?? 2);
    const first = Number(process.env.WORLD_FIRST ?? 1);
    const takeovers: string[] = [];
    for (let seed = first; seed < first + seeds; seed++) {
      const cluster = runScenario({ seed, faultRates: scenarioNamed(name), standby: true });
      takeovers.push(...cluster.log.takeoverSources);
      check(cluster, seed);
    }
    const warm = takeovers.filter((source) => source === "warm").length;
    assert.ok(warm > 0, `${warm} of ${takeovers.length} takeovers were warm`);
  });
}

/** Days on which leaders and versions change, played again with submissions admitted by shares. */
const WITH_ADMISSION = [
  "crashing controllers",
  "partitions and store outages",
  "a rolling upgrade among faults",
  "all faults",
];

for (const name of WITH_ADMISSION) {
  test(`no rule is broken with fair admission: ${name}`, () => {
    const seeds = Number(process.env.WORLD_SEEDS ?? 2);
    const first = Number(process.env.WORLD_FIRST ?? 1);
    for (let seed = first; seed < first + seeds; seed++)
      check(runScenario({ seed, faultRates: scenarioNamed(name), admission: true }), seed);
  });
}
