import assert from "node:assert/strict";
import { readFileSync, writeFileSync } from "node:fs";
import { test } from "node:test";
import type { ModelCluster } from "./model/model-cluster.js";
import { runScenario, SCENARIOS, scenarioNamed } from "./model/scenarios.js";
import { TraceDigest } from "./support/trace-digest.js";

/**
 * Simulated scenarios with fixed seeds send exactly the bytes whose digests the fixture holds. After an intended
 * change of behaviour, regenerate it with `TRACE_DIGESTS=write npm test` and say so in the commit message.
 */
const FIXTURE = "test/fixtures/trace-digests.json";
const SEED = 101;
const LARGE_SCALE = 20;

interface Scenario {
  readonly faults: string;
  readonly scale?: number;
  readonly standby?: boolean;
  readonly admission?: boolean;
}

const TRACED_SCENARIOS: readonly Scenario[] = [
  ...Object.keys(SCENARIOS).map((faults) => ({ faults })),
  ...["mass failures of machines", "store outages and rolling restarts", "all faults"].map((faults) => ({
    faults,
    scale: LARGE_SCALE,
  })),
  ...["crashing controllers", "compound faults", "a rolling upgrade among faults", "all faults"].flatMap(
    (faults) => [
      { faults, standby: true },
      { faults, admission: true },
      { faults, standby: true, admission: true },
    ],
  ),
];

function nameOf({ faults, scale, standby, admission }: Scenario): string {
  return [faults, scale && `x${scale}`, standby && "standby", admission && "admission"]
    .filter(Boolean)
    .join(", ");
}

function digestOf({ faults, ...options }: Scenario): {
  digest: string;
  effects: number;
  cluster: ModelCluster;
} {
  const trace = new TraceDigest();
  const cluster = runScenario({
    ...options,
    seed: SEED,
    faultRates: scenarioNamed(faults),
    observer: (core, node, now, effect) => trace.observe(core, node, now, effect),
  });
  for (const { core } of cluster.nodes) if (core) trace.observeStatus(core, cluster.now);
  return { digest: trace.digest(), effects: trace.effects, cluster };
}

const expectedDigests = JSON.parse(readFileSync(FIXTURE, "utf8")) as Record<string, string>;
const writtenDigests: Record<string, string> = {};

for (const scenario of TRACED_SCENARIOS) {
  const name = nameOf(scenario);
  test(`a scenario sends the recorded bytes: ${name}`, () => {
    const { digest, effects, cluster } = digestOf(scenario);
    assert.deepEqual(cluster.violations, []);
    assert.ok(effects > 1000, `${effects} effects`);
    if (process.env.TRACE_DIGESTS === "write") {
      writtenDigests[name] = digest;
      writeFileSync(FIXTURE, `${JSON.stringify(writtenDigests, null, 2)}\n`);
    } else assert.equal(digest, expectedDigests[name]);
  });
}

test("the digest changes if a single byte differs", () => {
  const [first, second] = [new TraceDigest(), new TraceDigest()];
  const runTraced = (seed: number, trace: TraceDigest) =>
    runScenario({
      seed,
      observer: (core, node, now, effect) => {
        // One store call has a timeout that is 1 ms longer.
        const changed = trace === second && trace.effects === 500 && effect.kind === "callStore";
        trace.observe(core, node, now, changed ? { ...effect, timeoutMs: effect.timeoutMs + 1 } : effect);
      },
    });
  runTraced(SEED, first);
  runTraced(SEED, second);
  assert.equal(first.effects, second.effects);
  assert.notEqual(first.digest(), second.digest());
});
