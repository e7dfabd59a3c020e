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
/** While the cloud is unavailable, a single request is sent after each such time. */
const PROBE_INTERVAL_MS = 2000;
/** After a failed probe other offers are tried first, as it may be the offer that fails. */
const PROBED_OFFER_PAUSE_MS = 2 * PROBE_INTERVAL_MS;
/** An offer that fails twice within this time, while requests for others are taken, is backed off. */
const OFFER_FAILURE_WINDOW_MS = 60_000;
/** Pause of an offer after a request that exceeded the cloud's request rate. */
const THROTTLED_PAUSE_MS = 1000;

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
  /** When the next request may be sent while the cloud is unavailable; null while it is not known to be. */
  #probeAt: number | null = null;
  /** When the cloud was last unavailable for a request, by offer. */
  readonly #failedAt = new Map<string, number>();
  /** When the cloud last took a request, whatever its offer. */
  #takenAt = Number.NEGATIVE_INFINITY;

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
    switch (response.kind) {
      case "created":
        this.#onTaken(key);
        this.#addMachines(request, response.machines);
        if (response.machines.length < request.count) this.#backOff(key);
        else this.#backoffs.delete(key);
        break;
      case "noCapacity":
        this.#onTaken(key);
        this.#ctx.log("debug", "no capacity", { type: offer.type.name, zone: offer.zone, spot: offer.spot });
        this.#backOff(key);
        break;
      case "throttled":
        this.#pause(key, THROTTLED_PAUSE_MS);
        break;
      case "unavailable":
      case "timeout":
        this.#onUnavailable(key);
        break;
      case "rejected":
      case "types":
      case "deleted":
      case "page":
        this.#backOff(key);
        break;
      default:
        response satisfies never;
    }
  }

  #onTaken(key: string): void {
    this.#probeAt = null;
    this.#takenAt = this.#ctx.now;
    this.#failedAt.delete(key);
  }

  /** Decides whether the cloud is unavailable for all offers, or only for one for which it fails repeatedly. */
  #onUnavailable(key: string): void {
    const { now } = this.#ctx;
    const failedAt = this.#failedAt.get(key) ?? Number.NEGATIVE_INFINITY;
    this.#failedAt.set(key, now);
    if (now - failedAt < OFFER_FAILURE_WINDOW_MS && this.#takenAt >= failedAt) {
      this.#backOff(key);
      return;
    }
    this.#probeAt = now + PROBE_INTERVAL_MS;
    this.#pause(key, PROBED_OFFER_PAUSE_MS);
  }

  /** Pauses an offer without lengthening its next backoff. */
  #pause(key: string, pauseMs: number): void {
    const waitMs = this.#backoffs.get(key)?.waitMs ?? OFFER_BACKOFF_MS / 2;
    this.#backoffs.set(key, { until: this.#ctx.now + pauseMs, waitMs });
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
