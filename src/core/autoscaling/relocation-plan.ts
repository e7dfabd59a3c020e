import type { ClusterState } from "../model/cluster-state.js";
import { type Machine, mayRunOn } from "../model/machine.js";
import type { Placement } from "../model/placement.js";
import { add, fits, type Resources } from "../model/resources.js";
import type { FeasibleMachines } from "../scheduling/feasible-machines.js";
import { zonesAllowMove } from "../scheduling/zone-spread.js";

/** Finds room on other machines for tasks that are to leave theirs, so that no more are evicted than can run elsewhere. */
export class RelocationPlan {
  readonly #feasibleMachines: FeasibleMachines;
  /** Free capacity that is not reserved, by schedulable machine. */
  readonly #free = new Map<Machine, Resources>();

  constructor(cluster: ClusterState, feasibleMachines: FeasibleMachines) {
    this.#feasibleMachines = feasibleMachines;
    for (const machine of cluster.machines.values())
      if (feasibleMachines.isSchedulable(machine)) this.#free.set(machine, machine.freeCapacity());
  }

  /** Reserves room for the task on another machine; returns false if there is none. */
  reserve({ job, machine }: Placement): boolean {
    const { need } = job.spec;
    for (const [target, free] of this.#free) {
      if (target === machine || !fits(need, free) || !mayRunOn(job.spec, target)) continue;
      if (!zonesAllowMove(job, machine, target)) continue;
      if (this.#feasibleMachines.wouldWasteGpus(job, target)) continue;
      this.#free.set(target, add(free, need, -1));
      return true;
    }
    return false;
  }
}
