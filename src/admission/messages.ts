/**
 * What the nodes say to each other about admission, as an optional part of their heartbeats: the version before ignores
 * it. Times are durations, so that clocks need not agree.
 */

/** A node to its peers. Only the leader makes use of counts and permits; promises concern every node. */
export interface AdmissionReport {
  /** Another one after each start of the node: its counts begin anew. */
  readonly process: string;
  /** Counts this process's reports; a slice names the one that it answers. */
  readonly sequence: number;
  /** The last slice that the node has taken over, and the token it was issued under; 0 before the first. */
  readonly slice: number;
  readonly sliceToken: number;
  readonly teams: readonly TeamReport[];
  /** New promises: a submission that was refused may come back after so many milliseconds, to any node. */
  readonly promises: readonly PromiseReport[];
  /** Promises of other nodes that this one has kept: the permit is spent by the node that gave it. */
  readonly kept: readonly string[];
}

export interface TeamReport {
  readonly team: string;
  /** The most submissions that lately asked to be accepted between two reports. */
  readonly asked: number;
  /** Permits that the node holds; below 0 where it has kept promises beyond them. */
  readonly held: number;
  /** Submissions that it has told to come back, and for which it keeps permits or will. */
  readonly promised: number;
  /** Permits spent since the process started. */
  readonly spent: number;
}

export interface PromiseReport {
  readonly uid: string;
  readonly inMs: number;
}

/** The leader to one node: permits added to those that it holds, and how long all of them are valid. */
export interface AdmissionSlice {
  readonly token: number;
  readonly id: number;
  /** The sequence of the report that it answers: the node counts `lifeMs` from when it sent that one. */
  readonly answers: number;
  readonly lifeMs: number;
  readonly permits: readonly TeamSlice[];
}

export interface TeamSlice {
  readonly team: string;
  readonly count: number;
  /** How many jobs of the team the node can expect to be let in a second; 0 where that depends on when others end. */
  readonly ratePerS: number;
}

export interface AdmissionNote {
  readonly report: AdmissionReport;
  /** Absent in what a node sends that does not lead. */
  readonly slice?: AdmissionSlice | undefined;
}
