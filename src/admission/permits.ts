import type { AdmissionSlice } from "./messages.js";
import type { AdmissionPolicy } from "./policy.js";

/** Without a slice a team may save up this many seconds of its floor, and one job at least: this is what a node starts with. */
const FLOOR_BURST_S = 10;

interface TeamPermits {
  held: number;
  /** What the leader expects to be let in here a second; 0 where it can't tell. */
  ratePerS: number;
  /** Since this node started. */
  spent: number;
  /** What may be accepted without a slice. */
  floor: number;
}

/** What one node may accept of each team: the permits it holds while they are valid, then a floor by its own clock. */
export class Permits {
  readonly #teams = new Map<string, TeamPermits>();
  #expiresAt = Number.NEGATIVE_INFINITY;
  #floorAt = Number.NEGATIVE_INFINITY;
  /** The last slice taken over. */
  token = 0;
  slice = 0;

  /** Adds a slice's permits, unless it is older than one that is here. One that comes too late is void at once. */
  take({ token, id, lifeMs, permits }: AdmissionSlice, askedAt: number): void {
    if (token < this.token || (token === this.token && id <= this.slice)) return;
    this.token = token;
    this.slice = id;
    for (const { team, count, ratePerS } of permits) {
      const own = this.#team(team);
      own.held += count;
      own.ratePerS = ratePerS;
    }
    this.#expiresAt = askedAt + lifeMs;
  }

  /** Time passes: permits expire, floors fill. */
  tick(policy: AdmissionPolicy, now: number): void {
    if (now >= this.#expiresAt) this.#void();
    const passedS = Math.max(0, Math.min(FLOOR_BURST_S, (now - this.#floorAt) / 1000));
    this.#floorAt = now;
    for (const { name, floorRate } of policy.teams) {
      const team = this.#team(name);
      const most = Math.max(1, floorRate * FLOOR_BURST_S);
      team.floor = Math.min(most, team.floor + floorRate * passedS);
    }
  }

  /** Gives back what is held beyond this. */
  giveBack(name: string, most: number): void {
    const team = this.#team(name);
    team.held = Math.min(team.held, most);
  }

  isValid(now: number): boolean {
    return now < this.#expiresAt;
  }

  /** How many jobs of a team may be accepted now. */
  available(name: string, now: number): number {
    const { held, floor } = this.#team(name);
    return Math.floor(this.isValid(now) ? held : floor);
  }

  /** Spends a permit, also one that is not there: a promise is kept. */
  spend(name: string, now: number): void {
    const team = this.#team(name);
    team.spent++;
    if (this.isValid(now)) team.held--;
    else team.floor--;
  }

  /** The job was known already: nothing was accepted. */
  unspend(name: string, now: number): void {
    const team = this.#team(name);
    if (this.isValid(now)) team.held++;
    else team.floor++;
  }

  /** How many jobs of a team the leader expects to be let in here a second; 0 where it can't tell. */
  ratePerS(name: string): number {
    return this.#team(name).ratePerS;
  }

  held(name: string): number {
    return this.#team(name).held;
  }

  spent(name: string): number {
    return this.#team(name).spent;
  }

  #void(): void {
    for (const team of this.#teams.values()) team.held = 0;
    this.#expiresAt = Number.NEGATIVE_INFINITY;
  }

  #team(name: string): TeamPermits {
    let team = this.#teams.get(name);
    if (!team) {
      team = { held: 0, ratePerS: 0, spent: 0, floor: Number.POSITIVE_INFINITY };
      this.#teams.set(name, team);
    }
    return team;
  }
}
