import assert from "node:assert/strict";
import type { Bench, Said } from "./controller-harness.js";

/** Workers that do at once what they are told, by machine: what each reports. */

export function settle(b: Bench, held: Map<string, Said[]>, more: Record<string, object> = {}): void {
  for (let round = 0; round < 12; round++) {
    for (const { machine, orders } of b.sent.splice(0)) {
      const list = held.get(machine) ?? [];
      for (const o of orders) {
        const at = list.findIndex((s) => s.uid === o.uid && s.task === o.task && s.attempt === o.attempt);
        if (o.kind === "start" && at < 0)
          list.push({ uid: o.uid, task: o.task, attempt: o.attempt, state: "running" });
        if (o.kind === "stop" && at >= 0)
          list[at] = { ...(list[at] as Said), state: "ended", cause: "stopped" };
      }
      held.set(machine, list);
    }
    for (const name of held.keys()) b.answerDo(name, held.get(name) ?? [], more[name] ?? {});
    b.pass(100);
  }
}

export function beat(
  b: Bench,
  held: Map<string, Said[]>,
  more: Record<string, object>,
  seconds: number,
): void {
  for (let s = 0; s < seconds; s++) {
    for (const name of held.keys()) b.report(name, held.get(name) ?? [], more[name] ?? {});
    b.pass(1000);
    settleOnce(b, held, more);
  }
}

function settleOnce(b: Bench, held: Map<string, Said[]>, more: Record<string, object>): void {
  const before = b.now;
  settle(b, held, more);
  assert.ok(b.now >= before);
}

export function live(held: Map<string, Said[]>, name: string, uid?: string): Said[] {
  return (held.get(name) ?? []).filter((s) => s.state !== "ended" && (uid === undefined || s.uid === uid));
}
