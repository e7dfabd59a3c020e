import type { Effect } from "../../src/core/messages/effects.js";
import type { ControllerNode } from "./controllers.js";
import type { Simulation } from "./simulation.js";

/** Log output of the controllers. */
export class ControllerLog {
  /** All lines above debug level, with time and node. */
  readonly lines: string[] = [];
  /** Where each new leader loaded its records from: `warm` if from its standby cache. */
  readonly takeoverSources: string[] = [];
  readonly #simulation: Simulation;

  constructor(simulation: Simulation) {
    this.#simulation = simulation;
  }

  /** Records a log line of a node. */
  record(node: ControllerNode, { level, text, data }: Extract<Effect, { kind: "log" }>): void {
    if (text === "leader ready") this.takeoverSources.push(node.core?.failover.takeover.source ?? "cold");
    if (level !== "debug")
      this.lines.push(`${this.#simulation.now} ${node.name} ${text} ${JSON.stringify(data)}`);
  }
}
