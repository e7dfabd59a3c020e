import assert from "node:assert/strict";
import { test } from "node:test";
import type { ModelCluster } from "./model/model-cluster.js";
import { runScenario, SCENARIOS, scenarioNamed } from "./model/scenarios.js";

/** A start sent before a cancellation may take effect once its image is fetched, or later if the agent hangs. */
const MAX_LATE_START_MS = 12_000;

/** Scenarios that need a large cluster to take full effect: every third seed runs them with about 300 machines. */
const LARGE_SCENARIOS = new Set([
  "mass failures of machines",
  "store outages and rolling restarts",
  "jobs with a mistake beside faulty machines",
  "all faults",
]);
const LARGE_SCALE = 20;

/** Scenarios in which few seeds meet the case that they are for run with more seeds than the others. */
const SEEDS_BY_SCENARIO: ReadonlyMap<string, number> = new Map([
  ["settings changed in a partition", 40],
  ["jobs with a mistake", 20],
  ["faulty machines", 20],
  ["jobs with a mistake beside faulty machines", 9],
  ["jobs with a mistake beside faulty machines and crashing controllers", 20],
]);
const DEFAULT_SEEDS = 3;

/** Asserts that a scenario violated no rule, and that users were served by its end. */
function assertScenarioOutcome(cluster: ModelCluster, seed: number): void {
  assert.deepEqual(cluster.violations, [], `seed ${seed}`);
  assert.ok(cluster.agents.tasks.starts > 0, `seed ${seed}: no task started`);
  for (const job of cluster.jobs.values()) {
    if (job.acceptedAt === null) continue;
    const unansweredS = (cluster.now - job.answeredAt) / 1000;
    assert.ok(unansweredS < 75, `seed ${seed}: ${job.spec.uid} has had no response for ${unansweredS} s`);
  }
  const late = cluster.rules.lateStartsMs.filter((lateMs) => lateMs > MAX_LATE_START_MS);
  assert.deepEqual(late, [], `seed ${seed}: tasks started long after a confirmed cancellation`);
  const finishable = [...cluster.jobs.values()].filter(
    (job) => job.spec.shape !== "service" && job.acceptedAt !== null && !cluster.jobs.isCancelRequested(job),
  );
  // At least half of each class, of each team and of the largest jobs must finish; groups under three jobs are ignored.
  const largest = finishable.filter(({ spec }) => spec.tasks >= (spec.shape === "gang" ? 2 : 9));
  const groups = new Map([["the largest", largest]]);
  for (const job of finishable)
    for (const group of [job.spec.jobClass, job.spec.team])
      groups.set(group, [...(groups.get(group) ?? []), job]);
  for (const [group, jobs] of groups) {
    const served = jobs.filter((job) => job.finishedAt !== null).length;
    if (jobs.length >= 3)
      assert.ok(
        served * 2 >= jobs.length,
        `seed ${seed}: ${group}: ${served} of ${jobs.length} jobs finished`,
      );
  }
  const finished = finishable.filter((job) => job.confirmedDone).length;
  assert.ok(
    finished >= finishable.length * 0.9,
    `seed ${seed}: ${finished} of ${finishable.length} jobs done`,
  );
}

for (const [name, faultRates] of Object.entries(SCENARIOS)) {
  test(`no rule violation: ${name}`, () => {
    const seeds = Number(process.env.WORLD_SEEDS ?? SEEDS_BY_SCENARIO.get(name) ?? DEFAULT_SEEDS);
    const first = Number(process.env.WORLD_FIRST ?? 1);
    for (let seed = first; seed < first + seeds; seed++)
      assertScenarioOutcome(
        runScenario({
          seed,
          faultRates,
          scale: LARGE_SCENARIOS.has(name) && seed % 3 === 0 ? LARGE_SCALE : 1,
        }),
        seed,
      );
  });
}

/** The scenarios with the most leader changes, run again with a standby. */
const WITH_STANDBY = [
  "crashing controllers",
  "isolated controllers",
  "paused controllers",
  "compound faults",
  "a rolling upgrade among faults",
  "all faults",
];

for (const name of WITH_STANDBY) {
  test(`no rule violation with a warm standby: ${name}`, () => {
    const seeds = Number(process.env.WORLD_SEEDS ?? 2);
    const first = Number(process.env.WORLD_FIRST ?? 1);
    const takeovers: string[] = [];
    for (let seed = first; seed < first + seeds; seed++) {
      const cluster = runScenario({ seed, faultRates: scenarioNamed(name), standby: true });
      takeovers.push(...cluster.log.takeoverSources);
      assertScenarioOutcome(cluster, seed);
    }
    const warm = takeovers.filter((source) => source === "warm").length;
    assert.ok(warm > 0, `${warm} of ${takeovers.length} takeovers were warm`);
  });
}

/** Scenarios in which leaders and versions change, run again with fair admission. */
const WITH_ADMISSION = [
  "crashing controllers",
  "partitions and store outages",
  "a rolling upgrade among faults",
  "all faults",
];

for (const name of WITH_ADMISSION) {
  test(`no rule violation with fair admission: ${name}`, () => {
    const seeds = Number(process.env.WORLD_SEEDS ?? 2);
    const first = Number(process.env.WORLD_FIRST ?? 1);
    for (let seed = first; seed < first + seeds; seed++)
      assertScenarioOutcome(runScenario({ seed, faultRates: scenarioNamed(name), admission: true }), seed);
  });
}
