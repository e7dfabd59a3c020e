import type { Admission, AdmissionDecision } from "../../admission/admission.js";
import type { Context } from "../context.js";
import type { StoreEntry, StoreResponse } from "../messages/store.js";
import type { SubmittedSpec } from "../messages/users.js";
import type { JobSpec } from "../model/job-spec.js";
import { type JobRecord, KEYS, newJobRecord } from "../store/records.js";
import { type FoundJob, type JobLookup, statusOfEnded } from "./job-lookup.js";
import type { JobStatusReader } from "./job-status-reader.js";
import { RejectionBatch } from "./rejection-batch.js";
import { type RejectionResponse, type Respond, recordTooLarge, storeUnavailable } from "./responses.js";
import type { SubmissionValidator } from "./submission-validator.js";

const STORE_TIMEOUT_MS = 1500;

/** The dependencies and the callback of {@link SubmissionHandler}. */
export interface SubmissionHandlerDependencies {
  readonly ctx: Context;
  readonly lookup: JobLookup;
  readonly statuses: JobStatusReader;
  readonly validator: SubmissionValidator;
  /** Null if fair admission is disabled. */
  readonly admission: Admission | null;
  /** Called when this node has accepted a job and written its record. */
  readonly onJobAccepted: (entry: StoreEntry) => void;
}

type AdmittedDecision = Extract<AdmissionDecision, { kind: "admit" }>;

/** A submission whose write is in flight. */
interface PendingWrite {
  readonly spec: JobSpec;
  readonly record: JobRecord;
  readonly respond: Respond;
  /** The admission decision; undefined if admission is disabled, or for a repeated submission, which needs none. */
  readonly admitted: AdmittedDecision | undefined;
}

/**
 * Accepts submissions, on every node. Submissions are idempotent: a single write decides, conditioned on the absence of
 * the job's keys (I8). A repeated submission of an accepted job is answered as accepted, whatever it contains.
 */
export class SubmissionHandler {
  readonly #ctx: Context;
  readonly #lookup: JobLookup;
  readonly #statuses: JobStatusReader;
  readonly #validator: SubmissionValidator;
  readonly #admission: Admission | null;
  readonly #onJobAccepted: (entry: StoreEntry) => void;
  readonly #rejections: RejectionBatch;

  constructor({ ctx, lookup, statuses, validator, admission, onJobAccepted }: SubmissionHandlerDependencies) {
    this.#ctx = ctx;
    this.#lookup = lookup;
    this.#statuses = statuses;
    this.#validator = validator;
    this.#admission = admission;
    this.#onJobAccepted = onJobAccepted;
    this.#rejections = new RejectionBatch(ctx, {
      onPossibleDuplicate: ({ uid, response, respond }) => this.#rejectUnlessAccepted(uid, response, respond),
      onStoreUnavailable: ({ respond }) => respond(storeUnavailable()),
    });
  }

  /** Handles a submission. A malformed submission of a job accepted before gets that job's status. */
  submit(uid: string, submitted: SubmittedSpec, respond: Respond): void {
    const cached = this.#lookup.cachedAnswer(uid);
    if (cached.kind === "ended") {
      respond({ kind: "accepted", known: true, status: statusOfEnded(uid, cached.end) });
      return;
    }
    if (!submitted.ok) {
      this.#rejectUnlessAccepted(uid, { kind: "invalid", error: submitted.error }, respond);
      return;
    }
    const { spec } = submitted;
    this.#validator.validate(spec, (rejection) => {
      if (rejection === null) this.#admit(spec, respond);
      else this.#rejectUnlessAccepted(uid, rejection, respond);
    });
  }

  /** Sends the rejections collected since the last call. Must be called once per tick. */
  flushRejections(): void {
    this.#rejections.flush();
  }

  /** Requests admission for a job that is new to this node. A repeated submission needs no permit. */
  #admit(spec: JobSpec, respond: Respond): void {
    const isNew = this.#lookup.cachedAnswer(spec.uid).kind === "unknown";
    const decision = isNew ? this.#admission?.decide(spec.uid, spec.team) : undefined;
    if (decision?.kind !== "wait") {
      this.#write(spec, respond, decision);
      return;
    }
    const error = `the share of ${spec.team} is used up for now`;
    const response: RejectionResponse = { kind: "throttled", error, retryAfterS: decision.retryAfterS };
    this.#rejections.add({ uid: spec.uid, response, respond });
  }

  /** Rejects a submission if the store shows that its job was not accepted before. */
  #rejectUnlessAccepted(uid: string, rejection: RejectionResponse, respond: Respond): void {
    this.#lookup.find(uid, (result) => {
      if (result.kind === "unavailable") respond(storeUnavailable());
      else if (result.kind === "notFound") respond(rejection);
      else this.#respondDuplicate(uid, result, respond);
    });
  }

  #respondDuplicate(uid: string, job: FoundJob, respond: Respond): void {
    this.#statuses.read(uid, job, (status) => {
      respond(status ? { kind: "accepted", known: true, status } : storeUnavailable());
    });
  }

  #write(spec: JobSpec, respond: Respond, admitted: AdmittedDecision | undefined): void {
    const { uid } = spec;
    const record = newJobRecord(spec, Math.round(this.#ctx.wallMs));
    const conditions = [
      { key: KEYS.job(uid), version: 0 },
      { key: KEYS.final(uid), version: 0 },
    ];
    const changes = [{ put: KEYS.job(uid), value: record }];
    this.#ctx.callStore({ kind: "transaction", conditions, changes }, STORE_TIMEOUT_MS, (result) => {
      this.#onWriteResult({ spec, record, respond, admitted }, result);
    });
  }

  #onWriteResult({ spec, record, respond, admitted }: PendingWrite, result: StoreResponse): void {
    const { uid } = spec;
    // After a timeout the job may have been accepted, so its permit stays spent.
    if (admitted && result.kind !== "ok" && result.kind !== "timeout")
      this.#admission?.rollBack(spec.team, admitted.permitSpent);
    if (result.kind === "ok") {
      this.#lookup.cacheRecord(uid, result.revision, record);
      this.#onJobAccepted({ key: KEYS.job(uid), value: record, version: result.revision });
      const cancelled = this.#lookup.cachedAnswer(uid).kind === "cancelled";
      respond({ kind: "accepted", known: false, status: this.#statuses.unfinishedStatus(uid, cancelled) });
    } else if (result.kind === "conflict") {
      this.#rejectUnlessAccepted(uid, storeUnavailable(), respond);
    } else if (result.kind === "invalid") {
      this.#rejectUnlessAccepted(uid, recordTooLarge(), respond);
    } else {
      respond(storeUnavailable());
    }
  }
}
