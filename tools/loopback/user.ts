import { type NODES, sleep } from "./nodes.js";

const ANSWER_TIMEOUT_MS = 5000;
const MIN_PAUSE_MS = 1000;
const MAX_PAUSE_MS = 30_000;
/** A 429 with a `Retry-After` of at least this long comes without a retry reservation. */
const MIN_UNRESERVED_RETRY_AFTER_S = 30;
const SUBMIT_TIMEOUT_MS = 60_000;
const POLL_INTERVAL_MS = 5000;
const CANCEL_TRIES = 30;

type Address = (typeof NODES)[number];

/** The course of one submission as seen by its user. */
export interface Submission {
  readonly uid: string;
  readonly team: string;
  readonly submittedAt: number;
  /** When the first attempt was answered or failed. */
  firstAnswerAt: number | null;
  acceptedAt: number | null;
  /** Number of responses with status 429. */
  throttled: number;
  /** Number of retries at a reserved time that were accepted. */
  honoredReservations: number;
  /** Number of retries at a reserved time that were throttled again. */
  brokenReservations: number;
  /** Number of attempts that got another error status, such as 503, or no response. */
  failed: number;
  startedAt: number | null;
  doneAt: number | null;
}

async function call(node: Address, path: string, body?: unknown): Promise<Response | null> {
  const init = body === undefined ? {} : { method: "POST", body: JSON.stringify(body) };
  try {
    const signal = AbortSignal.timeout(ANSWER_TIMEOUT_MS);
    return await fetch(`http://${node.host}:${node.port}${path}`, { ...init, signal });
  } catch {
    return null;
  }
}

/**
 * Submits a job as the protocol requires of users: each attempt goes to any node, and retries wait for `Retry-After`.
 * Gives up after a minute. Returns true if the job was accepted.
 */
export async function submit(submission: Submission, body: object, anyNode: () => Address): Promise<boolean> {
  let isReserved = false;
  while (performance.now() - submission.submittedAt < SUBMIT_TIMEOUT_MS) {
    const response = await call(anyNode(), "/api/jobs", body);
    await response?.arrayBuffer();
    submission.firstAnswerAt ??= performance.now();
    const isThrottled = response?.status === 429;
    if (response?.ok) {
      if (isReserved) submission.honoredReservations++;
      submission.acceptedAt = performance.now();
      return true;
    }
    if (isThrottled) submission.throttled++;
    else submission.failed++;
    if (isThrottled && isReserved) submission.brokenReservations++;
    const retryAfterS = Number(response?.headers.get("retry-after") ?? 0);
    isReserved = isThrottled && retryAfterS < MIN_UNRESERVED_RETRY_AFTER_S;
    await sleep(Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, retryAfterS * 1000)));
  }
  return false;
}

/** Polls an accepted job until it is done or cancelled. */
export async function pollUntilEnded(uid: string, anyNode: () => Address): Promise<void> {
  for (;;) {
    await sleep(POLL_INTERVAL_MS);
    const response = await call(anyNode(), `/api/jobs/${uid}`);
    const job = response?.ok ? ((await response.json()) as { phase: string }) : null;
    if (job?.phase === "done" || job?.phase === "cancelled") return;
  }
}

/** Cancels a job; retries until a node accepts the cancellation, at most `CANCEL_TRIES` times. */
export async function cancel(uid: string, anyNode: () => Address): Promise<void> {
  for (let tries = 0; tries < CANCEL_TRIES; tries++) {
    const response = await call(anyNode(), `/api/jobs/${uid}/cancel`, {});
    if (response?.ok) return;
    await sleep(MIN_PAUSE_MS);
  }
}
