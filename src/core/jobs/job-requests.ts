import type { Admission } from "../../admission/admission.js";
import type { Context } from "../context.js";
import type { StoreEntry } from "../messages/store.js";
import type { SubmittedSpec } from "../messages/users.js";
import type { ConfigWatch } from "../store/config-watch.js";
import { CancellationHandler } from "./cancellation.js";
import { JobLookup } from "./job-lookup.js";
import { JobStatusReader, type ProgressOf } from "./job-status-reader.js";
import { PollHandler } from "./polling.js";
import type { Respond } from "./responses.js";
import { SubmissionHandler } from "./submission.js";
import { SubmissionValidator } from "./submission-validator.js";

/** Queries and callbacks from {@link JobRequests} to its node. */
export interface JobRequestCallbacks {
  /** Called when this node has written a job's record, to accept or to cancel the job. */
  onJobWritten(entry: StoreEntry, cancelled: boolean): void;
  /** True while a node of the previous version, which does not support job dependencies, may lead. */
  isOlderPeerAlive(): boolean;
  /** Returns the job's progress counts for display; null if this node has none. */
  readonly progressOf: ProgressOf;
}

/**
 * Serves users' requests about jobs. Every node does so, whether or not it leads, as each response is based on the
 * store alone. The states accepted, done and cancelled are written to the store before they are reported to a user, and
 * no node reports a state older than one that any node has already reported (I8).
 */
export class JobRequests {
  readonly #submissions: SubmissionHandler;
  readonly #polls: PollHandler;
  readonly #cancellations: CancellationHandler;

  /** `admission` is null if fair admission is disabled. */
  constructor(
    ctx: Context,
    config: ConfigWatch,
    callbacks: JobRequestCallbacks,
    admission: Admission | null,
  ) {
    const lookup = new JobLookup(ctx);
    const statuses = new JobStatusReader(lookup, callbacks.progressOf);
    const validator = new SubmissionValidator({
      ctx,
      config,
      lookup,
      isOlderPeerAlive: () => callbacks.isOlderPeerAlive(),
    });
    this.#submissions = new SubmissionHandler({
      ctx,
      lookup,
      statuses,
      validator,
      admission,
      onJobAccepted: (entry) => callbacks.onJobWritten(entry, false),
    });
    this.#polls = new PollHandler(ctx, lookup, statuses);
    this.#cancellations = new CancellationHandler({
      ctx,
      lookup,
      statuses,
      onJobCancelled: (entry) => callbacks.onJobWritten(entry, true),
    });
  }

  /** Submits a job. A repeated submission gets the job's current status, even if it is malformed. */
  submit(uid: string, submitted: SubmittedSpec, respond: Respond): void {
    this.#submissions.submit(uid, submitted, respond);
  }

  /** Sends the rejections collected since the last call. Must be called once per tick. */
  flushRejections(): void {
    this.#submissions.flushRejections();
  }

  /** Responds with a job's status, possibly only at the next `flushPolls`. */
  poll(uid: string, respond: Respond): void {
    this.#polls.poll(uid, respond);
  }

  /** Answers the polls collected since the last call. Must be called once per tick. */
  flushPolls(): void {
    this.#polls.flush();
  }

  /** Cancels a job and all its dependents. */
  cancel(uid: string, respond: Respond): void {
    this.#cancellations.cancel(uid, respond);
  }
}
