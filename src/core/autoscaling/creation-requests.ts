import type { Context } from "../context.js";
import type { CloudResponse } from "../messages/cloud.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { LeaderLease } from "../model/leader-lease.js";
import { type Offer, offerKeyOf } from "./offer.js";

/** After a request that the cloud did not fulfil, the offer is backed off for this time, doubled with each repeat. */
const OFFER_BACKOFF_MS = 8000;
const OFFER_BACKOFF_MAX_MS = 60_000;
/** How often a request without a response is sent, and after what time it is repeated. */
const MAX_ATTEMPTS = 3;
const RETRY_DELAY_MS = 1000;

/** A request to create machines that has not been answered. */
export interface CreationRequest {
  readonly offer: Offer;
  readonly count: number;
  /** Makes the request idempotent. */
  readonly requestId: string;
  readonly attemptsLeft: number;
}

/**
 * The requests to the cloud to create machines: one at a time for each offer, repeated under the same id when the
 * response does not come, with a back-off for offers without capacity.
 */
export class CreationRequests {
  readonly #ctx: Context;
  readonly #lease: LeaderLease;
  readonly #cluster: ClusterState;
  /** By offer, those waiting to be repeated included. */
  readonly #inFlight = new Map<string, CreationRequest>();
  /** Requests without a response, to be repeated. */
  readonly #retries: { readonly at: number; readonly request: CreationRequest }[] = [];
  /** Back-offs by offer. */
  readonly #backoffs = new Map<string, { readonly until: number; readonly waitMs: number }>();
  #requestCount = 0;

  constructor(ctx: Context, lease: LeaderLease, cluster: ClusterState) {
    this.#ctx = ctx;
    this.#lease = lease;
    this.#cluster = cluster;
  }

  /** The requests not answered yet; their machines may come to be. */
  inFlight(): IterableIterator<CreationRequest> {
    return this.#inFlight.values();
  }

  /** True while the cloud is not to be asked for this offer. */
  isBackedOff(offer: Offer): boolean {
    return (this.#backoffs.get(offerKeyOf(offer))?.until ?? 0) > this.#ctx.now;
  }

  /** Asks for machines of an offer, unless a request for it is in flight. */
  create(offer: Offer, count: number): void {
    const key = offerKeyOf(offer);
    if (this.#inFlight.has(key)) return;
    // The fencing token and a counter: an id that no other leader, nor this one, ever uses again.
    const requestId = `r-${this.#lease.firstFencingToken}-${++this.#requestCount}`;
    const request: CreationRequest = { offer, count, requestId, attemptsLeft: MAX_ATTEMPTS };
    this.#inFlight.set(key, request);
    this.#send(request);
  }

  /** Repeats the requests whose response did not come, once they are due. */
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
      // It may have been carried out: under the same id it creates nothing more, and the response lists the machines.
      this.#retries.push({
        at: this.#ctx.now + RETRY_DELAY_MS,
        request: { ...request, attemptsLeft: attemptsLeft - 1 },
      });
      return;
    }
    const key = offerKeyOf(offer);
    this.#inFlight.delete(key);
    if (response.kind === "created") {
      this.#addMachines(request, response.machines);
      if (response.machines.length < request.count) this.#backOff(key);
      else this.#backoffs.delete(key);
      return;
    }
    if (response.kind === "noCapacity")
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
