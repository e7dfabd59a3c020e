import type { Context } from "../context.js";
import type { AgentCommand } from "../messages/agents.js";
import type { LeaderLease } from "../model/leader-lease.js";
import type { Machine } from "../model/machine.js";
import type { CommandPlanner } from "./command-planner.js";

/** After a batch without a reply the machine is sent nothing directly for this long. */
const COMMAND_RETRY_MS = 1500;
const NO_COMMANDS: readonly AgentCommand[] = [];

/**
 * Sends command batches directly to agents, for what can't wait until their next heartbeat. At most one batch a machine
 * is in flight.
 */
export class CommandSender {
  readonly #ctx: Context;
  readonly #lease: LeaderLease;
  readonly #planner: CommandPlanner;
  /** Batches in flight, by their number. */
  readonly #inFlight = new Map<number, Machine>();
  /** Machines with commands to send at the end of this batch. */
  readonly #queued = new Set<Machine>();

  constructor(ctx: Context, lease: LeaderLease, planner: CommandPlanner) {
    this.#ctx = ctx;
    this.#lease = lease;
    this.#planner = planner;
  }

  /** Has the commands due for a machine sent by the next `sendQueued`. */
  queue(machine: Machine): void {
    this.#queued.add(machine);
  }

  /** Sends what is due for the machines queued; those with a batch in flight, or in back-off, stay queued. */
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

  /** Sends an empty batch, which carries nothing but the fencing token; also where no incarnation is known yet. */
  sendFencing(machine: Machine): void {
    this.#send(machine, Math.max(1, machine.incarnation), NO_COMMANDS);
  }

  /** The machine that a batch was sent to, which is now no longer in flight; null if the number is unknown. */
  takeInFlight(id: number): Machine | null {
    const machine = this.#inFlight.get(id);
    if (!machine) return null;
    this.#inFlight.delete(id);
    machine.isCommandInFlight = false;
    return machine;
  }

  /** Puts a machine that did not reply into back-off. */
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
