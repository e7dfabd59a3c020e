import assert from "node:assert/strict";
import { readFileSync, writeFileSync } from "node:fs";
import { test } from "node:test";
import { play, TROUBLES, troubleNamed } from "./model/days.js";
import type { ModelCluster } from "./model/model-cluster.js";
import { TraceDigest } from "./support/trace-digest.js";

/**
 * Simulated scenarios with fixed seeds send exactly the bytes whose digests the fixture holds. After an intended
 * change of behaviour, regenerate it with `TRACE_DIGESTS=write npm test` and say so in the commit message.
 */
const FIXTURE = "test/fixtures/trace-digests.json";
const SEED = 101;
const LARGE_SCALE = 20;

interface Scenario {
  readonly trouble: string;
  readonly scale?: number;
  readonly standby?: boolean;
  readonly admission?: boolean;
}

const SCENARIOS: readonly Scenario[] = [
  ...Object.keys(TROUBLES).map((trouble) => ({ trouble })),
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

function nameOf({ trouble, scale, standby, admission }: Scenario): string {
  return [trouble, scale && `x${scale}`, standby && "standby", admission && "admission"]
    .filter(Boolean)
    .join(", ");
}

function digestOf({ trouble, ...options }: Scenario): {
  digest: string;
  effects: number;
  cluster: ModelCluster;
} {
  const trace = new TraceDigest();
  const cluster = play({
    ...options,
    seed: SEED,
    trouble: troubleNamed(trouble),
    observer: (core, node, now, effect) => trace.observe(core, node, now, effect),
  });
  for (const { core } of cluster.nodes) if (core) trace.observeStatus(core, cluster.now);
  return { digest: trace.digest(), effects: trace.effects, cluster };
}

const expectedDigests = JSON.parse(readFileSync(FIXTURE, "utf8")) as Record<string, string>;
const writtenDigests: Record<string, string> = {};

for (const scenario of SCENARIOS) {
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
    play({
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
