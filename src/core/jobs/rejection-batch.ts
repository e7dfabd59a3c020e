import type { Context } from "../context.js";
import type { UserResponse } from "../messages/users.js";
import { KEYS } from "../store/records.js";

const CALL_MS = 1500;
/** That a job is unknown takes two conditions. */
const CONDITIONS_EACH = 2;

/** A submission that is turned away, unless its job is known already. */
export interface Rejection {
  readonly uid: string;
  readonly response: UserResponse;
  readonly respond: (answer: UserResponse) => void;
}

export interface RejectionEvents {
  /** The job may be known: what is on record decides. */
  onPossiblyKnown(refused: Rejection): void;
  /** The state service could not be asked. */
  onStoreUnavailable(refused: Rejection): void;
}

/**
 * Turns submissions away, many with one comparison: under overload a read or two for each would cost the state service
 * more than accepting them.
 */
export class RejectionBatch {
  readonly #ctx: Context;
  readonly #events: RejectionEvents;
  #gathered: Rejection[] = [];

  constructor(ctx: Context, events: RejectionEvents) {
    this.#ctx = ctx;
    this.#events = events;
  }

  add(refused: Rejection): void {
    this.#gathered.push(refused);
    if (this.#gathered.length >= this.#most) this.flush();
  }

  get #most(): number {
    return Math.floor(this.#ctx.limits.txnConditions / CONDITIONS_EACH);
  }

  /** Those whose jobs have neither key were never accepted. */
  flush(): void {
    const refused = this.#gathered;
    this.#gathered = [];
    if (refused.length === 0) return;
    const conditions = refused.flatMap(({ uid }) => [
      { key: KEYS.job(uid), version: 0 },
      { key: KEYS.final(uid), version: 0 },
    ]);
    this.#ctx.callStore({ kind: "transaction", conditions, changes: [] }, CALL_MS, (result) => {
      const found = new Set(result.kind === "conflict" ? result.failed : []);
      for (const one of refused) {
        if (result.kind !== "ok" && result.kind !== "conflict") this.#events.onStoreUnavailable(one);
        else if (found.has(KEYS.job(one.uid)) || found.has(KEYS.final(one.uid)))
          this.#events.onPossiblyKnown(one);
        else one.respond(one.response);
      }
    });
  }
}
