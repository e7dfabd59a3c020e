/** The admission policy out of operators' settings and the deployment. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { policyOf } from "../src/admission/policy.js";
import { defaultOperator } from "../src/config/operator.js";
import { deployment } from "./support/deployment.js";

test("admission weights default to guaranteed quotas, and the admission rate to the smaller write limit of the store", () => {
  const { teams, rate } = policyOf({ ...defaultOperator, admission_weights: { blue: 5 } }, deployment("n0"));
  assert.deepEqual(
    teams.map(({ name, weight }) => [name, weight]),
    [
      ["red", 16_000],
      ["blue", 5],
    ],
  );
  assert.equal(rate, 70 / 8);
  assert.equal(policyOf({ ...defaultOperator, admission_rate: 3 }, deployment("n0")).rate, 3);
});
