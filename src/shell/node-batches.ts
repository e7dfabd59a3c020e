/** Entries that wait to be sent together, by the node they go to. */
export class NodeBatches<Entry> {
  readonly #byNode = new Map<string, Entry[]>();

  /** Appends an entry; true if it is the first of its batch. */
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

  /** Puts back a batch that could not be sent; only for a node whose batch was taken and that got no entry since. */
  restore(node: string, batch: Entry[]): void {
    this.#byNode.set(node, batch);
  }

  /** Sends every batch, in the order in which the nodes got their first entry, and empties them. */
  sendAll(send: (node: string, batch: readonly Entry[]) => void): void {
    for (const [node, batch] of this.#byNode) send(node, batch);
    this.#byNode.clear();
  }
}
