/** Simulates a submission burst by one team under fair admission, alone and together with faults. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { type FaultRates, NO_FAULTS } from "./model/fault-rates.js";
import type { SubmittedJob } from "./model/jobs.js";
import { ModelCluster } from "./model/model-cluster.js";
import { jobSpec } from "./support/controller-harness.js";

const BEFORE_BURST_S = 20;
const BURST_S = 60;
const AFTER_BURST_S = 90;
/** The interval at which each team submits a job. */
const SUBMISSION_INTERVAL_S = 2;
/** The jobs that one team submits in addition during the burst. */
const BURST_JOBS_PER_S = 10;
/** The longest retry-after that the other team may be given when the burst is the only fault. */
const MAX_RETRY_AFTER_S = 3;
/** The longest time until a job of the other team starts. */
const MAX_START_DELAY_S = 60;

/** Faults that occur in addition to the burst. */
interface Scenario {
  readonly faultRates?: FaultRates;
  readonly injectFaults?: (cluster: ModelCluster, second: number) => void;
}

interface BurstResult {
  readonly cluster: ModelCluster;
  /** Jobs that the other team submitted during the burst. */
  readonly otherTeamJobs: SubmittedJob[];
}

/** During the burst, one team submits ten more jobs per second; normally, both teams together submit one per second. */
function simulateBurst(seed: number, { faultRates, injectFaults }: Scenario): BurstResult {
  const cluster = new ModelCluster({ seed, faultRates, admission: true });
  const otherTeamJobs: SubmittedJob[] = [];
  let nextJobNumber = 1;
  const submit = (team: string) => {
    const uid = `j-${nextJobNumber++}`;
    cluster.users.submit(jobSpec(uid, { team, jobClass: team, tasks: 2, estimateS: 4 }));
    return uid;
  };
  for (let second = 1; second <= BEFORE_BURST_S + BURST_S + AFTER_BURST_S; second++) {
    cluster.run(second * 1000);
    const isBurst = second > BEFORE_BURST_S && second <= BEFORE_BURST_S + BURST_S;
    if (second <= BEFORE_BURST_S + BURST_S && second % SUBMISSION_INTERVAL_S === 0) {
      const uid = submit("blue");
      const job = cluster.jobs.get(uid);
      if (isBurst && job) otherTeamJobs.push(job);
      submit("red");
    }
    if (isBurst) for (let i = 0; i < BURST_JOBS_PER_S; i++) submit("red");
    injectFaults?.(cluster, second);
  }
  return { cluster, otherTeamJobs };
}

function leaderIndexOf(cluster: ModelCluster): number {
  return cluster.controllers.leader?.index ?? -1;
}

const SCENARIOS: Record<string, Scenario> = {
  "with no other fault": {},
  "while the leader crashes": {
    injectFaults: (cluster, second) => {
      if (second === 40 || second === 60)
        cluster.controllers.crash(Math.max(0, leaderIndexOf(cluster)), 5000);
    },
  },
  "while a node is partitioned from its peers": {
    injectFaults: (cluster, second) => {
      const node = cluster.nodes[(leaderIndexOf(cluster) + 1) % cluster.nodes.length];
      if (second === 40 && node) node.peersPartitionedUntil = cluster.now + 15_000;
    },
  },
  "during a rolling upgrade": { faultRates: { ...NO_FAULTS, upgrade: true } },
};

for (const [condition, scenario] of Object.entries(SCENARIOS)) {
  test(`a tenfold submission burst by one team ${condition}: the other team's jobs are accepted and finish in time, and there is no rule violation`, () => {
    for (let seed = 1; seed <= 2; seed++) {
      const { cluster, otherTeamJobs } = simulateBurst(seed, scenario);
      assert.deepEqual(cluster.violations, [], `seed ${seed}`);
      assert.ok(otherTeamJobs.length >= 25);
      for (const { spec, acceptedAt, finishedAt } of otherTeamJobs) {
        assert.ok(acceptedAt !== null, `seed ${seed}: ${spec.uid} has not been accepted`);
        assert.ok(finishedAt !== null, `seed ${seed}: ${spec.uid} has not finished`);
        // The time until the start, and 30 s to run.
        assert.ok(
          finishedAt - acceptedAt <= (MAX_START_DELAY_S + 30) * 1000,
          `${spec.uid}: finished ${finishedAt - acceptedAt} ms after its acceptance`,
        );
      }
      const delayed = cluster.users.rejected.filter(
        ({ team, retryAfterS }) => team === "blue" && retryAfterS !== null,
      );
      const excessiveDelays = delayed.filter(({ retryAfterS }) => (retryAfterS ?? 0) > MAX_RETRY_AFTER_S);
      if (condition === "with no other fault") assert.deepEqual(excessiveDelays, [], `seed ${seed}`);
      assert.ok(
        cluster.users.rejected.some(({ team }) => team === "red"),
        "submissions of the bursting team are throttled",
      );
    }
  });
}
