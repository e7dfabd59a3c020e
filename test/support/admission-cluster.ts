/** Simulates fair admission on three nodes, without the rest of the controller. */

import assert from "node:assert/strict";
import { Admission } from "../../src/admission/admission.js";
import type { AdmissionMessage } from "../../src/admission/messages.js";
import { defaultOperatorSettings, type OperatorSettings } from "../../src/config/operator.js";
import { Context } from "../../src/core/context.js";
import { NameRegistry } from "../../src/core/model/interner.js";
import { seededRandom } from "../../src/core/random.js";
import { deployment, NODES } from "./deployment.js";

/** Interval between two heartbeats of a node. */
export const HEARTBEAT_MS = 1000;

/** A node with its clock and the heartbeats in transit to it. */
export interface AdmissionNode {
  readonly name: string;
  readonly ctx: Context;
  admission: Admission;
  /** Rate of its monotonic clock relative to `AdmissionCluster.now`; above 1 the clock runs fast. */
  readonly clockRate: number;
  readonly inbox: {
    readonly from: string;
    readonly message: AdmissionMessage | undefined;
    readonly at: number;
  }[];
}

export type NodeName = (typeof NODES)[number];

/** Three nodes with separate clocks; the leader issues permit leases. Heartbeats can be lost or delayed. */
export class AdmissionCluster {
  now = 0;
  leader: NodeName | null = "n0";
  fencingToken = 1;
  readonly openJobs = new Map<string, number>();
  readonly nodes: AdmissionNode[];
  /** Nodes that are partitioned from all others. */
  readonly partitioned = new Set<string>();
  /** Nodes that run the previous version, which lacks fair admission. */
  readonly previousVersion = new Set<string>();
  readonly #settings: OperatorSettings;
  #processes = 0;
  #uid = 0;
  readonly #refused: { readonly uid: string; readonly team: string; readonly at: number }[] = [];

  constructor(settings: Partial<OperatorSettings> = {}, teams = deployment("n0").teams) {
    this.#settings = { ...defaultOperatorSettings, ...settings };
    this.nodes = NODES.map((name, index) => {
      const ctx = new Context({ ...deployment(name), teams }, new NameRegistry(), seededRandom(1), 0);
      ctx.settings = this.#settings;
      const clockRate = 1 + (index - 1) * 0.0005;
      return { name, ctx, admission: new Admission(ctx, `p${this.#processes++}`), clockRate, inbox: [] };
    });
  }

  node(name: string): AdmissionNode {
    const node = this.nodes.find((candidate) => candidate.name === name);
    assert.ok(node);
    return node;
  }

  /** Restarts a node: its state and the heartbeats in transit to it are lost. */
  restart(name: string): void {
    const node = this.node(name);
    node.admission = new Admission(node.ctx, `p${this.#processes++}`);
    node.inbox.length = 0;
  }

  /** Sends one heartbeat from each node, 100 ms apart. They arrive after `delayMs`, or are lost if it is null. */
  heartbeatRound(delayMs: (from: string, to: string) => number | null = () => 5): void {
    for (const node of this.nodes) {
      this.advance(HEARTBEAT_MS / 10);
      const isLeader = node.name === this.leader && !this.partitioned.has(node.name);
      const token = isLeader && !this.previousVersion.has(node.name) ? this.fencingToken : null;
      node.admission.tick(this.leader, token, { openJobs: () => this.openJobs });
      for (const other of this.nodes) {
        if (other === node || this.partitioned.has(node.name) || this.partitioned.has(other.name)) continue;
        const delay = delayMs(node.name, other.name);
        if (delay === null) continue;
        const message = this.previousVersion.has(node.name)
          ? undefined
          : node.admission.messageFor(other.name);
        other.inbox.push({ from: node.name, message, at: this.now + delay });
      }
    }
    this.advance(HEARTBEAT_MS - (HEARTBEAT_MS / 10) * this.nodes.length);
  }

  /** Runs rounds of heartbeats without loss. */
  heartbeatRounds(count: number): void {
    for (let i = 0; i < count; i++) this.heartbeatRound();
  }

  /** Advances all clocks and delivers the heartbeats that are due. */
  advance(ms: number): void {
    this.now += ms;
    for (const node of this.nodes) {
      node.ctx.now = this.now * node.clockRate;
      const due = node.inbox.filter(({ at }) => at <= this.now);
      node.inbox.splice(0, node.inbox.length, ...node.inbox.filter(({ at }) => at > this.now));
      if (this.previousVersion.has(node.name)) continue;
      for (const { from, message } of due) node.admission.onPeerHeartbeat(from, message);
    }
  }

  /** Submits `count` jobs of a team to a node, due retries first, and returns how many are accepted. */
  submit(name: string, team: string, count: number): number {
    let accepted = 0;
    for (let i = 0; i < count; i++) {
      const uid = this.#dueRetry(team) ?? `j-${++this.#uid}`;
      const decision = this.node(name).admission.decide(uid, team);
      if (decision.kind === "admit") accepted++;
      else this.#refused.push({ uid, team, at: this.now + decision.retryAfterS * 1000 });
    }
    this.openJobs.set(team, (this.openJobs.get(team) ?? 0) + accepted);
    return accepted;
  }

  #dueRetry(team: string): string | undefined {
    const next = this.#refused.findIndex((refused) => refused.team === team && refused.at <= this.now);
    return next < 0 ? undefined : this.#refused.splice(next, 1)[0]?.uid;
  }
}

/** A single team, so that no permits are held back for first submissions of other teams. */
export const RED_ONLY = deployment("n0").teams.slice(0, 1);

/** Returns how many permits of a team a node has left. */
export function availablePermits(node: AdmissionNode, team: string): number {
  return node.admission.snapshot().teams.find(({ name }) => name === team)?.available ?? 0;
}
