/** Retry reservations: a throttled submission is accepted when it is retried after its retry-after. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { AdmissionCluster } from "./support/admission-cluster.js";
import { NODES } from "./support/deployment.js";

test("a throttled submission that is retried after its retry-after is accepted at any node, before new submissions", () => {
  const cluster = new AdmissionCluster({ admission_rate: 12 });
  cluster.heartbeatRounds(5);
  const retriesDueAt = new Map<number, string[]>();
  let uid = 0;
  let [acceptedOnRetry, refusedAgain, acceptedEarly] = [0, 0, 0];
  for (let second = 0; second < 60; second++) {
    cluster.heartbeatRound();
    for (const [nodeIndex, { name }] of cluster.nodes.entries()) {
      for (let i = 0; i < 10; i++) {
        const id = `j-1${++uid}`;
        const decision = cluster.node(name).admission.decide(id, "red");
        if (decision.kind === "admit") continue;

        assert.ok(decision.retryAfterS >= 1 && decision.retryAfterS <= 30);

        const repeatedDecision = cluster.node(name).admission.decide(id, "red");
        if (repeatedDecision.kind === "wait")
          assert.ok(
            repeatedDecision.retryAfterS <= decision.retryAfterS,
            "repeating a submission never lengthens its retry-after",
          );
        else acceptedEarly++;
        if (decision.retryAfterS < 30) {
          const due = second + decision.retryAfterS + 1;
          retriesDueAt.set(due, [...(retriesDueAt.get(due) ?? []), id]);
        }
      }
      // Each retry goes to a node other than the one that refused it.
      const due = retriesDueAt.get(second)?.filter((_, i) => i % NODES.length === nodeIndex) ?? [];
      for (const id of due) {
        if (cluster.node(name).admission.decide(id, "red").kind === "admit") acceptedOnRetry++;
        else refusedAgain++;
      }
    }
  }

  assert.equal(acceptedEarly, 0);
  assert.ok(
    acceptedOnRetry > 100,
    `${acceptedOnRetry} were accepted on their retry, ${refusedAgain} were refused again`,
  );
  assert.equal(refusedAgain, 0);
});
