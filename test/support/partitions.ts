/** Nodes that cannot reach the store, and changes of settings by operators. */

import assert from "node:assert/strict";
import type { ControllerHarness } from "./controller-harness.js";

/** Cuts a node off from the store. It receives nothing from its peers either, as tests deliver these messages. */
export function partitionFromStore(harness: ControllerHarness): void {
  harness.storeRule = () => ({ kind: "unavailable", reason: "network partition" });
}

/** Changes operator settings at a node, which must confirm the change. */
export function changeSettings(harness: ControllerHarness, values: Record<string, unknown>): void {
  assert.equal(harness.admin({ kind: "changeSettings", values })?.kind, "ok");
}
