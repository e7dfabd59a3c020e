import type { Admission, Decision } from "../../admission/admission.js";
import type { Context } from "../context.js";
import type { StoreEntry, VersionCondition } from "../messages/store.js";
import type { JobStatus, UserResponse } from "../messages/users.js";
import type { JobSpec } from "../model/job-spec.js";
import { fitsMachineType } from "../model/machine.js";
import { times } from "../model/resources.js";
import type { ConfigWatch } from "../store/config-watch.js";
import { cancelledRecord, fitsRecord, type JobRecord, KEYS, newJobRecord } from "../store/records.js";
import { type Found, JobLookup, viewOfEnd } from "./job-lookup.js";
import { RejectionBatch } from "./rejection-batch.js";

const CALL_MS = 1500;
const TRIES = 4;

export interface JobRequestEvents {
  /** This node has written a job's key: accepted it, or cancelled it. */
  onJobWritten(item: StoreEntry, cancelled: boolean): void;
  /** True while a node that knows nothing of jobs that wait for others may lead. */
  isOlderPeerAlive(): boolean;
  /** Counts for display. */
  progressOf(uid: string): { done: number; running: number } | null;
}

type Answer = (answer: UserResponse) => void;

interface Poll {
  readonly uid: string;
  readonly answer: Answer;
}

/** With what its answer rests on as of the comparison: a record that is read meanwhile must not vouch for it. */
interface ComparedPoll extends Poll {
  readonly conditions: readonly VersionCondition[];
}

type Refusal = Extract<UserResponse, { kind: "unsatisfiable" | "unavailable" | "invalid" | "throttled" }>;

const UNANSWERED = "the state service does not answer";

/**
 * Users' requests, on every node, whoever leads. Each answer rests on the state service: what was
 * accepted, done or cancelled is durable before it is said, and what is read is never older.
 */
export class JobRequests {
  readonly #ctx: Context;
  readonly #view: ConfigWatch;
  readonly #events: JobRequestEvents;
  readonly #lookup: JobLookup;
  /** Null where fair admission is not switched on. */
  readonly #admission: Admission | null;
  readonly #refusals: RejectionBatch;
  /** Polls of unfinished jobs that wait to be answered together. */
  #gathered: Poll[] = [];

  constructor(ctx: Context, view: ConfigWatch, events: JobRequestEvents, admission: Admission | null) {
    this.#ctx = ctx;
    this.#view = view;
    this.#events = events;
    this.#admission = admission;
    this.#lookup = new JobLookup(ctx);
    this.#refusals = new RejectionBatch(ctx, {
      onPossiblyKnown: ({ uid, response: refusal, respond: answer }) =>
        this.#refuseUnlessKnown(uid, refusal, answer),
      onStoreUnavailable: ({ respond: answer }) => answer(unavailable(UNANSWERED)),
    });
  }

  /* ---- submissions ---- */

  submit(uid: string, spec: JobSpec | string, answer: Answer): void {
    const basis = this.#lookup.basis(uid);
    if (basis.kind === "over") {
      answer({ kind: "accepted", known: true, status: viewOfEnd(uid, basis.end) });
      return;
    }
    if (typeof spec === "string") this.#refuseUnlessKnown(uid, { kind: "invalid", error: spec }, answer);
    else {
      this.#refusal(spec, (refusal) => {
        if (refusal === null) this.#admit(spec, answer);
        else this.#refuseUnlessKnown(uid, refusal, answer);
      });
    }
  }

  /** A repeat of a job that this node knows is no new one; it needs no permit. */
  #admit(spec: JobSpec, answer: Answer): void {
    const isNew = this.#lookup.basis(spec.uid).kind === "unread";
    const decision = isNew ? this.#admission?.decide(spec.uid, spec.team) : undefined;
    if (decision?.kind !== "wait") {
      this.#write(spec, answer, decision);
      return;
    }
    const error = `the share of ${spec.team} is used up for now`;
    const refusal: Refusal = { kind: "throttled", error, retryAfterS: decision.afterS };
    this.#refusals.add({ uid: spec.uid, response: refusal, respond: answer });
  }

  /** Answers those that were turned away since the last tick. */
  flushRejections(): void {
    this.#refusals.flush();
  }

  /** A known job is never turned away, whatever its repeated submission looks like now. */
  #refuseUnlessKnown(uid: string, refusal: UserResponse, answer: Answer): void {
    this.#lookup.find(uid, (found) => {
      if (found === null) answer(unavailable(UNANSWERED));
      else if (found.kind === "notFound") answer(refusal);
      else this.#acceptedAlready(uid, found, answer);
    });
  }

  #acceptedAlready(uid: string, found: Exclude<Found, null | { kind: "notFound" }>, answer: Answer): void {
    this.#readView(uid, found, (view) => {
      answer(view ? { kind: "accepted", known: true, status: view } : unavailable(UNANSWERED));
    });
  }

  #write(spec: JobSpec, answer: Answer, taken?: Extract<Decision, { kind: "take" }>): void {
    const { uid } = spec;
    const record = newJobRecord(spec, Math.round(this.#ctx.wallMs));
    const conditions = [
      { key: KEYS.job(uid), version: 0 },
      { key: KEYS.final(uid), version: 0 },
    ];
    const changes = [{ put: KEYS.job(uid), value: record }];
    this.#ctx.callStore({ kind: "transaction", conditions, changes }, CALL_MS, (result) => {
      // Without an answer it may have been accepted.
      if (taken && result.kind !== "ok" && result.kind !== "timeout")
        this.#admission?.notAccepted(spec.team, taken.spent);
      if (result.kind === "ok") {
        this.#lookup.note(uid, result.revision, record);
        this.#events.onJobWritten({ key: KEYS.job(uid), value: record, version: result.revision }, false);
        const cancelled = this.#lookup.basis(uid).kind === "cancelled";
        answer({ kind: "accepted", known: false, status: this.#viewOf(uid, cancelled) });
      } else if (result.kind === "conflict") {
        this.#lookup.find(uid, (found) => {
          if (found === null || found.kind === "notFound") answer(unavailable(UNANSWERED));
          else this.#acceptedAlready(uid, found, answer);
        });
      } else if (result.kind === "invalid") {
        this.#refuseUnlessKnown(uid, tooLarge(), answer);
      } else {
        answer(unavailable(UNANSWERED));
      }
    });
  }

  /** Why a job can't be accepted, or why this node can't tell yet; null if it can. */
  #refusal(spec: JobSpec, then: (refusal: Refusal | null) => void): void {
    const refusal = this.#misfit(spec);
    if (refusal || !spec.awaits) then(refusal);
    else if (this.#events.isOlderPeerAlive()) then(unavailable("a node is yet to be upgraded"));
    else this.#refusalOfNeeds(spec.awaits, then);
  }

  #misfit(spec: JobSpec): Refusal | null {
    const team = this.#ctx.deployment.teams.find((t) => t.name === spec.team);
    if (!team) return { kind: "unsatisfiable", error: `crew: there is no team ${spec.team}` };
    if (this.#view.machineTypes.length === 0) return unavailable("the machine types are not known yet");
    const suits = this.#view.machineTypes.some(
      (type) => fitsMachineType(spec, type) && (spec.zone === null || type.zones.includes(spec.zone)),
    );
    if (!suits) return { kind: "unsatisfiable", error: "racks: a task fits no allowed machine type" };
    const atOnce = spec.shape === "array" ? 1 : spec.tasks;
    const room = times({ cpu: spec.need.cpu, gpu: spec.need.gpu, ram: 0 }, team.limit);
    if (room < atOnce)
      return { kind: "unsatisfiable", error: `pieces: the job needs more than the limit of ${team.name}` };
    return fitsRecord(spec, this.#ctx.wallMs, this.#ctx.limits.valueBytes) ? null : tooLarge();
  }

  /** Each job that is named must have been accepted, by any node, and must not be a service. */
  #refusalOfNeeds(needs: readonly string[], then: (refusal: Refusal | null) => void): void {
    const unread = needs.filter((uid) => this.#lookup.isService(uid) === undefined);
    let waiting = unread.length;
    let refusal: Refusal | null = null;
    const decide = () => {
      const service = needs.find((uid) => this.#lookup.isService(uid) === true);
      if (refusal === null && service !== undefined)
        refusal = { kind: "unsatisfiable", error: `awaits: ${service} is a service` };
      then(refusal);
    };
    if (waiting === 0) decide();
    for (const uid of unread) {
      this.#lookup.find(uid, (found) => {
        if (found === null) refusal ??= unavailable(UNANSWERED);
        else if (found.kind === "notFound")
          refusal = { kind: "unsatisfiable", error: `awaits: there is no job ${uid}` };
        if (--waiting === 0) decide();
      });
    }
  }

  /* ---- questions ---- */

  poll(uid: string, answer: Answer): void {
    if (this.#answerFromMemory(uid, answer)) return;
    this.#gathered.push({ uid, answer });
    if (this.#gathered.length >= this.#mostConditions) this.flushPolls();
  }

  /** What never changes is answered without asking, and what this node has not read is read. */
  #answerFromMemory(uid: string, answer: Answer): boolean {
    const basis = this.#lookup.basis(uid);
    if (basis.kind === "over") answer({ kind: "status", status: viewOfEnd(uid, basis.end) });
    else if (basis.kind === "cancelled") answer({ kind: "status", status: this.#viewOf(uid, true) });
    else if (basis.kind === "unread") this.#read(uid, answer);
    return basis.kind !== "versions";
  }

  get #mostConditions(): number {
    return this.#ctx.limits.txnConditions;
  }

  /**
   * Answers the gathered polls with transactions that only compare: where the versions of a job, and of those it needs,
   * are still those that this node has read, no node can have told anything newer. One read for each poll took half of
   * the state service's requests.
   */
  flushPolls(): void {
    const polls = this.#gathered;
    this.#gathered = [];
    let together: ComparedPoll[] = [];
    let conditions = new Map<string, number>();
    for (const poll of polls) {
      // Since it was gathered the job may have been read as over: a comparison with nothing to compare would hold.
      if (this.#answerFromMemory(poll.uid, poll.answer)) continue;
      const basis = this.#lookup.basis(poll.uid);
      if (basis.kind !== "versions" || basis.conditions.length > this.#mostConditions) {
        this.#read(poll.uid, poll.answer);
        continue;
      }
      const added = basis.conditions.filter(({ key }) => !conditions.has(key));
      if (conditions.size + added.length > this.#mostConditions) {
        this.#compare(together, conditions);
        together = [];
        conditions = new Map();
      }
      for (const { key, version } of basis.conditions) conditions.set(key, version);
      together.push({ ...poll, conditions: basis.conditions });
    }
    if (together.length > 0) this.#compare(together, conditions);
  }

  #compare(polls: readonly ComparedPoll[], versions: ReadonlyMap<string, number>): void {
    const conditions = [...versions].map(([key, version]) => ({ key, version }));
    this.#ctx.callStore({ kind: "transaction", conditions, changes: [] }, CALL_MS, (result) => {
      const failed = new Set(result.kind === "conflict" ? result.failed : []);
      for (const { uid, answer, conditions: needed } of polls) {
        const holds = !needed.some(({ key }) => failed.has(key));
        if (result.kind !== "ok" && result.kind !== "conflict") answer(unavailable(UNANSWERED));
        else if (holds) answer({ kind: "status", status: this.#viewOf(uid, false) });
        else this.#read(uid, answer);
      }
    });
  }

  #read(uid: string, answer: Answer): void {
    this.#lookup.find(uid, (found) => {
      if (found === null) answer(unavailable(UNANSWERED));
      else if (found.kind === "notFound") answer({ kind: "notFound" });
      else {
        this.#readView(uid, found, (view) => {
          answer(view ? { kind: "status", status: view } : unavailable(UNANSWERED));
        });
      }
    });
  }

  /* ---- cancellations ---- */

  cancel(uid: string, answer: Answer, tries = TRIES): void {
    this.#lookup.find(uid, (found) => {
      if (found === null) answer(unavailable(UNANSWERED));
      else if (found.kind === "notFound") answer({ kind: "notFound" });
      else if (found.kind === "over") answer({ kind: "status", status: viewOfEnd(uid, found.end) });
      else if (found.record.state === "cancelled")
        answer({ kind: "status", status: this.#viewOf(uid, true) });
      else this.#writeCancelled(uid, found.item, found.record, answer, tries);
    });
  }

  #writeCancelled(
    uid: string,
    item: StoreEntry,
    record: JobRecord,
    answer: Answer,
    tries: number,
    valueBytes = this.#ctx.limits.valueBytes,
  ): void {
    const value = cancelledRecord(record, valueBytes);
    const conditions = [{ key: item.key, version: item.version }];
    this.#ctx.callStore(
      { kind: "transaction", conditions, changes: [{ put: item.key, value }] },
      CALL_MS,
      (result) => {
        if (result.kind === "ok") {
          this.#lookup.note(uid, result.revision, value);
          this.#events.onJobWritten({ key: item.key, value, version: result.revision }, true);
          answer({ kind: "status", status: this.#viewOf(uid, true) });
        } else if (result.kind === "conflict" && tries > 1) {
          // It was completed, or cancelled, at the same moment: the key tells which.
          this.cancel(uid, answer, tries - 1);
        } else if (result.kind === "invalid" && valueBytes > 0) {
          // Too large, for a limit that nobody has told of: as small as it can be.
          this.#writeCancelled(uid, item, record, answer, tries, 0);
        } else {
          answer(unavailable(UNANSWERED));
        }
      },
    );
  }

  /* ---- answers ---- */

  /** Null if what the job needs could not be read. */
  #readView(
    uid: string,
    found: Exclude<Found, null | { kind: "notFound" }>,
    then: (view: JobStatus | null) => void,
  ): void {
    if (found.kind === "over") then(viewOfEnd(uid, found.end));
    else {
      this.#lookup.isCancelled(found.record, (cancelled) => {
        then(cancelled === null ? null : this.#viewOf(uid, cancelled));
      });
    }
  }

  #viewOf(uid: string, cancelled: boolean): JobStatus {
    const { done, running } = this.#events.progressOf(uid) ?? { done: 0, running: 0 };
    if (cancelled) return { uid, phase: "cancelled", done, running };
    const view = { uid, phase: running > 0 ? "running" : "queued", done, running } as const;
    const awaits = this.#lookup.unfinishedNeeds(uid);
    return awaits.length > 0 ? { ...view, awaits } : view;
  }
}

function tooLarge(): Refusal {
  return { kind: "invalid", error: "body: the job's description is too large to be kept" };
}

export function unavailable(error: string, afterS = 1): Extract<UserResponse, { kind: "unavailable" }> {
  return { kind: "unavailable", error, retryAfterS: afterS };
}
