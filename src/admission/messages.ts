/**
 * Admission messages between nodes, sent as an optional part of peer heartbeats that the previous version ignores.
 * Times are durations, so clocks need not be synchronized. src/protocol/admission.ts defines the wire form.
 */

/** Sent by a node to all peers. Only the leader uses demand and permits; every node uses the reservations. */
export interface AdmissionReport {
  /** The node's incarnation. It changes with each start, and all counts restart at zero. */
  readonly incarnation: string;
  /** Sequence number of the report within this incarnation; a permit lease refers to the report that it answers. */
  readonly sequence: number;
  /** Id and fencing token of the last permit lease that the node applied; 0 before the first. */
  readonly acknowledgedLease: number;
  readonly acknowledgedToken: number;
  readonly teams: readonly TeamReport[];
  /** New retry reservations. The rejected submission may be retried at any node. */
  readonly newReservations: readonly ReservationNotice[];
  /** Submissions accepted at this node under another node's reservation; that other node spends the permit. */
  readonly redeemedReservations: readonly string[];
}

/** The demand and permits of one team at one node. */
export interface TeamReport {
  readonly team: string;
  /** Decaying maximum of submissions between two reports. */
  readonly peakDemand: number;
  /** Unspent permits; negative if the node honored more reservations than it held permits for. */
  readonly held: number;
  /** Outstanding reservations made by this node. It earmarks a permit for each shortly before it is due. */
  readonly reserved: number;
  /** Permits spent since the start of the incarnation. */
  readonly spent: number;
}

/** A retry reservation as announced to peers. */
export interface ReservationNotice {
  readonly uid: string;
  /** Milliseconds until the submission may be retried. */
  readonly dueInMs: number;
}

/** Sent by the leader to one node: permits to add to those it holds, and the TTL of all permits that it then holds. */
export interface PermitLease {
  /** Fencing token of the leader. */
  readonly fencingToken: number;
  readonly id: number;
  /** Sequence number of the report that this lease answers; `ttlMs` counts from when the node sent that report. */
  readonly reportSequence: number;
  readonly ttlMs: number;
  readonly permits: readonly TeamPermits[];
}

/** The permits of one team in a permit lease. */
export interface TeamPermits {
  readonly team: string;
  /** Number of permits to add. */
  readonly count: number;
  /** Expected admissions per second at the node; 0 if capacity becomes free only when other jobs end. */
  readonly ratePerS: number;
}

/** The admission part of a peer heartbeat. */
export interface AdmissionMessage {
  readonly report: AdmissionReport;
  /** Only present in heartbeats of the leader. */
  readonly lease?: PermitLease | undefined;
}
