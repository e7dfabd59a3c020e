import type { FaultTargets } from "./compound-faults.js";
import type { Controllers } from "./controllers.js";
import type { Simulation } from "./simulation.js";

/** Values of the settings that decide how long a leader may act and reply, and how soon the record of it changes. */
const LEASE_TTLS_MS = [1000, 3000, 9000, 15_000];
const GRACE_PERIODS_S = [0, 5, 30, 600];
const TOKEN_PERIODS_S = [5, 30];

/** From the change of the settings that the leader still learns of to the partition. */
const PARTITION_DELAY_MS = 8000;

/**
 * Partitions the leader together with the agents of a zone. Meanwhile operators change settings at the other nodes, and
 * the leader elected there may crash or restart at once.
 */
export class SettingsChanges {
  readonly #simulation: Simulation;
  readonly #controllers: Controllers;

  constructor({ simulation, controllers }: FaultTargets) {
    this.#simulation = simulation;
    this.#controllers = controllers;
  }

  /** Starts one such fault. */
  begin(): void {
    const simulation = this.#simulation;
    this.#changeSettings();
    // The TTL of a lease changes only with the next term.
    const { leader } = this.#controllers;
    if (leader && simulation.chance(0.5)) this.#controllers.crash(leader.index, simulation.between(50, 200));
    simulation.after(PARTITION_DELAY_MS, () => this.#partitionLeader());
  }

  #partitionLeader(): void {
    const simulation = this.#simulation;
    const { leader } = this.#controllers;
    if (!leader) return;
    const until = simulation.now + simulation.between(20_000, 50_000);
    leader.zonePartition = { zone: simulation.chance(0.5) ? "a" : "b", until };
    leader.storePartitionedUntil = until;
    leader.peersPartitionedUntil = until;
    leader.delaysPackets = simulation.chance(0.5);
    // Before the next election, or in the term that follows.
    for (let i = simulation.between(1, 3); i > 0; i--)
      simulation.after(simulation.between(0, 15_000), () => this.#changeSettings());
    if (simulation.chance(0.5)) return;
    const downMs = simulation.between(50, 6000);
    simulation.after(simulation.between(2000, 20_000), () => this.#crashOtherLeader(leader.index, downMs));
  }

  /** Changes the settings at a random node, which rejects the change if it cannot reach the store. */
  #changeSettings(): void {
    const values = {
      leader_grant_ms: this.#oneOf(LEASE_TTLS_MS),
      hold_s: this.#oneOf(GRACE_PERIODS_S),
      token_raise_s: this.#oneOf(TOKEN_PERIODS_S),
    };
    const simulation = this.#simulation;
    const node = this.#controllers.nodes[simulation.between(0, this.#controllers.nodes.length - 1)];
    if (!node?.core) return;
    this.#controllers.deliver(node, {
      kind: "administer",
      requestId: simulation.nextRequestId(),
      request: { kind: "changeSettings", values },
    });
  }

  #oneOf(values: readonly number[]): number {
    return values[this.#simulation.between(0, values.length - 1)] ?? 0;
  }

  /** Crashes the node that leads beside the partitioned one, if any. */
  #crashOtherLeader(partitioned: number, downMs: number): void {
    const other = this.#controllers.nodes.find(
      ({ index, core }) => index !== partitioned && core?.leaderTerm,
    );
    if (other) this.#controllers.crash(other.index, downMs);
  }
}
