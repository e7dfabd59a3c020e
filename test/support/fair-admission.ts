/** Helpers for tests of fair admission. */

import { ControllerHarness } from "./controller-harness.js";
import { FakeStore } from "./fake-store.js";

/** Creates a leader with fair admission enabled. */
export function leaderWithFairAdmission(store = new FakeStore()): ControllerHarness {
  return new ControllerHarness("n0", store, { admission: true }).becomeLeader();
}
