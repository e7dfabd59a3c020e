/** Counts requests in each second of virtual time. */
export class RequestMeter {
  #second = -1;
  #inSecond = 0;
  /** The most in any second. */
  peakPerSecond = 0;
  total = 0;

  /** Counts one request at this time. */
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
