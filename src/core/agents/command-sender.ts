import type { Context } from "../context.js";
import type { AgentCommand } from "../messages/agents.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { Machine } from "../model/machine.js";
import type { CommandPlanner } from "./command-planner.js";

/** After a command batch without a reply, nothing is sent directly to the machine for this time. */
const COMMAND_RETRY_MS = 1500;
const NO_COMMANDS: readonly AgentCommand[] = [];

/**
 * Sends command batches directly to agents, for commands that cannot wait until the next heartbeat. At most one batch
 * per machine is in flight.
 */
export class CommandSender {
  readonly #ctx: Context;
  readonly #lease: LeaderLease;
  readonly #planner: CommandPlanner;
  /** The machine that each batch in flight was sent to, by batch number. */
  readonly #inFlight = new Map<number, Machine>();
  /** Machines whose due commands the next `sendQueued` sends. */
  readonly #queued = new Set<Machine>();

  constructor(ctx: Context, lease: LeaderLease, planner: CommandPlanner) {
    this.#ctx = ctx;
    this.#lease = lease;
    this.#planner = planner;
  }

  /** Queues a machine, so that the next `sendQueued` sends its due commands. */
  queue(machine: Machine): void {
    this.#queued.add(machine);
  }

  /** Sends the due commands of the queued machines. Machines with a batch in flight or in backoff stay queued. */
  sendQueued(): void {
    const { now } = this.#ctx;
    for (const machine of this.#queued) {
      if (machine.isCommandInFlight || now < machine.commandRetryAt) continue;
      this.#queued.delete(machine);
      if (machine.phase !== "up" || machine.incarnation === 0) continue;
      const commands = this.#planner.commandsFor(machine);
      if (commands.length > 0) this.#send(machine, machine.incarnation, commands);
    }
  }

  /** Sends an empty batch, which carries only the fencing token, even if the agent's incarnation is not known yet. */
  sendFencing(machine: Machine): void {
    this.#send(machine, Math.max(1, machine.incarnation), NO_COMMANDS);
  }

  /** Removes a batch from those in flight and returns its machine; null if the batch number is unknown. */
  removeInFlight(id: number): Machine | null {
    const machine = this.#inFlight.get(id);
    if (!machine) return null;
    this.#inFlight.delete(id);
    machine.isCommandInFlight = false;
    return machine;
  }

  /** Starts the backoff of a machine that did not reply. */
  delayRetry(machine: Machine): void {
    machine.commandRetryAt = this.#ctx.now + COMMAND_RETRY_MS;
  }

  #send(machine: Machine, incarnation: number, commands: readonly AgentCommand[]): void {
    const id = this.#ctx.nextId();
    machine.isCommandInFlight = true;
    this.#inFlight.set(id, machine);
    this.#ctx.emit({
      kind: "sendAgentCommands",
      id,
      machine: machine.index,
      address: machine.address,
      fencingToken: this.#lease.fencingToken,
      incarnation,
      commands,
    });
  }
}
