/** Batches of entries to send, by destination node. */
export class NodeBatches<Entry> {
  readonly #byNode = new Map<string, Entry[]>();

  /** Appends an entry; returns true if it is the first of its batch. */
  append(node: string, entry: Entry): boolean {
    const batch = this.#byNode.get(node);
    if (batch) {
      batch.push(entry);
      return false;
    }
    this.#byNode.set(node, [entry]);
    return true;
  }

  /** Removes and returns the batch of one node. */
  take(node: string): Entry[] {
    const batch = this.#byNode.get(node) ?? [];
    this.#byNode.delete(node);
    return batch;
  }

  /** Puts back a batch that was taken but not sent. No entry may have been appended for the node since. */
  restore(node: string, batch: Entry[]): void {
    this.#byNode.set(node, batch);
  }

  /** Sends and removes every batch, in the order of their first entries. */
  sendAll(send: (node: string, batch: readonly Entry[]) => void): void {
    for (const [node, batch] of this.#byNode) send(node, batch);
    this.#byNode.clear();
  }
}
