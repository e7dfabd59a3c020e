import type { Effect } from "../../src/core/messages/effects.js";
import type { ControllerNode } from "./controllers.js";
import type { Simulation } from "./simulation.js";

/** What the controllers log. */
export class ControllerLog {
  /** All lines but those for debugging, with time and node. */
  readonly lines: string[] = [];
  /** Where each new leader had its records from: `warm` if from its standby. */
  readonly takeoverSources: string[] = [];
  readonly #simulation: Simulation;

  constructor(simulation: Simulation) {
    this.#simulation = simulation;
  }

  /** Takes a line of a node. */
  record(node: ControllerNode, { level, text, data }: Extract<Effect, { kind: "log" }>): void {
    if (text === "leader ready") this.takeoverSources.push(node.core?.failover.takeover.source ?? "cold");
    if (level !== "debug")
      this.lines.push(`${this.#simulation.now} ${node.name} ${text} ${JSON.stringify(data)}`);
  }
}
