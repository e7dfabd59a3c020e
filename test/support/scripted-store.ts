import type { StoreRequest, StoreResponse, WatchRequest } from "../../src/core/messages/store.js";
import type { FakeStore } from "./fake-store.js";

/** Decides the outcome of a call: a given response, no response, or for null the response of the fake store. */
export type StoreRule = (request: StoreRequest) => StoreResponse | "hang" | null;

/** Delivers the response to a call to the controller. */
export type RespondToStoreCall = (id: number, response: StoreResponse) => void;

/** A call that gets no response unless the test sends one. */
export interface HangingCall {
  readonly id: number;
  readonly call: StoreRequest;
}

interface OpenWatch {
  readonly id: number;
  readonly request: WatchRequest;
  readonly openedAt: number;
}

/** Passes the calls of one controller to a fake store. Responses are immediate unless a test rule overrides them. */
export class ScriptedStore {
  rule: StoreRule | null = null;
  readonly hangingCalls: HangingCall[] = [];
  /** The prefixes of all list calls, in order. */
  readonly listedPrefixes: string[] = [];
  readonly #store: FakeStore;
  readonly #respond: RespondToStoreCall;
  readonly #openWatches: OpenWatch[] = [];

  constructor(store: FakeStore, respond: RespondToStoreCall) {
    this.#store = store;
    this.#respond = respond;
  }

  /** Handles a call; a watch with a wait time stays open until `step` responds to it. */
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

  /** Expires leases and responds to open watches that have changes or have timed out; called on each tick. */
  step(now: number): void {
    this.#store.expire(now);
    for (const watch of this.#openWatches.splice(0)) {
      const { id, request, openedAt } = watch;
      // Open watches wait while the rule overrides their responses.
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
