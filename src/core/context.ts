import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { defaultOperatorSettings, type OperatorSettings } from "../config/operator.js";
import type { CloudRequest, CloudResponse } from "./messages/cloud.js";
import type { Effect, LogLevel } from "./messages/effects.js";
import type { StoreRequest, StoreResponse } from "./messages/store.js";
import type { Deployment } from "./model/deployment.js";
import type { NameRegistry } from "./model/interner.js";
import { RuntimeEstimates } from "./model/runtime-estimates.js";
import { EffectiveStoreLimits } from "./model/store-limits.js";

/** Limits the time of a scheduling round. The shell implements it with a clock, tests with a counter. */
export interface TimeBudget {
  /** True once the round should stop and resume in a later batch. */
  isSpent(): boolean;
}

/**
 * State shared by all parts of the core: the time of this batch, the settings, the requested effects and the calls in
 * flight. The core reads no clock and performs no I/O: it takes commands and the time, and returns effects, which the
 * shell (the rest of the process) executes.
 */
export class Context {
  /** The node's monotonic time of this batch, in milliseconds since its start. */
  now = 0;
  /** The operator settings as last read by this node. */
  settings: OperatorSettings = defaultOperatorSettings;
  readonly deployment: Deployment;
  readonly names: NameRegistry;
  readonly random: RandomGenerator;
  readonly estimates = new RuntimeEstimates();
  readonly limits: EffectiveStoreLimits;
  /** True if fair admission is enabled: the queue order then also gives class queues round-robin turns. */
  areRoundRobinTurnsEnabled = false;
  /** When the key-value store last responded to this node. */
  storeRespondedAt = Number.NEGATIVE_INFINITY;
  /** Since when calls to the key-value store have been rejected or timed out; null while they succeed. */
  storeFailingSince: number | null = null;
  #effects: Effect[] = [];
  #nextId = 1;
  readonly #pendingStoreCalls = new Map<number, (response: StoreResponse) => void>();
  readonly #pendingCloudCalls = new Map<number, (response: CloudResponse) => void>();
  /** Wall-clock time in ms when `now` is 0. */
  readonly #epochMs: number;

  constructor(deployment: Deployment, names: NameRegistry, random: RandomGenerator, epochMs: number) {
    this.#epochMs = epochMs;
    this.deployment = deployment;
    this.limits = new EffectiveStoreLimits(deployment);
    this.names = names;
    this.random = random;
  }

  /** Wall-clock time in ms. Only waits, deadlines and recorded times of jobs depend on it; no safety rule does. */
  get wallMs(): number {
    return this.#epochMs + this.now;
  }

  /** Requests an effect from the shell. Effects are executed in the order requested. */
  emit(effect: Effect): void {
    this.#effects.push(effect);
  }

  /** Returns the effects requested since the last call. */
  takeEffects(): Effect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** Returns an id that is unique within this process. */
  nextId(): number {
    return this.#nextId++;
  }

  /** Calls the key-value store. `onResponse` runs exactly once; without a response, the shell reports `timeout`. */
  callStore(request: StoreRequest, timeoutMs: number, onResponse: (response: StoreResponse) => void): void {
    const id = this.nextId();
    this.#pendingStoreCalls.set(id, onResponse);
    this.emit({ kind: "callStore", id, request, timeoutMs });
  }

  /** Calls the cloud provider. `onResponse` runs exactly once. */
  callCloud(request: CloudRequest, onResponse: (response: CloudResponse) => void): void {
    const id = this.nextId();
    this.#pendingCloudCalls.set(id, onResponse);
    this.emit({ kind: "callCloud", id, request });
  }

  /** Completes a call to the key-value store; a second response to the same call is ignored. */
  onStoreResponse(id: number, response: StoreResponse): void {
    const onResponse = this.#pendingStoreCalls.get(id);
    if (!onResponse) return;
    this.#pendingStoreCalls.delete(id);
    if (response.kind === "throttled") this.limits.onThrottled(this.now);
    if (response.kind === "timeout" || response.kind === "unavailable" || response.kind === "throttled") {
      this.storeFailingSince ??= this.now;
    } else {
      this.storeRespondedAt = this.now;
      this.storeFailingSince = null;
    }
    onResponse(response);
  }

  /** Completes a call to the cloud provider; a second response to the same call is ignored. */
  onCloudResponse(id: number, response: CloudResponse): void {
    const onResponse = this.#pendingCloudCalls.get(id);
    if (!onResponse) return;
    this.#pendingCloudCalls.delete(id);
    onResponse(response);
  }

  /** Writes a log line with a fixed message and the details as snake_case fields. */
  log(level: LogLevel, text: string, data: Record<string, unknown> = {}): void {
    this.emit({ kind: "log", level, text, data });
  }
}
