import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { defaultOperatorSettings, type OperatorSettings } from "../config/operator.js";
import type { CloudRequest, CloudResponse } from "./messages/cloud.js";
import type { Effect, LogLevel } from "./messages/effects.js";
import type { StoreRequest, StoreResponse } from "./messages/store.js";
import type { Deployment } from "./model/deployment.js";
import type { NameRegistry } from "./model/interner.js";
import { RuntimeEstimates } from "./model/runtime-estimates.js";
import { EffectiveStoreLimits } from "./model/store-limits.js";

/** Says when a scheduling round has used its time; the shell brings a clock, tests bring a counter. */
export interface TimeBudget {
  /** True once the round should stop and go on in a later batch. */
  isSpent(): boolean;
}

/**
 * What every part of the core shares: the time of this batch, the settings, the effects asked for, and the calls in
 * flight. Nothing in the core reads a clock or does input or output: commands and the time come in, effects go out.
 */
export class Context {
  /** The node's monotonic time of this batch, in milliseconds since its start. */
  now = 0;
  /** The operators' settings as this node knows them. */
  settings: OperatorSettings = defaultOperatorSettings;
  readonly deployment: Deployment;
  readonly names: NameRegistry;
  readonly random: RandomGenerator;
  readonly estimates = new RuntimeEstimates();
  readonly limits: EffectiveStoreLimits;
  /** True where fair admission is switched on: the queue order takes teams in round-robin turns, too. */
  hasFairTurns = false;
  /** When the key-value store last answered this node. */
  storeRespondedAt = Number.NEGATIVE_INFINITY;
  /** Since when the key-value store has refused this node or not answered it; null while it answers. */
  storeFailingSince: number | null = null;
  #effects: Effect[] = [];
  #nextId = 1;
  readonly #pendingStoreCalls = new Map<number, (response: StoreResponse) => void>();
  readonly #pendingCloudCalls = new Map<number, (response: CloudResponse) => void>();
  /** The wall time at `now` 0. */
  readonly #epochMs: number;

  constructor(deployment: Deployment, names: NameRegistry, random: RandomGenerator, epochMs: number) {
    this.#epochMs = epochMs;
    this.deployment = deployment;
    this.limits = new EffectiveStoreLimits(deployment);
    this.names = names;
    this.random = random;
  }

  /** Wall time. Only ages of jobs rest on it, and no safety rule does. */
  get wallMs(): number {
    return this.#epochMs + this.now;
  }

  /** Asks the shell for an effect; effects are carried out in the order asked for. */
  emit(effect: Effect): void {
    this.#effects.push(effect);
  }

  /** The effects asked for since the last call. */
  takeEffects(): Effect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** An id that no other call of this process has. */
  nextId(): number {
    return this.#nextId++;
  }

  /** Calls the key-value store. `onResponse` runs exactly once; the shell responds `timeout` if nothing comes back. */
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

  /** Writes a log line: a fixed message, and the facts as fields in snake_case. */
  log(level: LogLevel, text: string, data: Record<string, unknown> = {}): void {
    this.emit({ kind: "log", level, text, data });
  }
}
