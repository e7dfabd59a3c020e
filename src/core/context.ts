import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { defaultOperator, type OperatorSettings } from "../config/operator.js";
import type { Directory } from "./model/interner.js";
import { Estimates } from "./scheduling/runtime-estimates.js";
import { Limits } from "./store/store-limits.js";
import type {
  CloudAnswer,
  CloudCall,
  Deployment,
  Effect,
  LogLevel,
  StateAnswer,
  StateCall,
} from "./types.js";

/** Says when a round has used its time; the shell brings the clock, tests bring a counter. */
export interface Budget {
  spent(): boolean;
}

/** What every part of the core shares: the time of this batch, the effects it asks for, calls under way. */
export class Context {
  now = 0;
  settings: OperatorSettings = defaultOperator;
  readonly deployment: Deployment;
  readonly directory: Directory;
  readonly random: RandomGenerator;
  readonly estimates = new Estimates();
  readonly limits: Limits;
  /** True where fair admission is switched on: whose turn it is counts in the order of work, too. */
  fairTurns = false;
  #effects: Effect[] = [];
  #nextId = 1;
  readonly #stateWaiting = new Map<number, (answer: StateAnswer) => void>();
  readonly #cloudWaiting = new Map<number, (answer: CloudAnswer) => void>();
  /** When the state service last answered this node, and last refused it or kept silent. */
  stateAnsweredAt = Number.NEGATIVE_INFINITY;
  stateFailingSince: number | null = null;

  /** The wall time at `now` 0. Only ages of jobs rest on it; nothing that safety depends on does. */
  readonly #epochMs: number;

  constructor(deployment: Deployment, directory: Directory, random: RandomGenerator, epochMs: number) {
    this.#epochMs = epochMs;
    this.deployment = deployment;
    this.limits = new Limits(deployment);
    this.directory = directory;
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
  state(call: StateCall, timeoutMs: number, then: (answer: StateAnswer) => void): void {
    const id = this.nextId();
    this.#stateWaiting.set(id, then);
    this.emit({ t: "state", id, call, timeoutMs });
  }

  cloud(call: CloudCall, then: (answer: CloudAnswer) => void): void {
    const id = this.nextId();
    this.#cloudWaiting.set(id, then);
    this.emit({ t: "cloud", id, call });
  }

  stateAnswered(id: number, answer: StateAnswer): void {
    const then = this.#stateWaiting.get(id);
    if (!then) return;
    this.#stateWaiting.delete(id);
    if (answer.t === "throttled") this.limits.throttled(this.now);
    if (answer.t === "silent" || answer.t === "refused" || answer.t === "throttled") {
      this.stateFailingSince ??= this.now;
    } else {
      this.stateAnsweredAt = this.now;
      this.stateFailingSince = null;
    }
    then(answer);
  }

  cloudAnswered(id: number, answer: CloudAnswer): void {
    const then = this.#cloudWaiting.get(id);
    if (!then) return;
    this.#cloudWaiting.delete(id);
    then(answer);
  }

  log(level: LogLevel, text: string, data: Record<string, unknown> = {}): void {
    this.emit({ t: "log", level, text, data });
  }
}
