import type { Admission, Decision } from "../../admission/admission.js";
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

/** What a {@link SubmissionHandler} is made of. */
export interface SubmissionOptions {
  readonly ctx: Context;
  readonly lookup: JobLookup;
  readonly statuses: JobStatusReader;
  readonly validator: SubmissionValidator;
  /** Null where fair admission is not switched on. */
  readonly admission: Admission | null;
  /** This node has written the record of a job that it accepted. */
  readonly onJobAccepted: (entry: StoreEntry) => void;
}

type AdmittedDecision = Extract<Decision, { kind: "take" }>;

/** A submission that is being written. */
interface PendingWrite {
  readonly spec: JobSpec;
  readonly record: JobRecord;
  readonly respond: Respond;
  /** What admission decided; undefined for a repetition, which it is not asked about. */
  readonly admitted: AdmittedDecision | undefined;
}

/**
 * Accepts submissions, on every node. A submission is idempotent: the job's key decides, by one conditioned write
 * (I8), and a job that was accepted once is answered as accepted, however its repetition looks.
 */
export class SubmissionHandler {
  readonly #ctx: Context;
  readonly #lookup: JobLookup;
  readonly #statuses: JobStatusReader;
  readonly #validator: SubmissionValidator;
  readonly #admission: Admission | null;
  readonly #onJobAccepted: (entry: StoreEntry) => void;
  readonly #rejections: RejectionBatch;

  constructor({ ctx, lookup, statuses, validator, admission, onJobAccepted }: SubmissionOptions) {
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

  /** Handles a submission. A malformed one of a known job gets that job's status. */
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

  /** Sends the rejections gathered since the last call; to be called once a tick. */
  flushRejections(): void {
    this.#rejections.flush();
  }

  /** Asks admission about a job that is new to this node; a repetition needs no permit. */
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

  /** Rejects a submission once the store has proved that its job was not accepted before. */
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
    // After a timeout the job may have been accepted: its permit stays spent.
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
