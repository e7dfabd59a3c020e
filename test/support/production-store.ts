/** Records written by the production version. */

import { readFileSync } from "node:fs";
import type { StoreEntry } from "../../src/core/messages/store.js";
import { FakeStore } from "./fake-store.js";

export const FIXTURE = new URL("../../../../test/fixtures/production-state.json", import.meta.url);

/** Creates a store with records written by the production version, at the commit named in deploy/service.toml. */
export function productionStore(): FakeStore {
  const { items, revision } = JSON.parse(readFileSync(FIXTURE, "utf8")) as {
    items: StoreEntry[];
    revision: number;
  };
  const store = new FakeStore();
  for (const item of items) store.entries.set(item.key, item);
  store.revision = revision;
  return store;
}
