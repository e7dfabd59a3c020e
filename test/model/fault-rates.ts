/**
 * Fault rates of a scenario. Unless noted otherwise, each is the probability that the fault begins in any given second
 * while faults are injected.
 */
export interface FaultRates {
  /** A controller crashes and restarts after 0.2 or 4 s; all controllers crash together a quarter as often. */
  readonly crash: number;
  /**
   * A controller is cut off from everything, from the store or from the agents, or the store refuses its calls. Packets
   * are lost or delayed.
   */
  readonly partition: number;
  /** The key-value store is unavailable to all controllers. */
  readonly outage: number;
  /** An agent hangs; with the same probability a machine is partitioned from all controllers. */
  readonly hang: number;
  /** The cloud reclaims a machine, half of the time with an interruption notice of 10 s. */
  readonly reclaim: number;
  /** Probability that a running task fails in a 100 ms step. */
  readonly taskError: number;
  /** An agent's heartbeats are delivered, but replies and commands to it are lost. */
  readonly oneWayPartition: number;
  /** Fraction of heartbeats that are duplicated; the duplicate arrives late, at any controller. */
  readonly lateDuplicates: number;
  /** A controller is partitioned from the store and its peers, but not from the agents. */
  readonly isolation: number;
  /** Controllers restart within a fraction of a second, possibly twice in a row or all together. */
  readonly quickRestart: number;
  /** A controller process is paused, possibly for longer than a lease, and resumes where it stopped. */
  readonly pause: number;
  /** Many machines crash, hang, are reclaimed or partitioned with their zone, mostly along with a controller crash. */
  readonly massFailure: number;
  /** A store outage; then all controllers restart together, one after the other, and together again. */
  readonly rollingRestart: number;
  /** Two or three faults within seconds, mostly affecting the leader, while users cancel jobs. */
  readonly compoundFault: number;
  /** The leader is partitioned with the agents of a zone, and operators change settings that it cannot learn of. */
  readonly settingsChange: number;
  /** Fraction of jobs that are cancelled at the moment they finish. */
  readonly cancelAtCompletion: number;
  /** A machine becomes faulty: from then on every task that starts on it fails. */
  readonly faultyMachine: number;
  /** Fraction of jobs that are submitted with a mistake: they fail on every machine until their user cancels them. */
  readonly mistakenJob: number;
  /** The cloud creates no machines while faults are injected. */
  readonly fullCloud: boolean;
  /** Controllers start with the previous version and are upgraded one by one; then the store's limits are lowered. */
  readonly upgrade: boolean;
}

/** No faults; the defaults that other scenarios override. */
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
  settingsChange: 0,
  cancelAtCompletion: 0,
  faultyMachine: 0,
  mistakenJob: 0,
  fullCloud: false,
  upgrade: false,
};
