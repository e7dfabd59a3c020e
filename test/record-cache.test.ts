/** The standby cache matches the stored records for any write history and any delivery of watch events. */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { Context } from "../src/core/context.js";
import type { StoreRequest, StoreResponse, WatchEvent } from "../src/core/messages/store.js";
import { NameRegistry } from "../src/core/model/interner.js";
import { seededRandom } from "../src/core/random.js";
import { type LoadedRecords, RecordReader, type StoredRecords } from "../src/core/store/record-reader.js";
import { CacheFeed } from "../src/standby/cache-feed.js";
import { RecordCache } from "../src/standby/record-cache.js";
import { WarmStart } from "../src/standby/warm-start.js";
import { deployment } from "./support/deployment.js";
import { FakeStore } from "./support/fake-store.js";

/** Few keys, so that the same key is often written, removed and written again. */
const KEYS = ["m/0", "m/1", "m/10", "p/j-1/0", "p/j-1/1", "p/j-2/0.32", "j/j-1", "j/j-2", "j/j-3", "f/j-1"];
const TICK_MS = 500;

type Step =
  | { readonly kind: "put"; readonly key: string; readonly value: number }
  | { readonly kind: "remove"; readonly key: string }
  /** Advances the time and answers the pending requests in the given manner. */
  | { readonly kind: "tick"; readonly delivery: Delivery }
  | { readonly kind: "compact" };

type Delivery = "in order" | "lost" | "hangs" | "duplicated" | "shuffled" | "pages of one";

const delivery = fc.constantFrom<Delivery>(
  "in order",
  "in order",
  "in order",
  "lost",
  "hangs",
  "duplicated",
  "shuffled",
  "pages of one",
);
const key = fc.constantFrom(...KEYS);
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant("put" as const), key, value: fc.nat() }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("remove" as const), key }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant("tick" as const), delivery }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("compact" as const) }) },
);

/** Answers a node's store requests as the steps of a generated history prescribe. */
class StoreReplay {
  readonly store = new FakeStore();
  readonly ctx = new Context(deployment("n1"), new NameRegistry(), seededRandom(1), 0);
  readonly #hanging: { id: number; call: StoreRequest }[] = [];

  write(change: { put: string; value: unknown } | { remove: string }): void {
    this.store.run({ kind: "transaction", conditions: [], changes: [change] }, 0);
  }

  /** Answers requests until none is pending; the retry of a request that timed out is left for the next call. */
  answerAll(delivery: Delivery): void {
    const calls = this.#hanging.splice(0);
    this.#collect(calls);
    for (let pending = calls.shift(); pending; pending = calls.shift()) {
      if (delivery === "hangs") this.#hanging.push(pending);
      else this.#answer(pending.id, pending.call, delivery);
      this.#collect(delivery === "lost" ? this.#hanging : calls);
    }
  }

  #collect(calls: { id: number; call: StoreRequest }[]): void {
    for (const effect of this.ctx.takeEffects())
      if (effect.kind === "callStore") calls.push({ id: effect.id, call: effect.request });
  }

  #answer(id: number, call: StoreRequest, delivery: Delivery): void {
    if (delivery === "lost") {
      this.ctx.onStoreResponse(id, { kind: "timeout" });
      return;
    }
    this.store.pageSize = delivery === "pages of one" ? 1 : 20;
    const response = call.kind === "watch" ? this.#watch(call) : this.store.run(call, 0);
    this.ctx.onStoreResponse(id, distort(response, delivery));
  }

  #watch({ prefix, after }: Extract<StoreRequest, { kind: "watch" }>): StoreResponse {
    const found = this.store.changesSince(prefix, after);
    return found ?? { kind: "events", events: [], revision: this.store.revision };
  }
}

/** Duplicates or reorders the events of a watch response. */
function distort(response: StoreResponse, delivery: Delivery): StoreResponse {
  if (response.kind !== "events") return response;
  const events: readonly WatchEvent[] = response.events;
  if (delivery === "duplicated") return { ...response, events: [...events, ...events] };
  if (delivery === "shuffled") return { ...response, events: [...events].reverse() };
  return response;
}

/** Reads the records as a leader without a standby cache does. */
function readCold(store: FakeStore): StoredRecords {
  const replay = new StoreReplay();
  for (const [name, item] of store.entries) replay.store.entries.set(name, item);
  replay.store.revision = store.revision;
  const results: LoadedRecords[] = [];
  new RecordReader(replay.ctx).load((loaded) => results.push(loaded));
  replay.answerAll("in order");
  assert.ok(results[0]);
  return results[0].records;
}

test("property: for any write history and any delivery, the record cache equals a cold read or is refused", () => {
  let warmStarts = 0;
  fc.assert(
    fc.property(
      fc.array(step, { minLength: 10, maxLength: 120 }),
      fc.array(key, { maxLength: 5 }),
      (steps, lastKeys) => {
        const replay = new StoreReplay();
        const cache = new RecordCache();
        const feed = new CacheFeed(replay.ctx, cache);
        for (const nextStep of steps) {
          if (nextStep.kind === "put") replay.write({ put: nextStep.key, value: nextStep.value });
          else if (nextStep.kind === "remove") replay.write({ remove: nextStep.key });
          else if (nextStep.kind === "compact") replay.store.compactedThrough = replay.store.revision;
          else {
            replay.ctx.now += TICK_MS;
            feed.tick();
            replay.answerAll(nextStep.delivery);
          }
        }
        // Writes before the election that the feed has not received.
        for (const name of lastKeys) replay.write({ put: name, value: -1 });
        feed.stop();
        if (!feed.isComplete) return;
        const refused: string[] = [];
        const loaded: LoadedRecords[] = [];
        const coldReader = new RecordReader(replay.ctx);
        const events = { onConfirmed: () => {}, onRefused: (why: string) => refused.push(why) };
        new WarmStart(replay.ctx, cache, replay.store.revision, coldReader, events).load((records) =>
          loaded.push(records),
        );
        replay.answerAll("in order");

        assert.equal(loaded.length, 1);

        if (refused.length === 0) warmStarts++;
        assert.deepEqual(loaded[0]?.records, readCold(replay.store));
      },
    ),
    { numRuns: 400, seed: 20_261_202 },
  );
  assert.ok(warmStarts > 100, `${warmStarts} of 400 histories had a warm start`);
});
