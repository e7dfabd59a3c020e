import assert from "node:assert/strict";
import { readFileSync, writeFileSync } from "node:fs";
import { test } from "node:test";
import type { ModelCluster } from "./model/model-cluster.js";
import { runScenario, SCENARIOS, scenarioNamed } from "./model/scenarios.js";
import { TraceDigest } from "./support/trace-digest.js";

/**
 * Days of the model cluster, played from fixed seeds, send exactly the bytes that they sent when the fixture was
 * written. A change of behaviour that is meant writes it anew: `TRACE_DIGESTS=write npm test`, and says so in its commit.
 */
const FIXTURE = "test/fixtures/trace-digests.json";
const SEED = 101;
const LARGE_SCALE = 20;

interface Day {
  readonly trouble: string;
  readonly scale?: number;
  readonly standby?: boolean;
  readonly admission?: boolean;
}

const DAYS: readonly Day[] = [
  ...Object.keys(SCENARIOS).map((trouble) => ({ trouble })),
  ...["mass failures of machines", "store outages and rolling restarts", "all faults"].map((trouble) => ({
    trouble,
    scale: LARGE_SCALE,
  })),
  ...["crashing controllers", "compound faults", "a rolling upgrade among faults", "all faults"].flatMap(
    (trouble) => [
      { trouble, standby: true },
      { trouble, admission: true },
      { trouble, standby: true, admission: true },
    ],
  ),
];

function nameOf({ trouble, scale, standby, admission }: Day): string {
  return [trouble, scale && `x${scale}`, standby && "standby", admission && "admission"]
    .filter(Boolean)
    .join(", ");
}

function digestOf({ trouble, ...options }: Day): {
  digest: string;
  effects: number;
  cluster: ModelCluster;
} {
  const trace = new TraceDigest();
  const cluster = runScenario({
    ...options,
    seed: SEED,
    faultRates: scenarioNamed(trouble),
    observer: (core, node, now, effect) => trace.observe(core, node, now, effect),
  });
  for (const { core } of cluster.nodes) if (core) trace.observeStatus(core, cluster.now);
  return { digest: trace.digest(), effects: trace.effects, cluster };
}

const known = JSON.parse(readFileSync(FIXTURE, "utf8")) as Record<string, string>;
const written: Record<string, string> = {};

for (const day of DAYS) {
  const name = nameOf(day);
  test(`a day sends the recorded bytes: ${name}`, () => {
    const { digest, effects, cluster } = digestOf(day);
    assert.deepEqual(cluster.violations, []);
    assert.ok(effects > 1000, `${effects} effects`);
    if (process.env.TRACE_DIGESTS === "write") {
      written[name] = digest;
      writeFileSync(FIXTURE, `${JSON.stringify(written, null, 2)}\n`);
    } else assert.equal(digest, known[name]);
  });
}

test("the digest notices a byte that differs", () => {
  const [first, second] = [new TraceDigest(), new TraceDigest()];
  const day = (seed: number, trace: TraceDigest) =>
    runScenario({
      seed,
      observer: (core, node, now, effect) => {
        // One call to the store, a millisecond more patient.
        const changed = trace === second && trace.effects === 500 && effect.kind === "callStore";
        trace.observe(core, node, now, changed ? { ...effect, timeoutMs: effect.timeoutMs + 1 } : effect);
      },
    });
  day(SEED, first);
  day(SEED, second);
  assert.equal(first.effects, second.effects);
  assert.notEqual(first.digest(), second.digest());
});
