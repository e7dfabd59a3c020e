import type { AgentManager } from "../agents/agent-manager.js";
import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Machine } from "../model/machine.js";
import type { RecordWriter } from "../store/record-writer.js";
import { SPARE_REASONS } from "./termination-rules.js";

const MAX_MACHINES_PER_REQUEST = 100;
const RETRY_DELAY_MS = 3000;

/**
 * Terminates the machines marked for termination, with one request at a time. A request without a response is retried, as
 * it may have been executed. One that the cloud refuses returns machines that are only not needed to use; those that are
 * lost or faulty stay marked.
 */
export class MachineTerminator {
  readonly #ctx: Context;
  readonly #cluster: ClusterState;
  readonly #agents: AgentManager;
  readonly #recordWriter: RecordWriter;
  #isRequestInFlight = false;

  constructor(ctx: Context, cluster: ClusterState, agents: AgentManager, recordWriter: RecordWriter) {
    this.#ctx = ctx;
    this.#cluster = cluster;
    this.#agents = agents;
    this.#recordWriter = recordWriter;
  }

  /** Requests termination of the next marked machines, unless a request is in flight. */
  tick(): void {
    if (this.#isRequestInFlight) return;
    const due = this.#dueMachines();
    if (due.length === 0) return;
    this.#isRequestInFlight = true;
    this.#ctx.callCloud({ kind: "delete", machines: due.map(({ name }) => name) }, (response) => {
      this.#isRequestInFlight = false;
      for (const machine of due) {
        if (response.kind === "deleted") this.#onTerminated(machine);
        else machine.terminationRetryAt = this.#ctx.now + RETRY_DELAY_MS;
        if (response.kind === "unavailable" || response.kind === "throttled") returnToUse(machine);
      }
    });
  }

  #dueMachines(): Machine[] {
    const { now } = this.#ctx;
    const due: Machine[] = [];
    for (const machine of this.#cluster.machines.values()) {
      if (due.length === MAX_MACHINES_PER_REQUEST) break;
      if (machine.phase === "releasing" && now >= machine.terminationRetryAt) due.push(machine);
    }
    return due;
  }

  /** Removes a terminated machine. The cloud's confirmation proves that all of its tasks have ended (I3). */
  #onTerminated(machine: Machine): void {
    this.#ctx.log("info", "machine terminated", { machine: machine.name, reason: machine.terminationReason });
    this.#agents.expireMachine(machine, "terminated");
    this.#cluster.terminatedMachines.set(machine.name, this.#ctx.now);
    this.#recordWriter.machineRecords.onMachineTerminated(machine);
    this.#cluster.removeMachine(machine);
  }
}

/** Returns a sound machine whose termination was refused to use: jobs may need it while the cloud is unavailable. */
function returnToUse(machine: Machine): void {
  if (machine.terminationReason === null || !SPARE_REASONS.has(machine.terminationReason)) return;
  machine.phase = "up";
  machine.terminationReason = null;
}
