/** Counts events in each second of virtual time. */
export class Meter {
  #second = -1;
  #count = 0;
  /** The most in any second. */
  most = 0;
  total = 0;

  count(now: number): void {
    const second = Math.floor(now / 1000);
    if (second !== this.#second) {
      this.#second = second;
      this.#count = 0;
    }
    this.#count++;
    this.total++;
    this.most = Math.max(this.most, this.#count);
  }
}
