/**
 * What nodes tell each other about admission, as an optional part of their heartbeats that older versions ignore.
 * Times are durations, so that no two clocks need to agree. src/protocol/admission.ts has their wire form.
 */

/** From a node to its peers. Demand and permits concern the leader alone, reservations concern every node. */
export interface AdmissionReport {
  /** The node's incarnation: another one after each start, whose counts begin at zero. */
  readonly incarnation: string;
  /** Numbers the reports of this incarnation; a permit lease names the report that it answers. */
  readonly sequence: number;
  /** The last permit lease that the node applied, with its fencing token; 0 before the first. */
  readonly acknowledgedLease: number;
  readonly acknowledgedToken: number;
  readonly teams: readonly TeamReport[];
  /** New retry reservations: a rejected submission may be repeated in so many milliseconds, at any node. */
  readonly newReservations: readonly ReservationNotice[];
  /** Submissions accepted here on a reservation of another node, which spends the permit. */
  readonly redeemedReservations: readonly string[];
}

/** One team's demand and permits at a node. */
export interface TeamReport {
  readonly team: string;
  /** Peak demand: the most submissions that lately asked for admission between two reports. */
  readonly peakDemand: number;
  /** Unspent permits; below 0 where the node has honoured reservations beyond its permits. */
  readonly held: number;
  /** Reservations of this node that stand; it keeps permits for them, or will. */
  readonly reserved: number;
  /** Permits spent since the incarnation started. */
  readonly spent: number;
}

/** A retry reservation, as peers learn of it. */
export interface ReservationNotice {
  readonly uid: string;
  /** Milliseconds until the submission may be repeated. */
  readonly dueInMs: number;
}

/** From the leader to one node: permits that are added to those it holds, and the time to live of all of them. */
export interface PermitLease {
  /** The leader's fencing token. */
  readonly fencingToken: number;
  readonly id: number;
  /** The sequence number of the report that it answers: `ttlMs` counts from when the node sent that report. */
  readonly reportSequence: number;
  readonly ttlMs: number;
  readonly permits: readonly TeamPermits[];
}

/** The part of a permit lease that concerns one team. */
export interface TeamPermits {
  readonly team: string;
  /** Permits added. */
  readonly count: number;
  /** Admissions a second that the node can expect from now on; 0 where they depend on when other jobs end. */
  readonly ratePerS: number;
}

/** The admission part of a heartbeat. */
export interface AdmissionMessage {
  readonly report: AdmissionReport;
  /** Present in heartbeats of the leader only. */
  readonly lease?: PermitLease | undefined;
}
