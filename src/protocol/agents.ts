import * as v from "valibot";
import type { AgentCommand, Heartbeat, HeartbeatReply, ReportedTask } from "../core/messages/agents.js";
import type { NameRegistry } from "../core/model/interner.js";
import type { ExitReason, TaskState } from "../core/model/job-spec.js";

/** Workers' reports and orders. Names become indices here, wire words the terms of the domain. */

const STATES: Record<string, TaskState> = {
  pulling: "fetching",
  waiting: "waiting",
  running: "running",
  saving: "saving",
  ended: "ended",
};
const CAUSES: Record<string, ExitReason> = {
  done: "done",
  stopped: "stopped",
  peers: "peers",
  incomplete: "incomplete",
  error: "error",
  no_room: "no_room",
  busy: "busy",
  unknown: "unknown",
};
const ORDER_WORDS = { start: "launch", stop: "stop", acknowledge: "clear" } as const;

// Integers may reach 2^64, beyond what a double holds exactly; ours stay far below, others' are only compared.
const whole = v.pipe(v.number(), v.minValue(0));
const text = v.pipe(v.string(), v.nonEmpty(), v.maxLength(300));

const reportSchema = v.object({
  host: text,
  address: v.pipe(v.string(), v.regex(/^[^\s:/]+:\d{1,5}$/)),
  rack: text,
  yard: text,
  loaners: v.boolean(),
  shift: whole,
  tally: whole,
  baton: whole,
  recall_s: v.nullish(v.number(), null),
  pieces: v.array(
    v.object({
      piece: text,
      try: whole,
      phase: v.picklist(["pulling", "waiting", "running", "saving", "ended"]),
      cause: v.nullish(v.string(), null),
      stored: v.nullish(v.boolean(), false),
    }),
  ),
});

/** Null for anything that is not a well-formed report. */
export function decodeHeartbeat(body: unknown, directory: NameRegistry): Heartbeat | null {
  const result = v.safeParse(reportSchema, body);
  if (!result.success) return null;
  const report = result.output;
  const tasks: ReportedTask[] = [];
  for (const entry of report.pieces) {
    const slash = entry.piece.lastIndexOf("/");
    const task = Number(entry.piece.slice(slash + 1));
    const state = STATES[entry.phase];
    if (slash <= 0 || !Number.isInteger(task) || task < 0 || state === undefined) return null;
    tasks.push({
      job: directory.jobs.intern(entry.piece.slice(0, slash)),
      task,
      attempt: entry.try,
      state,
      exitReason: entry.cause === null ? null : (CAUSES[entry.cause] ?? "error"),
      saved: entry.stored ?? false,
    });
  }
  return {
    machine: directory.machines.intern(report.host),
    address: report.address,
    type: report.rack,
    zone: report.yard,
    spot: report.loaners,
    incarnation: report.shift,
    sequence: report.tally,
    fencingToken: report.baton,
    reclaimNoticeS: report.recall_s,
    tasks,
  };
}

export function encodeAgentCommands(orders: readonly AgentCommand[], directory: NameRegistry): unknown[] {
  return orders.map((order) => {
    const piece = `${directory.jobs.name(order.job)}/${order.task}`;
    const base = { verb: ORDER_WORDS[order.kind], piece, try: order.attempt };
    return order.kind === "stop" ? { ...base, windup_s: order.graceS } : base;
  });
}

export function encodeCommandBatch(
  token: number,
  session: number,
  orders: readonly AgentCommand[],
  directory: NameRegistry,
): Record<string, unknown> {
  return { baton: token, shift: session, orders: encodeAgentCommands(orders, directory) };
}

export function encodeHeartbeatReply(
  answer: HeartbeatReply,
  directory: NameRegistry,
): { status: number; body: Record<string, unknown> } {
  switch (answer.kind) {
    case "commands":
      return {
        status: 200,
        body: { baton: answer.fencingToken, orders: encodeAgentCommands(answer.commands, directory) },
      };
    case "redirect":
      return { status: 421, body: answer.node === null ? {} : { steward: answer.node } };
    case "unavailable":
      return { status: 503, body: { error: "not the leader" } };
  }
}
