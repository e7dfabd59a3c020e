/**
 * The faults of a day. Unless said otherwise each is the probability, in every second of the troubled part of the day, that
 * the fault begins.
 */
export interface FaultRates {
  /** A controller ends and is back after 0.2 or 4 s; a quarter as often all of them end together. */
  readonly crash: number;
  /** A controller loses everybody, the store or the agents, or is refused by the store; packets are lost or delayed. */
  readonly partition: number;
  /** The key-value store is unavailable to all. */
  readonly outage: number;
  /** An agent hangs; as often, a machine is cut off from all controllers. */
  readonly hang: number;
  /** The cloud takes a machine back, half of the time with a notice of 10 s. */
  readonly reclaim: number;
  /** The probability, in each step of 100 ms, that a running task fails. */
  readonly taskError: number;
  /** An agent's heartbeats arrive while nothing reaches it. */
  readonly oneWayPartition: number;
  /** The part of all heartbeats of which a duplicate arrives late, at any controller. */
  readonly lateDuplicates: number;
  /** A controller loses the store and its peers, but not the agents. */
  readonly isolation: number;
  /** Controllers are back within a fraction of a second, also twice in a row and all together. */
  readonly quickRestart: number;
  /** A controller stands still for longer than a lease, and goes on where it was. */
  readonly pause: number;
  /** Many machines at once end, hang, are reclaimed or are cut off with their zone, mostly with a controller's crash. */
  readonly massFailure: number;
  /** The store is down, then all controllers restart, one after the other, and all again. */
  readonly rollingRestart: number;
  /** Two or three faults within seconds, most of them of the leader, while users cancel. */
  readonly compoundFault: number;
  /** The part of all jobs that are cancelled at the very moment of their end. */
  readonly cancelAtCompletion: number;
  /** Controllers begin with the old version, are upgraded one after the other, and then the store's limits fall. */
  readonly upgrade: boolean;
}

/** A day without any trouble: others are made from it. */
export const NO_FAULTS: FaultRates = {
  crash: 0,
  partition: 0,
  outage: 0,
  hang: 0,
  reclaim: 0,
  taskError: 0,
  oneWayPartition: 0,
  lateDuplicates: 0,
  isolation: 0,
  quickRestart: 0,
  pause: 0,
  massFailure: 0,
  rollingRestart: 0,
  compoundFault: 0,
  cancelAtCompletion: 0,
  upgrade: false,
};
