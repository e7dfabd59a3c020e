import { randomInt, seededRandom } from "../../src/core/random.js";
import { EventQueue } from "./event-queue.js";

/**
 * Virtual time, in milliseconds, and the one random generator of a run. Every draw is part of the run: the same seed with
 * the same draws in the same order plays the same day, which the recorded trace digests rely on.
 */
export class Simulation {
  now = 0;
  readonly #random;
  readonly #events = new EventQueue();
  #nextRequestId = 1;

  constructor(seed: number) {
    this.#random = seededRandom(seed);
  }

  /** True with this probability; always one draw. */
  chance(probability: number): boolean {
    return randomInt(this.#random, 0, 999_999) < probability * 1_000_000;
  }

  /** An integer from `least` to `most`, both included; always one draw. */
  between(least: number, most: number): number {
    return randomInt(this.#random, least, most);
  }

  /** Runs something after so many milliseconds. */
  after(delayMs: number, run: () => void): void {
    this.#events.add(this.now + delayMs, run);
  }

  /** Runs something again and again, first after one period. */
  every(periodMs: number, run: () => void): void {
    const runAndReschedule = () => {
      run();
      this.after(periodMs, runAndReschedule);
    };
    this.after(periodMs, runAndReschedule);
  }

  /** Plays all events up to this time; `now` is then the time of the last of them. */
  run(untilMs: number): void {
    while (this.#events.nextAt <= untilMs) {
      const event = this.#events.next();
      if (!event) return;
      this.now = event.at;
      event.run();
    }
  }

  /** An id that no other request of this run has, whoever makes it. */
  nextRequestId(): number {
    return this.#nextRequestId++;
  }
}
