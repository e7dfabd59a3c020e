import * as v from "valibot";
import type {
  AdmissionMessage,
  AdmissionReport,
  PermitLease,
  ReservationNotice,
  TeamPermits,
  TeamReport,
} from "../admission/messages.js";

/**
 * Encodes and decodes the admission part of a peer heartbeat. Field names on the wire differ from the internal ones and
 * must not change, because two versions communicate during an upgrade. Unknown fields are ignored, as a later version
 * may send them.
 */

const count = v.pipe(v.number(), v.minValue(0));
const teamSchema = v.object({
  team: v.string(),
  asked: count,
  held: v.number(),
  promised: count,
  spent: v.number(),
});
const promiseSchema = v.object({ uid: v.string(), inMs: count });
const permitsSchema = v.object({ team: v.string(), count, ratePerS: count });
const reportSchema = v.object({
  process: v.string(),
  sequence: count,
  slice: count,
  sliceToken: count,
  teams: v.array(teamSchema),
  promises: v.array(promiseSchema),
  kept: v.array(v.string()),
});
const sliceSchema = v.object({
  token: count,
  id: count,
  answers: count,
  lifeMs: count,
  permits: v.array(permitsSchema),
});

/** Schema of the wire form of an admission message. */
export const admissionSchema = v.object({ report: reportSchema, slice: v.optional(sliceSchema) });

/** An admission message in its wire form. */
export type WireAdmission = v.InferOutput<typeof admissionSchema>;
type WireTeam = v.InferOutput<typeof teamSchema>;
type WirePromise = v.InferOutput<typeof promiseSchema>;
type WirePermits = v.InferOutput<typeof permitsSchema>;
type WireReport = v.InferOutput<typeof reportSchema>;
type WireSlice = v.InferOutput<typeof sliceSchema>;

/** Encodes an admission message. */
export function encodeAdmission(message: AdmissionMessage): WireAdmission {
  return { report: encodeReport(message.report), slice: message.lease && encodeLease(message.lease) };
}

/** Decodes an admission message that {@link admissionSchema} has validated. */
export function decodeAdmission(wire: WireAdmission): AdmissionMessage {
  return { report: decodeReport(wire.report), lease: wire.slice && decodeLease(wire.slice) };
}

function encodeReport(report: AdmissionReport): WireReport {
  return {
    process: report.incarnation,
    sequence: report.sequence,
    slice: report.acknowledgedLease,
    sliceToken: report.acknowledgedToken,
    teams: report.teams.map(encodeTeam),
    promises: report.newReservations.map(encodeNotice),
    kept: [...report.redeemedReservations],
  };
}

function decodeReport(wire: WireReport): AdmissionReport {
  return {
    incarnation: wire.process,
    sequence: wire.sequence,
    acknowledgedLease: wire.slice,
    acknowledgedToken: wire.sliceToken,
    teams: wire.teams.map(decodeTeam),
    newReservations: wire.promises.map(decodeNotice),
    redeemedReservations: wire.kept,
  };
}

function encodeTeam(team: TeamReport): WireTeam {
  return {
    team: team.team,
    asked: team.peakDemand,
    held: team.held,
    promised: team.reserved,
    spent: team.spent,
  };
}

function decodeTeam(wire: WireTeam): TeamReport {
  return {
    team: wire.team,
    peakDemand: wire.asked,
    held: wire.held,
    reserved: wire.promised,
    spent: wire.spent,
  };
}

function encodeNotice(notice: ReservationNotice): WirePromise {
  return { uid: notice.uid, inMs: notice.dueInMs };
}

function decodeNotice(wire: WirePromise): ReservationNotice {
  return { uid: wire.uid, dueInMs: wire.inMs };
}

function encodeLease(lease: PermitLease): WireSlice {
  return {
    token: lease.fencingToken,
    id: lease.id,
    answers: lease.reportSequence,
    lifeMs: lease.ttlMs,
    permits: lease.permits.map(encodePermits),
  };
}

function decodeLease(wire: WireSlice): PermitLease {
  return {
    fencingToken: wire.token,
    id: wire.id,
    reportSequence: wire.answers,
    ttlMs: wire.lifeMs,
    permits: wire.permits.map(decodePermits),
  };
}

function encodePermits(permits: TeamPermits): WirePermits {
  return { team: permits.team, count: permits.count, ratePerS: permits.ratePerS };
}

function decodePermits(wire: WirePermits): TeamPermits {
  return { team: wire.team, count: wire.count, ratePerS: wire.ratePerS };
}
