import type { StoreRequest, StoreResponse, WatchRequest } from "../../src/core/messages/store.js";
import type { FakeStore } from "./fake-store.js";

/** What becomes of a call: a response of the test's choice, none at all, or, for null, that of the store. */
export type StoreRule = (request: StoreRequest) => StoreResponse | "hang" | null;

/** Hands the response to a call back to the controller. */
export type RespondToStoreCall = (id: number, response: StoreResponse) => void;

/** A call that is never answered unless the test does so. */
export interface HangingCall {
  readonly id: number;
  readonly call: StoreRequest;
}

interface OpenWatch {
  readonly id: number;
  readonly request: WatchRequest;
  readonly openedAt: number;
}

/** The calls of one controller to a store, answered at once and for real unless the test has a rule. */
export class ScriptedStore {
  rule: StoreRule | null = null;
  readonly hangingCalls: HangingCall[] = [];
  /** The prefixes of which pages were asked for. */
  readonly listedPrefixes: string[] = [];
  readonly #store: FakeStore;
  readonly #respond: RespondToStoreCall;
  readonly #openWatches: OpenWatch[] = [];

  constructor(store: FakeStore, respond: RespondToStoreCall) {
    this.#store = store;
    this.#respond = respond;
  }

  /** Takes a call; a watch that waits is answered with the steps of time. */
  call(id: number, request: StoreRequest, now: number): void {
    if (request.kind === "list") this.listedPrefixes.push(request.prefix);
    const ruleResponse = this.rule?.(request) ?? null;
    if (request.kind === "watch" && request.waitMs > 0 && !isTimeout(ruleResponse))
      this.#openWatches.push({ id, request, openedAt: now });
    else if (ruleResponse === "hang") this.hangingCalls.push({ id, call: request });
    else if (ruleResponse !== null) this.#respond(id, ruleResponse);
    else if (request.kind === "watch")
      this.#respond(id, this.#store.changesSince(request.prefix, request.after) ?? this.#noChanges());
    else this.#respond(id, this.#store.run(request, now));
  }

  /** Lets leases expire and answers watches that have something to say; called with each step of time. */
  step(now: number): void {
    this.#store.expire(now);
    for (const watch of this.#openWatches.splice(0)) {
      const { id, request, openedAt } = watch;
      // Where calls are refused, open watches wait.
      const isOpen = (this.rule?.(request) ?? null) === null;
      const changes = isOpen ? this.#store.changesSince(request.prefix, request.after) : null;
      if (changes) this.#respond(id, changes);
      else if (isOpen && now >= openedAt + request.waitMs) this.#respond(id, this.#noChanges());
      else this.#openWatches.push(watch);
    }
  }

  #noChanges(): StoreResponse {
    return { kind: "events", events: [], revision: this.#store.revision };
  }
}

function isTimeout(ruleResponse: StoreResponse | "hang" | null): boolean {
  return ruleResponse !== null && ruleResponse !== "hang" && ruleResponse.kind === "timeout";
}
