import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { defaultOperator, type OperatorSettings } from "../config/operator.js";
import type { CloudRequest, CloudResponse } from "./messages/cloud.js";
import type { Effect, LogLevel } from "./messages/effects.js";
import type { StoreRequest, StoreResponse } from "./messages/store.js";
import type { Deployment } from "./model/deployment.js";
import type { NameRegistry } from "./model/interner.js";
import { RuntimeEstimates } from "./scheduling/runtime-estimates.js";
import { EffectiveStoreLimits } from "./store/store-limits.js";

/** Says when a round has used its time; the shell brings the clock, tests bring a counter. */
export interface TimeBudget {
  isSpent(): boolean;
}

/** What every part of the core shares: the time of this batch, the effects it asks for, calls under way. */
export class Context {
  now = 0;
  settings: OperatorSettings = defaultOperator;
  readonly deployment: Deployment;
  readonly names: NameRegistry;
  readonly random: RandomGenerator;
  readonly estimates = new RuntimeEstimates();
  readonly limits: EffectiveStoreLimits;
  /** True where fair admission is switched on: whose turn it is counts in the order of work, too. */
  hasFairTurns = false;
  #effects: Effect[] = [];
  #nextId = 1;
  readonly #pendingStoreCalls = new Map<number, (answer: StoreResponse) => void>();
  readonly #pendingCloudCalls = new Map<number, (answer: CloudResponse) => void>();
  /** When the state service last answered this node, and last refused it or kept silent. */
  storeRespondedAt = Number.NEGATIVE_INFINITY;
  storeFailingSince: number | null = null;

  /** The wall time at `now` 0. Only ages of jobs rest on it; nothing that safety depends on does. */
  readonly #epochMs: number;

  constructor(deployment: Deployment, directory: NameRegistry, random: RandomGenerator, epochMs: number) {
    this.#epochMs = epochMs;
    this.deployment = deployment;
    this.limits = new EffectiveStoreLimits(deployment);
    this.names = directory;
    this.random = random;
  }

  get wallMs(): number {
    return this.#epochMs + this.now;
  }

  emit(effect: Effect): void {
    this.#effects.push(effect);
  }

  takeEffects(): Effect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  nextId(): number {
    return this.#nextId++;
  }

  /** Each call gets exactly one answer; the shell answers "silent" for those that time out. */
  callStore(call: StoreRequest, timeoutMs: number, then: (answer: StoreResponse) => void): void {
    const id = this.nextId();
    this.#pendingStoreCalls.set(id, then);
    this.emit({ kind: "callStore", id, request: call, timeoutMs });
  }

  callCloud(call: CloudRequest, then: (answer: CloudResponse) => void): void {
    const id = this.nextId();
    this.#pendingCloudCalls.set(id, then);
    this.emit({ kind: "callCloud", id, request: call });
  }

  onStoreResponse(id: number, answer: StoreResponse): void {
    const then = this.#pendingStoreCalls.get(id);
    if (!then) return;
    this.#pendingStoreCalls.delete(id);
    if (answer.kind === "throttled") this.limits.onThrottled(this.now);
    if (answer.kind === "timeout" || answer.kind === "unavailable" || answer.kind === "throttled") {
      this.storeFailingSince ??= this.now;
    } else {
      this.storeRespondedAt = this.now;
      this.storeFailingSince = null;
    }
    then(answer);
  }

  onCloudResponse(id: number, answer: CloudResponse): void {
    const then = this.#pendingCloudCalls.get(id);
    if (!then) return;
    this.#pendingCloudCalls.delete(id);
    then(answer);
  }

  log(level: LogLevel, text: string, data: Record<string, unknown> = {}): void {
    this.emit({ kind: "log", level, text, data });
  }
}
