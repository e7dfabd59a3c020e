import { randomInt, seededRandom } from "../../src/core/random.js";
import { EventQueue } from "./event-queue.js";

/**
 * Discrete-event simulation with virtual time in milliseconds and a single random number generator. Runs are identical
 * if the seed, the draws and their order are the same; the recorded trace digests depend on this.
 */
export class Simulation {
  now = 0;
  readonly #random;
  readonly #events = new EventQueue();
  #nextRequestId = 1;

  constructor(seed: number) {
    this.#random = seededRandom(seed);
  }

  /** Returns true with the given probability. Always consumes one draw. */
  chance(probability: number): boolean {
    return randomInt(this.#random, 0, 999_999) < probability * 1_000_000;
  }

  /** Returns a random integer from `least` to `most`, both inclusive. Always consumes one draw. */
  between(least: number, most: number): number {
    return randomInt(this.#random, least, most);
  }

  /** Schedules a callback `delayMs` from now. */
  after(delayMs: number, run: () => void): void {
    this.#events.add(this.now + delayMs, run);
  }

  /** Schedules a callback once per period, first after one period. */
  every(periodMs: number, run: () => void): void {
    const runAndReschedule = () => {
      run();
      this.after(periodMs, runAndReschedule);
    };
    this.after(periodMs, runAndReschedule);
  }

  /** Runs all events up to and including `untilMs`; `now` is then the time of the last event run. */
  run(untilMs: number): void {
    while (this.#events.nextAt <= untilMs) {
      const event = this.#events.next();
      if (!event) return;
      this.now = event.at;
      event.run();
    }
  }

  /** Returns a request id that is unique within the run, across all senders. */
  nextRequestId(): number {
    return this.#nextRequestId++;
  }
}
