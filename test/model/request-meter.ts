/** Counts requests, in total and per second of virtual time. */
export class RequestMeter {
  #second = -1;
  #inSecond = 0;
  /** Maximum number of requests in any second. */
  peakPerSecond = 0;
  total = 0;

  count(now: number): void {
    const second = Math.floor(now / 1000);
    if (second !== this.#second) {
      this.#second = second;
      this.#inSecond = 0;
    }
    this.#inSecond++;
    this.total++;
    this.peakPerSecond = Math.max(this.peakPerSecond, this.#inSecond);
  }
}
