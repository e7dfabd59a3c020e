/** A leader in a partition, its successor outside, and changes of settings by operators that only one of them hears of. */

import assert from "node:assert/strict";
import { ControllerHarness, jobSpec } from "./controller-harness.js";
import { FakeStore } from "./fake-store.js";
import { onlyElement } from "./leaders.js";

const STEP_MS = 250;
/** The agent lease of the small deployment. */
const AGENT_LEASE_MS = 12_000;

/** Cuts a node off from the store. It receives nothing from its peers either, as tests deliver these messages. */
export function partitionFromStore(harness: ControllerHarness): void {
  harness.storeRule = () => ({ kind: "unavailable", reason: "network partition" });
}

/** Changes operator settings at a node, which must confirm the change. */
export function changeSettings(harness: ControllerHarness, values: Record<string, unknown>): void {
  assert.equal(harness.admin({ kind: "changeSettings", values })?.kind, "ok");
}

/** Creates a node on the store and at the time of another one. It does not run until its clock is advanced. */
export function addNode(node: string, other: ControllerHarness, process = "first"): ControllerHarness {
  const harness = new ControllerHarness(node, other.store, { incarnation: `${node}-${process}` });
  harness.now = other.now;
  harness.cloudRule = () => ({ kind: "unavailable", reason: "down" });
  return harness;
}

/**
 * A zone with a leader and an agent, on which the only task of j-1 runs, and nodes outside it. All clocks advance
 * together. The agent in the zone reaches only the leader in the zone, and agent B only the nodes outside.
 */
export class PartitionedZone {
  readonly leader: ControllerHarness;
  readonly #attempt: number;
  /** When the leader in the zone last renewed the lease of its agent; null before the first renewal. */
  #renewedAt: number | null = null;

  /** `settings` are the operator settings from the start. */
  constructor(settings: Record<string, unknown>) {
    const store = new FakeStore();
    const changes = [{ put: "c/settings", value: settings }];
    store.run({ kind: "transaction", conditions: [], changes }, 0);
    this.leader = new ControllerHarness("n0", store).becomeLeader();
    this.leader.sendHeartbeat("A");
    this.leader.submit(jobSpec("j-1"));
    this.leader.advance(200);
    this.#attempt = onlyElement(this.leader.startCommands("j-1")).attempt;
    this.#sendHeartbeatOfA();
  }

  /** Advances all clocks. The leader in the zone is asked to renew the agent's lease at each step. */
  advance(forMs: number, outside: readonly ControllerHarness[]): void {
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += STEP_MS) this.#step(outside);
  }

  /** Advances all clocks until a node outside leads. */
  advanceUntilLeading(node: ControllerHarness): void {
    for (let i = 0; i < 300 && !node.controller.leaderTerm; i++) this.#step([node]);
    assert.ok(node.controller.leaderTerm, "the node is elected");
  }

  /**
   * Advances all clocks until a leader outside starts the task elsewhere. Returns how long after the end of the agent's
   * lease that is, in milliseconds; negative: while the task may still be running in the zone.
   */
  restartDelayMs(successor: ControllerHarness): number {
    const givesUpAt = this.leader.now + 180_000;
    while (successor.startCommands("j-1").length === 0 && this.leader.now < givesUpAt)
      this.#step([successor]);
    assert.equal(onlyElement(successor.startCommands("j-1")).machine, "B");
    assert.ok(this.#renewedAt !== null);
    // The agent in the zone may have renewed its lease once more since.
    const restartedAt = successor.now;
    this.advance(AGENT_LEASE_MS, []);
    return restartedAt - (this.#renewedAt + AGENT_LEASE_MS);
  }

  #step(outside: readonly ControllerHarness[]): void {
    this.leader.advance(STEP_MS);
    this.#sendHeartbeatOfA();
    for (const node of outside) {
      node.advance(STEP_MS);
      node.sendHeartbeat("B", [], { zone: "b" });
    }
  }

  #sendHeartbeatOfA(): void {
    const status = { uid: "j-1", task: 0, attempt: this.#attempt, state: "running" } as const;
    if (this.leader.sendHeartbeat("A", [status])?.kind === "commands") this.#renewedAt = this.leader.now;
  }
}
