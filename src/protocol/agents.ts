import * as v from "valibot";
import type { AgentCommand, Heartbeat, HeartbeatReply, ReportedTask } from "../core/messages/agents.js";
import type { NameRegistry } from "../core/model/interner.js";
import type { ExitReason, TaskState } from "../core/model/job-spec.js";
import type { HttpRequest } from "./http.js";

/** Agents' heartbeats and the commands to them. Names become indices here, words of the wire the terms of the domain. */

/** Where agents post their heartbeats. */
export const HEARTBEAT_PATH = "/agent/beat";
const COMMAND_PATH = "/do";
const EXECUTED = 200;
/** The batch was refused for its fencing token or its incarnation: nothing of it was executed. */
const REFUSED = 409;

const TASK_STATES: Record<string, TaskState> = {
  pulling: "fetching",
  waiting: "waiting",
  running: "running",
  saving: "saving",
  ended: "ended",
};
const EXIT_REASONS: Record<string, ExitReason> = {
  done: "done",
  stopped: "stopped",
  peers: "peers",
  incomplete: "incomplete",
  error: "error",
  no_room: "no_room",
  busy: "busy",
  unknown: "unknown",
};
const COMMAND_VERBS = { start: "launch", stop: "stop", acknowledge: "clear" } as const;

// Integers may reach 2^64, beyond what a double represents exactly; ours stay far below, others' are only compared.
const whole = v.pipe(v.number(), v.minValue(0));
const text = v.pipe(v.string(), v.nonEmpty(), v.maxLength(300));

const taskSchema = v.object({
  piece: text,
  try: whole,
  phase: v.picklist(["pulling", "waiting", "running", "saving", "ended"]),
  cause: v.nullish(v.string(), null),
  stored: v.nullish(v.boolean(), false),
});
const heartbeatSchema = v.object({
  host: text,
  address: v.pipe(v.string(), v.regex(/^[^\s:/]+:\d{1,5}$/)),
  rack: text,
  yard: text,
  loaners: v.boolean(),
  shift: whole,
  tally: whole,
  baton: whole,
  recall_s: v.nullish(v.number(), null),
  pieces: v.array(taskSchema),
});

/** A heartbeat; null for anything that is not a well-formed one. */
export function decodeHeartbeat(body: unknown, names: NameRegistry): Heartbeat | null {
  const result = v.safeParse(heartbeatSchema, body);
  if (!result.success) return null;
  const wire = result.output;
  const tasks: ReportedTask[] = [];
  for (const entry of wire.pieces) {
    const task = decodeTask(entry, names);
    if (task === null) return null;
    tasks.push(task);
  }
  return {
    machine: names.machines.intern(wire.host),
    address: wire.address,
    type: wire.rack,
    zone: wire.yard,
    spot: wire.loaners,
    incarnation: wire.shift,
    sequence: wire.tally,
    fencingToken: wire.baton,
    interruptionNoticeS: wire.recall_s,
    tasks,
  };
}

/** A task is named by its job and its number, with a slash in between; null if it isn't. */
function decodeTask(wire: v.InferOutput<typeof taskSchema>, names: NameRegistry): ReportedTask | null {
  const slash = wire.piece.lastIndexOf("/");
  const task = Number(wire.piece.slice(slash + 1));
  const state = TASK_STATES[wire.phase];
  if (slash <= 0 || !Number.isInteger(task) || task < 0 || state === undefined) return null;
  return {
    job: names.jobs.intern(wire.piece.slice(0, slash)),
    task,
    attempt: wire.try,
    state,
    // A later version's reason counts as an error.
    exitReason: wire.cause === null ? null : (EXIT_REASONS[wire.cause] ?? "error"),
    saved: wire.stored,
  };
}

/** The wire form of commands to an agent. */
export function encodeAgentCommands(commands: readonly AgentCommand[], names: NameRegistry): unknown[] {
  return commands.map((command) => {
    const piece = `${names.jobs.nameOf(command.job)}/${command.task}`;
    const base = { verb: COMMAND_VERBS[command.kind], piece, try: command.attempt };
    return command.kind === "stop" ? { ...base, windup_s: command.graceS } : base;
  });
}

/** The wire form of a command batch, for one incarnation of an agent under a fencing token. */
export function encodeCommandBatch(
  fencingToken: number,
  incarnation: number,
  commands: readonly AgentCommand[],
  names: NameRegistry,
): Record<string, unknown> {
  return { baton: fencingToken, shift: incarnation, orders: encodeAgentCommands(commands, names) };
}

/** A command batch with what it is sent under. */
export interface CommandBatch {
  readonly fencingToken: number;
  readonly incarnation: number;
  readonly commands: readonly AgentCommand[];
}

/** The request by which a command batch is sent to an agent directly. */
export function encodeCommandRequest(batch: CommandBatch, names: NameRegistry): HttpRequest {
  const { fencingToken, incarnation, commands } = batch;
  const body = encodeCommandBatch(fencingToken, incarnation, commands, names);
  return { method: "POST", path: COMMAND_PATH, body };
}

/** An agent's reply to a command batch. */
export interface CommandReply {
  /** Null if the reply can't be read. */
  readonly heartbeat: Heartbeat | null;
  /** Whether the batch was executed. */
  readonly executed: boolean;
}

/** Reads an agent's reply to a command batch: a heartbeat, whether or not the batch was executed. */
export function decodeCommandReply(status: number, body: unknown, names: NameRegistry): CommandReply {
  if (status !== EXECUTED && status !== REFUSED) return { heartbeat: null, executed: false };
  return { heartbeat: decodeHeartbeat(body, names), executed: status === EXECUTED };
}

/** The wire form of a reply to a heartbeat. */
export function encodeHeartbeatReply(
  reply: HeartbeatReply,
  names: NameRegistry,
): { status: number; body: Record<string, unknown> } {
  switch (reply.kind) {
    case "commands":
      return {
        status: 200,
        body: { baton: reply.fencingToken, orders: encodeAgentCommands(reply.commands, names) },
      };
    case "redirect":
      return { status: 421, body: reply.node === null ? {} : { steward: reply.node } };
    case "unavailable":
      return { status: 503, body: { error: "not the leader" } };
  }
}
