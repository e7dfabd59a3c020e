import type { Heartbeat } from "../../src/core/messages/agents.js";
import type { ControllerNode } from "./controllers.js";
import type { AgentTask, SimulatedMachine } from "./machines.js";

/**
 * A heartbeat as sent by an agent. Controllers forward it as an opaque body; any controller may decode it later, using
 * its own job and machine indices.
 */
export class SentHeartbeat {
  readonly #fields: Omit<Heartbeat, "machine" | "tasks">;
  readonly #machineName: string;
  readonly #tasks: readonly AgentTask[];

  constructor(machine: SimulatedMachine, now: number) {
    const { name, type, zone, spot, incarnation, sequence, fencingToken, reclaimAt } = machine;
    this.#machineName = name;
    this.#tasks = machine.tasks.map((task) => ({ ...task }));
    this.#fields = {
      address: `${name}:1`,
      type: type.name,
      zone,
      spot,
      incarnation,
      sequence,
      fencingToken,
      interruptionNoticeS: reclaimAt === null ? null : Math.max(0, (reclaimAt - now) / 1000),
    };
  }

  /** Decodes the heartbeat with the indices of a node whose process is running. */
  decodeFor({ core }: ControllerNode): Heartbeat {
    if (!core) throw new Error("cannot decode a heartbeat for a node without a running controller");
    const tasks = this.#tasks.map(({ uid, task, attempt, state, exitReason, saved }) => ({
      job: core.names.jobs.intern(uid),
      task,
      attempt,
      state,
      exitReason,
      saved,
    }));
    return { ...this.#fields, machine: core.names.machines.intern(this.#machineName), tasks };
  }
}
