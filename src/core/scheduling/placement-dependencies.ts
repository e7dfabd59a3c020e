import type { Context } from "../context.js";
import type { FeasibleMachines } from "./feasible-machines.js";
import type { MachineScoring } from "./machine-scoring.js";
import type { NegativeFitCache } from "./negative-fit-cache.js";
import type { Preemption } from "./preemption.js";
import type { TaskPlacer } from "./task-placer.js";

/** The components shared by the gang scheduler and the task scheduler. */
export interface PlacementDependencies {
  readonly ctx: Context;
  readonly feasibleMachines: FeasibleMachines;
  readonly scoring: MachineScoring;
  readonly negativeFits: NegativeFitCache;
  readonly preemption: Preemption;
  readonly placer: TaskPlacer;
}
