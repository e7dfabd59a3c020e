import assert from "node:assert/strict";
import type { ControllerHarness } from "./controller-harness.js";

/** A machine in the operators' status page of a leader. */
export interface MachineStatus {
  readonly name: string;
  readonly mode: string;
  readonly excluded: string | null;
}

/** Returns the machines of the leader's status page. */
export function machineStatuses(harness: ControllerHarness): readonly MachineStatus[] {
  return (harness.controller.status() as { machines?: readonly MachineStatus[] }).machines ?? [];
}

/** Returns why no task may be placed on a machine according to the leader's status page. */
export function exclusionOf(harness: ControllerHarness, name: string): string | null {
  const machine = machineStatuses(harness).find((status) => status.name === name);
  return (machine ?? assert.fail(`no machine ${name}`)).excluded;
}
