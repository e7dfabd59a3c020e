import assert from "node:assert/strict";
import type { ControllerHarness, TaskStatus } from "./controller-harness.js";

/** Workers that do at once what they are told, by machine: what each reports. */

export function carryOutCommands(
  b: ControllerHarness,
  held: Map<string, TaskStatus[]>,
  more: Record<string, object> = {},
): void {
  for (let round = 0; round < 12; round++) {
    for (const { machine, commands: orders } of b.sentCommands.splice(0)) {
      const list = held.get(machine) ?? [];
      for (const o of orders) {
        const at = list.findIndex((s) => s.uid === o.uid && s.task === o.task && s.attempt === o.attempt);
        if (o.kind === "start" && at < 0)
          list.push({ uid: o.uid, task: o.task, attempt: o.attempt, state: "running" });
        if (o.kind === "stop" && at >= 0)
          list[at] = { ...(list[at] as TaskStatus), state: "ended", cause: "stopped" };
      }
      held.set(machine, list);
    }
    for (const name of held.keys()) b.replyToCommands(name, held.get(name) ?? [], more[name] ?? {});
    b.advance(100);
  }
}

export function sendHeartbeatsFor(
  b: ControllerHarness,
  held: Map<string, TaskStatus[]>,
  more: Record<string, object>,
  seconds: number,
): void {
  for (let s = 0; s < seconds; s++) {
    for (const name of held.keys()) b.sendHeartbeat(name, held.get(name) ?? [], more[name] ?? {});
    b.advance(1000);
    settleOnce(b, held, more);
  }
}

function settleOnce(
  b: ControllerHarness,
  held: Map<string, TaskStatus[]>,
  more: Record<string, object>,
): void {
  const before = b.now;
  carryOutCommands(b, held, more);
  assert.ok(b.now >= before);
}

export function liveTasks(held: Map<string, TaskStatus[]>, name: string, uid?: string): TaskStatus[] {
  return (held.get(name) ?? []).filter((s) => s.state !== "ended" && (uid === undefined || s.uid === uid));
}
