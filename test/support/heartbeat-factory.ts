import type { Heartbeat, ReportedTask } from "../../src/core/messages/agents.js";
import type { NameRegistry } from "../../src/core/model/interner.js";

/** A task as a test has an agent report it. */
export interface TaskStatus {
  readonly uid: string;
  readonly task: number;
  readonly attempt: number;
  readonly state: ReportedTask["state"];
  readonly exitReason?: ReportedTask["exitReason"];
}

/** Makes the heartbeats of agents, each with the next sequence number of its machine. */
export class HeartbeatFactory {
  readonly #names: NameRegistry;
  readonly #sequenceByMachine = new Map<string, number>();

  constructor(names: NameRegistry) {
    this.#names = names;
  }

  /** A heartbeat of a small on-demand machine in zone a, apart from the fields given. */
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
      tasks: tasks.map(({ uid, task, attempt, state, exitReason: cause }) => ({
        job: this.#names.jobs.intern(uid),
        task,
        attempt,
        state,
        exitReason: cause ?? null,
        saved: false,
      })),
      ...overrides,
    };
  }
}
