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

/** What {@link JobRequests} reports to, and asks of, its node. */
export interface JobRequestEvents {
  /** This node has written a job's record: accepted it, or cancelled it. */
  onJobWritten(entry: StoreEntry, cancelled: boolean): void;
  /** True while a node may lead whose version does not know of dependencies between jobs. */
  isOlderPeerAlive(): boolean;
  /** The job's progress counts for display; null if this node has none. */
  readonly progressOf: ProgressOf;
}

/**
 * Users' requests about jobs. Every node serves them, whether it leads or not: each response rests on the store alone.
 * Accepted, done and cancelled are on record before a user learns of them, and no state that is reported is older than
 * one that any node has reported before (I8).
 */
export class JobRequests {
  readonly #submissions: SubmissionHandler;
  readonly #polls: PollHandler;
  readonly #cancellations: CancellationHandler;

  /** `admission` is null where fair admission is not switched on. */
  constructor(ctx: Context, config: ConfigWatch, events: JobRequestEvents, admission: Admission | null) {
    const lookup = new JobLookup(ctx);
    const statuses = new JobStatusReader(lookup, events.progressOf);
    const validator = new SubmissionValidator({
      ctx,
      config,
      lookup,
      isOlderPeerAlive: () => events.isOlderPeerAlive(),
    });
    this.#submissions = new SubmissionHandler({
      ctx,
      lookup,
      statuses,
      validator,
      admission,
      onJobAccepted: (entry) => events.onJobWritten(entry, false),
    });
    this.#polls = new PollHandler(ctx, lookup, statuses);
    this.#cancellations = new CancellationHandler({
      ctx,
      lookup,
      statuses,
      onJobCancelled: (entry) => events.onJobWritten(entry, true),
    });
  }

  /**
   * Submits a job; a repeated submission gets the job's present status, even if it is malformed.
   */
  submit(uid: string, submitted: SubmittedSpec, respond: Respond): void {
    this.#submissions.submit(uid, submitted, respond);
  }

  /** Sends the rejections gathered since the last call; to be called once a tick. */
  flushRejections(): void {
    this.#submissions.flushRejections();
  }

  /** Asks for a job's status. */
  poll(uid: string, respond: Respond): void {
    this.#polls.poll(uid, respond);
  }

  /** Answers the polls gathered since the last call; to be called once a tick. */
  flushPolls(): void {
    this.#polls.flush();
  }

  /** Cancels a job, and with it all that depend on it. */
  cancel(uid: string, respond: Respond): void {
    this.#cancellations.cancel(uid, respond);
  }
}
