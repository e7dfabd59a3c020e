/** Computation of the admission policy from the operator settings and the deployment. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { policyOf } from "../src/admission/policy.js";
import { defaultOperatorSettings } from "../src/config/operator.js";
import { deployment } from "./support/deployment.js";

test("unless they are set, admission weights equal the guaranteed quotas and the admission rate is derived from the smaller write limit of the store", () => {
  const { teams, ratePerS } = policyOf(
    { ...defaultOperatorSettings, admission_weights: { blue: 5 } },
    deployment("n0"),
  );
  assert.deepEqual(
    teams.map(({ name, weight }) => [name, weight]),
    [
      ["red", 16_000],
      ["blue", 5],
    ],
  );
  // The store will allow 70 writes per second, of which a job is budgeted 8.
  assert.equal(ratePerS, 70 / 8);
  assert.equal(policyOf({ ...defaultOperatorSettings, admission_rate: 3 }, deployment("n0")).ratePerS, 3);
});
