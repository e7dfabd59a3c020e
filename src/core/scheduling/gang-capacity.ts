import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import { type Machine, mayRunOn } from "../model/machine.js";
import { countFitting } from "../model/resources.js";
import { maxTasksPerZone } from "./zone-spread.js";

/** Tells whether all tasks of a gang would fit at the same time if every machine that may take them were empty. */
export class GangCapacity {
  readonly #cluster: ClusterState;
  /** Results of this round, by everything that they depend on. */
  readonly #results = new Map<string, boolean>();

  constructor(cluster: ClusterState) {
    this.#cluster = cluster;
  }

  /** Forgets the results of the last round: machines may have been added or removed. */
  beginRound(): void {
    this.#results.clear();
  }

  /** True if the gang could be placed once enough of the present and booting machines are free. */
  mayEverFit(job: Job): boolean {
    const key = demandKey(job);
    let result = this.#results.get(key);
    if (result === undefined) {
      result = this.#fits(job);
      this.#results.set(key, result);
    }
    return result;
  }

  #fits(job: Job): boolean {
    const { need, tasks, oneZone } = job.spec;
    const slotsByZone = new Map<string, number>();
    for (const machine of this.#cluster.machines.values()) {
      if (!machine.type || !isUsable(machine) || !mayRunOn(job.spec, machine)) continue;
      const slots = (slotsByZone.get(machine.zone) ?? 0) + countFitting(need, machine.type.size);
      slotsByZone.set(machine.zone, Math.min(slots, maxTasksPerZone(job.spec)));
    }
    const slots = [...slotsByZone.values()];
    return (oneZone ? Math.max(0, ...slots) : slots.reduce((sum, count) => sum + count, 0)) >= tasks;
  }
}

/** True if the machine takes tasks, or is likely to once it has booted or can be reached again. */
function isUsable({ phase, isLeaseExpired, mode, ejection, reclaimDueAt }: Machine): boolean {
  return phase !== "releasing" && !isLeaseExpired && mode === "open" && !ejection && reclaimDueAt === null;
}

function demandKey({ spec }: Job): string {
  const { types, zone, spot, need, tasks, oneZone, spread } = spec;
  return [
    types?.join() ?? "*",
    zone ?? "*",
    spot,
    need.cpu,
    need.gpu,
    need.ram,
    tasks,
    oneZone,
    spread,
  ].join();
}
