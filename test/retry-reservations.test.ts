/** Retry reservations: the time that a refused submission is given is kept. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { AdmissionCluster } from "./support/admission-cluster.js";
import { NODES } from "./support/deployment.js";

test("a throttled submission that is retried after its retry-after is accepted at any node, before newcomers", () => {
  const cluster = new AdmissionCluster({ admission_rate: 12 });
  cluster.heartbeatRounds(5);
  const returningAt = new Map<number, string[]>();
  let uid = 0;
  let [acceptedOnReturn, refusedAgain, acceptedEarly] = [0, 0, 0];
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
            "a repeated submission has the same retry-after",
          );
        else acceptedEarly++;
        if (decision.retryAfterS < 30) {
          const due = second + decision.retryAfterS + 1;
          returningAt.set(due, [...(returningAt.get(due) ?? []), id]);
        }
      }
      // Each retry goes to another node than the one that refused it.
      const due = returningAt.get(second)?.filter((_, i) => i % NODES.length === nodeIndex) ?? [];
      for (const id of due) {
        if (cluster.node(name).admission.decide(id, "red").kind === "admit") acceptedOnReturn++;
        else refusedAgain++;
      }
    }
  }

  assert.equal(acceptedEarly, 0);
  assert.ok(
    acceptedOnReturn > 100,
    `${acceptedOnReturn} were accepted on their retry, ${refusedAgain} were refused again`,
  );
  assert.equal(refusedAgain, 0);
});
