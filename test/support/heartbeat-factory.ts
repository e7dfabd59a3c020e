import type { Heartbeat, ReportedTask } from "../../src/core/messages/agents.js";
import type { NameRegistry } from "../../src/core/model/interner.js";

/** A task status for an agent's heartbeat. */
export interface TaskStatus {
  readonly uid: string;
  readonly task: number;
  readonly attempt: number;
  readonly state: ReportedTask["state"];
  readonly exitReason?: ReportedTask["exitReason"];
}

/** Creates agent heartbeats with consecutive sequence numbers per machine. */
export class HeartbeatFactory {
  readonly #names: NameRegistry;
  readonly #sequenceByMachine = new Map<string, number>();

  constructor(names: NameRegistry) {
    this.#names = names;
  }

  /** Creates a heartbeat of a small on-demand machine in zone a, with the given overrides. */
  make(
    machine: string,
    fencingToken: number,
    tasks: readonly TaskStatus[],
    overrides: Partial<Heartbeat>,
  ): Heartbeat {
    const sequence = (this.#sequenceByMachine.get(machine) ?? 0) + 1;
    this.#sequenceByMachine.set(machine, sequence);
    return {
      machine: this.#names.machines.intern(machine),
      address: `${machine}:1`,
      type: "small",
      zone: "a",
      spot: false,
      incarnation: 1,
      sequence,
      fencingToken,
      interruptionNoticeS: null,
      tasks: tasks.map(({ uid, task, attempt, state, exitReason }) => ({
        job: this.#names.jobs.intern(uid),
        task,
        attempt,
        state,
        exitReason: exitReason ?? null,
        saved: false,
      })),
      ...overrides,
    };
  }
}
