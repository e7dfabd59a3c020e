import * as v from "valibot";
import type { AgentCommand, Heartbeat, HeartbeatReply, ReportedTask } from "../core/messages/agents.js";
import type { NameRegistry } from "../core/model/interner.js";
import type { ExitReason, TaskState } from "../core/model/job-spec.js";
import type { HttpRequest } from "./http.js";

/** Decodes heartbeats of agents and encodes commands to them. Maps wire terms to internal ones and names to indices. */

/** Path to which agents post heartbeats. */
export const HEARTBEAT_PATH = "/agent/beat";
const COMMAND_PATH = "/do";
const EXECUTED = 200;
/** The agent refused the batch for its fencing token or incarnation, and executed none of it. */
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

// Integers may reach 2^64, beyond a double's exact range. Those set by this system stay far below; others are only
// compared.
const nonNegative = v.pipe(v.number(), v.minValue(0));
const text = v.pipe(v.string(), v.nonEmpty(), v.maxLength(300));

const taskSchema = v.object({
  piece: text,
  try: nonNegative,
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
  shift: nonNegative,
  tally: nonNegative,
  baton: nonNegative,
  recall_s: v.nullish(v.number(), null),
  pieces: v.array(taskSchema),
});

/** Decodes a heartbeat; returns null if it is malformed. */
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

/** Decodes a reported task, named `<job>/<number>` on the wire; returns null if it is malformed. */
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
    // Unknown reasons, from a later version, count as errors.
    exitReason: wire.cause === null ? null : (EXIT_REASONS[wire.cause] ?? "error"),
    saved: wire.stored,
  };
}

/** Encodes commands to an agent. */
export function encodeAgentCommands(commands: readonly AgentCommand[], names: NameRegistry): unknown[] {
  return commands.map((command) => {
    const piece = `${names.jobs.nameOf(command.job)}/${command.task}`;
    const base = { verb: COMMAND_VERBS[command.kind], piece, try: command.attempt };
    return command.kind === "stop" ? { ...base, windup_s: command.graceS } : base;
  });
}

/** Encodes a command batch for one incarnation of an agent, with a fencing token. */
export function encodeCommandBatch(
  fencingToken: number,
  incarnation: number,
  commands: readonly AgentCommand[],
  names: NameRegistry,
): Record<string, unknown> {
  return { baton: fencingToken, shift: incarnation, orders: encodeAgentCommands(commands, names) };
}

/** Commands to an agent with the sender's fencing token and the agent's incarnation. */
export interface CommandBatch {
  readonly fencingToken: number;
  readonly incarnation: number;
  readonly commands: readonly AgentCommand[];
}

/** Encodes the request that sends a command batch directly to an agent. */
export function encodeCommandRequest(batch: CommandBatch, names: NameRegistry): HttpRequest {
  const { fencingToken, incarnation, commands } = batch;
  const body = encodeCommandBatch(fencingToken, incarnation, commands, names);
  return { method: "POST", path: COMMAND_PATH, body };
}

/** An agent's reply to a command batch. */
export interface CommandReply {
  /** Null if the reply is malformed. */
  readonly heartbeat: Heartbeat | null;
  /** True if the batch was executed. */
  readonly executed: boolean;
}

/** Decodes an agent's reply to a command batch. It contains a heartbeat whether or not the batch was executed. */
export function decodeCommandReply(status: number, body: unknown, names: NameRegistry): CommandReply {
  if (status !== EXECUTED && status !== REFUSED) return { heartbeat: null, executed: false };
  return { heartbeat: decodeHeartbeat(body, names), executed: status === EXECUTED };
}

/** Encodes a reply to a heartbeat. */
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
