import assert from "node:assert/strict";
import { test } from "node:test";
import { type FaultRates, NO_FAULTS } from "./model/fault-rates.js";
import type { SubmittedJob } from "./model/jobs.js";
import { ModelCluster } from "./model/model-cluster.js";
import { jobSpec } from "./support/controller-harness.js";

const QUIET_S = 20;
const BURST_S = 60;
const AFTER_S = 90;
/** Each team submits a job that often; the flooding one submits so many a second beside in the burst. */
const SUBMISSION_INTERVAL_S = 2;
const FLOOD_PER_S = 10;
/** The longest delay that the smaller team's users may be asked to keep, and the longest wait for its next task. */
const MAX_RETRY_AFTER_S = 3;
const MAX_START_DELAY_S = 60;

/** What happens beside the burst. */
interface Circumstances {
  readonly trouble?: FaultRates;
  readonly meanwhile?: (cluster: ModelCluster, second: number) => void;
}

interface Day {
  readonly cluster: ModelCluster;
  /** Jobs of the team that does not flood, submitted in the burst. */
  readonly others: SubmittedJob[];
}

/** One team submits ten times what both do in quiet. */
function playBurst(seed: number, { trouble, meanwhile }: Circumstances): Day {
  const cluster = new ModelCluster({ seed, faultRates: trouble, admission: true });
  const others: SubmittedJob[] = [];
  let nextJob = 1;
  const submit = (team: string) => {
    const uid = `j-${nextJob++}`;
    cluster.users.submit(jobSpec(uid, { team, jobClass: team, tasks: 2, estimateS: 4 }));
    return uid;
  };
  for (let second = 1; second <= QUIET_S + BURST_S + AFTER_S; second++) {
    cluster.run(second * 1000);
    const isBurst = second > QUIET_S && second <= QUIET_S + BURST_S;
    if (second <= QUIET_S + BURST_S && second % SUBMISSION_INTERVAL_S === 0) {
      const uid = submit("blue");
      const job = cluster.jobs.get(uid);
      if (isBurst && job) others.push(job);
      submit("red");
    }
    if (isBurst) for (let i = 0; i < FLOOD_PER_S; i++) submit("red");
    meanwhile?.(cluster, second);
  }
  return { cluster, others };
}

function leaderOf(cluster: ModelCluster): number {
  return cluster.controllers.leader?.index ?? -1;
}

const CIRCUMSTANCES: Record<string, Circumstances> = {
  "with no other fault": {},
  "while the leader crashes": {
    meanwhile: (cluster, second) => {
      if (second === 40 || second === 60) cluster.controllers.crash(Math.max(0, leaderOf(cluster)), 5000);
    },
  },
  "while a node is partitioned from its peers": {
    meanwhile: (cluster, second) => {
      const node = cluster.nodes[(leaderOf(cluster) + 1) % cluster.nodes.length];
      if (second === 40 && node) node.peersPartitionedUntil = cluster.now + 15_000;
    },
  },
  "during a rolling upgrade": { trouble: { ...NO_FAULTS, upgrade: true } },
};

for (const [what, circumstances] of Object.entries(CIRCUMSTANCES)) {
  test(`a tenfold burst by one team ${what}: the other team's jobs are accepted and start in time, and no rule is broken`, () => {
    for (let seed = 1; seed <= 2; seed++) {
      const { cluster, others } = playBurst(seed, circumstances);
      assert.deepEqual(cluster.violations, [], `seed ${seed}`);
      assert.ok(others.length >= 25);
      for (const { spec, acceptedAt, finishedAt } of others) {
        assert.ok(acceptedAt !== null, `seed ${seed}: ${spec.uid} is not accepted`);
        assert.ok(finishedAt !== null, `seed ${seed}: ${spec.uid} is not done`);
        assert.ok(
          finishedAt - acceptedAt <= (MAX_START_DELAY_S + 30) * 1000,
          `${spec.uid}: ${finishedAt - acceptedAt} ms`,
        );
      }
      const delayed = cluster.users.rejected.filter(
        ({ team, retryAfterS }) => team === "blue" && retryAfterS !== null,
      );
      const late = delayed.filter(({ retryAfterS }) => (retryAfterS ?? 0) > MAX_RETRY_AFTER_S);
      if (what === "with no other fault") assert.deepEqual(late, [], `seed ${seed}`);
      assert.ok(
        cluster.users.rejected.some(({ team }) => team === "red"),
        "the flood is throttled",
      );
    }
  });
}
