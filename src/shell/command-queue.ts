import { buffer, Subject } from "rxjs";
import type { Command } from "../core/messages/commands.js";

/** Queues the controller's commands in order. Those pushed in one turn of the event loop are handled as one batch. */
export class CommandQueue {
  readonly #commands = new Subject<Command>();
  readonly #flush = new Subject<void>();
  #isFlushScheduled = false;

  /** Passes every batch from now on to the handler; commands pushed earlier are lost. */
  start(handleBatch: (batch: readonly Command[]) => void): void {
    this.#commands.pipe(buffer(this.#flush)).subscribe(handleBatch);
  }

  /** Appends a command to the next batch. */
  push(command: Command): void {
    this.#commands.next(command);
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    setImmediate(() => {
      this.#isFlushScheduled = false;
      this.#flush.next();
    });
  }
}
