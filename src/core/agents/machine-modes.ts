import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import type { ConfigWatch } from "../store/config-watch.js";
import type { AgentManager } from "./agent-manager.js";
import { isFaulty } from "./failure-tracking.js";

/** Carries out what operators, failures and notices have set machines to. */
export class MachineModes {
  readonly #ctx: Context;
  readonly #view: ConfigWatch;
  readonly #tables: ClusterState;
  readonly #fleet: AgentManager;
  readonly #scheduler: Scheduler;

  constructor(
    ctx: Context,
    view: ConfigWatch,
    tables: ClusterState,
    fleet: AgentManager,
    scheduler: Scheduler,
  ) {
    this.#ctx = ctx;
    this.#view = view;
    this.#tables = tables;
    this.#fleet = fleet;
    this.#scheduler = scheduler;
  }

  /** Takes over what the operators have set machines to; those set aside for errors stay so. */
  apply(): void {
    for (const machine of this.#tables.machines.values()) {
      const mode = this.#view.machineModes[machine.name];
      if (mode) machine.mode = mode;
      else if (!isFaulty(machine)) machine.mode = "open";
    }
  }

  /** Machines about to be taken back or drained: what can save is stopped in time to do so. */
  drain(): void {
    const { now } = this.#ctx;
    for (const machine of this.#tables.machines.values()) {
      if (machine.phase !== "up" || machine.isLeaseExpired) continue;
      if (machine.reclaimedAt === null && machine.mode !== "drain") continue;
      for (const placement of [...machine.placements]) {
        const { spec } = placement.job;
        if (placement.stop || spec.shape === "service") continue;
        if (spec.checkpointS > 0)
          this.#scheduler.preemption.stopGracefully(placement, "its machine is going");
      }
      if (machine.reclaimedAt !== null || machine.mode === "drain") {
        for (const placement of [...machine.placements]) {
          if (placement.stop || placement.job.spec.shape !== "service") continue;
          if (now - placement.startSentAt > 30_000)
            this.#fleet.stopTask(placement, 0, "its machine is going");
        }
      }
    }
  }
}
