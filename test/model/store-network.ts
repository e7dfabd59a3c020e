import type { Effect } from "../../src/core/messages/effects.js";
import type { StoreRequest, StoreResponse, WatchRequest } from "../../src/core/messages/store.js";
import type { FakeStore } from "../support/fake-store.js";
import type { ControllerNode, Controllers } from "./controllers.js";
import { RequestMeter } from "./request-meter.js";
import type { Simulation } from "./simulation.js";

/** How often an open watch checks for changes. */
const WATCH_STEP_MS = 20;

type StoreCall = Extract<Effect, { kind: "callStore" }>;
type CallRequest = Exclude<StoreRequest, WatchRequest>;
/** Responds to a call after a delay. */
type Respond = (delayMs: number, response: StoreResponse) => void;

/** The network to the key-value store: calls may be delayed, lost, refused, or executed without a response. */
export class StoreNetwork {
  /** Requests received by the store. */
  readonly requests = new RequestMeter();
  /** Longest interval between two lease renewal requests of a leader. */
  longestRenewalGapMs = 0;
  /** Until this time some transactions get no response and are executed seconds later. */
  lateTransactionsUntil = 0;
  /** Until this time calls take up to a second. */
  slowUntil = 0;
  readonly #simulation: Simulation;
  readonly #controllers: Controllers;
  readonly #store: FakeStore;
  readonly #renewalRequestedAt = new Map<string, number>();

  constructor(simulation: Simulation, controllers: Controllers, store: FakeStore) {
    this.#simulation = simulation;
    this.#controllers = controllers;
    this.#store = store;
  }

  /** Makes the store unavailable for a while; afterwards the time to live of all leases restarts. */
  startOutage(forMs: number): void {
    this.#store.outageUntil = this.#simulation.now + forMs;
    this.#simulation.after(forMs, () => this.#store.endOutage(this.#simulation.now));
  }

  /** Executes a store call of a node, subject to the node's partitions and store faults. */
  call(node: ControllerNode, epoch: number, { id, request: asked, timeoutMs }: StoreCall): void {
    const respond: Respond = (delayMs, response) => {
      this.#controllers.deliverAfter(node, epoch, delayMs, () => ({ kind: "storeResponded", id, response }));
    };
    const request = node.isPreviousVersion ? withoutNewFields(asked) : asked;
    const isPartitioned = this.#isPartitioned(node);
    if (!isPartitioned) this.requests.count(this.#simulation.now);
    if (request.kind === "renewLease") this.#recordRenewal(node);
    if (request.kind === "watch") this.#watch(node, epoch, request, timeoutMs, respond);
    else if (isPartitioned) {
      respond(timeoutMs, { kind: "timeout" });
      if (node.delaysPackets) this.#runWhenPartitionEnds(node, request);
    } else if (!this.#isAvailableTo(node)) respond(4, { kind: "unavailable", reason: "outage" });
    else this.#run(request, timeoutMs, respond);
  }

  #isPartitioned(node: ControllerNode): boolean {
    return this.#simulation.now < Math.max(node.partitionedUntil, node.storePartitionedUntil);
  }

  #isAvailableTo(node: ControllerNode): boolean {
    return !this.#isDown() && this.#simulation.now >= node.storeRefusesUntil;
  }

  #isDown(): boolean {
    return this.#simulation.now < this.#store.outageUntil;
  }

  #watch(
    node: ControllerNode,
    epoch: number,
    request: WatchRequest,
    timeoutMs: number,
    respond: Respond,
  ): void {
    const endsAt = this.#simulation.now + request.waitMs;
    const checkForChanges = () => {
      if (node.epoch !== epoch) return;
      if (this.#isPartitioned(node) || this.#simulation.now < node.watchesHangUntil) {
        respond(timeoutMs, { kind: "timeout" });
        return;
      }
      const isAvailable = this.#isAvailableTo(node);
      const changes = isAvailable ? this.#store.changesSince(request.prefix, request.after) : null;
      if (changes) respond(3, changes);
      else if (isAvailable && this.#simulation.now >= endsAt)
        respond(3, { kind: "events", events: [], revision: this.#store.revision });
      else this.#simulation.after(WATCH_STEP_MS, checkForChanges);
    };
    this.#simulation.after(3, checkForChanges);
  }

  /** Executes a delayed request after the partition, long after the caller has timed out. */
  #runWhenPartitionEnds(node: ControllerNode, request: CallRequest): void {
    const endsAt = Math.max(node.partitionedUntil, node.storePartitionedUntil);
    this.#runUnanswered(endsAt - this.#simulation.now + this.#simulation.between(1, 50), request);
  }

  #runUnanswered(delayMs: number, request: CallRequest): void {
    this.#simulation.after(delayMs, () => {
      if (!this.#isDown()) this.#store.run(request, this.#simulation.now);
    });
  }

  #run(request: CallRequest, timeoutMs: number, respond: Respond): void {
    const simulation = this.#simulation;
    const mayBeLate = request.kind === "transaction" && simulation.now < this.lateTransactionsUntil;
    if (mayBeLate && simulation.chance(0.3)) {
      respond(timeoutMs, { kind: "timeout" });
      this.#runUnanswered(simulation.between(2000, 12_000), request);
      return;
    }
    const isAnswerLost = simulation.chance(0.002);
    const slowMs = simulation.now < this.slowUntil ? simulation.between(0, 900) : 0;
    simulation.after(slowMs + simulation.between(1, 4), () => {
      if (this.#isDown()) {
        respond(3, { kind: "unavailable", reason: "outage" });
        return;
      }
      const response = this.#store.run(request, simulation.now);
      if (isAnswerLost) respond(timeoutMs, { kind: "timeout" });
      else respond(simulation.between(1, 5), response);
    });
  }

  #recordRenewal(node: ControllerNode): void {
    const { now } = this.#simulation;
    const term = `${node.name} ${node.epoch} ${node.core?.leaderTerm?.lease.firstFencingToken}`;
    const before = this.#renewalRequestedAt.get(term);
    if (before !== undefined) this.longestRenewalGapMs = Math.max(this.longestRenewalGapMs, now - before);
    this.#renewalRequestedAt.set(term, now);
  }
}

/** Returns a request as the previous version sends it: its epoch record has no bound on replies to agents. */
function withoutNewFields(request: StoreRequest): StoreRequest {
  if (request.kind !== "transaction") return request;
  const changes = request.changes.map((change) => {
    if (!("put" in change) || change.put !== "c/epoch") return change;
    const { token } = change.value as { token: number };
    return { ...change, value: { token } };
  });
  return { ...request, changes };
}
