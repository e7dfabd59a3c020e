import type { Context } from "../context.js";
import type { CloudResponse } from "../messages/cloud.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { LeaderLease } from "../model/leader-lease.js";
import { type Offer, offerKeyOf } from "./offer.js";

/** Initial backoff for an offer after a request that was not fulfilled; doubles with each repetition. */
const OFFER_BACKOFF_MS = 8000;
const OFFER_BACKOFF_MAX_MS = 60_000;
/** How many times a request is sent if it gets no response. */
const MAX_ATTEMPTS = 3;
const RETRY_DELAY_MS = 1000;
/** While the cloud is unavailable, a single request, whatever its offer, is sent after each such time. */
const UNAVAILABLE_RETRY_MS = 2000;

/** A request to create machines that is awaiting a response. */
export interface CreationRequest {
  readonly offer: Offer;
  readonly count: number;
  /** Makes the request idempotent. */
  readonly requestId: string;
  readonly attemptsLeft: number;
}

/**
 * Sends requests to create machines, one at a time per offer. Retries a request under the same id if no response
 * arrives, and backs off from an offer for which the cloud has too little capacity.
 */
export class CreationRequests {
  readonly #ctx: Context;
  readonly #lease: LeaderLease;
  readonly #cluster: ClusterState;
  /** By offer, including requests waiting for a retry. */
  readonly #inFlight = new Map<string, CreationRequest>();
  /** Requests to retry because they got no response. */
  readonly #retries: { readonly at: number; readonly request: CreationRequest }[] = [];
  /** Current backoffs, by offer. */
  readonly #backoffs = new Map<string, { readonly until: number; readonly waitMs: number }>();
  #requestCount = 0;
  /** When the next request may be sent after one that the cloud could not take at all; null if it took the last one. */
  #probeAt: number | null = null;

  constructor(ctx: Context, lease: LeaderLease, cluster: ClusterState) {
    this.#ctx = ctx;
    this.#lease = lease;
    this.#cluster = cluster;
  }

  /** Returns the requests awaiting a response, whose machines may be created. */
  inFlight(): IterableIterator<CreationRequest> {
    return this.#inFlight.values();
  }

  /** True if the offer is in backoff or the cloud is unavailable, during which the caller must not request it. */
  isBackedOff(offer: Offer): boolean {
    if (this.#probeAt !== null && this.#probeAt > this.#ctx.now) return true;
    return (this.#backoffs.get(offerKeyOf(offer))?.until ?? 0) > this.#ctx.now;
  }

  /** Requests machines of an offer, unless a request for it is in flight. */
  create(offer: Offer, count: number): void {
    const key = offerKeyOf(offer);
    const isProbe = this.#probeAt !== null;
    if (this.#inFlight.has(key) || (isProbe && this.#inFlight.size > 0)) return;
    // The fencing token and a counter make the id unique: no leader ever uses it again.
    const requestId = `r-${this.#lease.firstFencingToken}-${++this.#requestCount}`;
    const request: CreationRequest = { offer, count, requestId, attemptsLeft: MAX_ATTEMPTS };
    this.#inFlight.set(key, request);
    this.#send(request);
  }

  /** Resends the requests whose retry is due. */
  retry(): void {
    for (const entry of this.#retries.splice(0)) {
      if (entry.at <= this.#ctx.now) this.#send(entry.request);
      else this.#retries.push(entry);
    }
  }

  #send(request: CreationRequest): void {
    const { offer, count, requestId } = request;
    const { type, zone, spot } = offer;
    this.#ctx.callCloud({ kind: "create", requestId, type: type.name, zone, spot, count }, (response) =>
      this.#onResponse(request, response),
    );
  }

  #onResponse(request: CreationRequest, response: CloudResponse): void {
    const { offer, attemptsLeft } = request;
    if (response.kind === "timeout" && attemptsLeft > 1) {
      // The request may have succeeded. A retry under the same id creates nothing more and returns the machines.
      this.#retries.push({
        at: this.#ctx.now + RETRY_DELAY_MS,
        request: { ...request, attemptsLeft: attemptsLeft - 1 },
      });
      return;
    }
    const key = offerKeyOf(offer);
    this.#inFlight.delete(key);
    const isTaken = response.kind === "created" || response.kind === "noCapacity";
    // A request that was not taken tells nothing about the offer.
    this.#probeAt = isTaken ? null : this.#ctx.now + UNAVAILABLE_RETRY_MS;
    if (response.kind === "created") {
      this.#addMachines(request, response.machines);
      if (response.machines.length < request.count) this.#backOff(key);
      else this.#backoffs.delete(key);
      return;
    }
    if (response.kind !== "noCapacity") return;
    this.#ctx.log("debug", "no capacity", { type: offer.type.name, zone: offer.zone, spot: offer.spot });
    this.#backOff(key);
  }

  #addMachines({ offer, count }: CreationRequest, names: readonly string[]): void {
    const { type, zone, spot } = offer;
    this.#ctx.log("info", "machines created", {
      type: type.name,
      zone,
      spot,
      requested: count,
      created: names.length,
    });
    for (const name of names)
      this.#cluster.ensureMachine(name, { address: "", type: type.name, zone, spot }, this.#ctx.now);
  }

  #backOff(key: string): void {
    const previousMs = this.#backoffs.get(key)?.waitMs ?? OFFER_BACKOFF_MS / 2;
    const waitMs = Math.min(OFFER_BACKOFF_MAX_MS, previousMs * 2);
    this.#backoffs.set(key, { until: this.#ctx.now + waitMs, waitMs });
  }
}
