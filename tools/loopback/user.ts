import { type NODES, sleep } from "./nodes.js";

const ANSWER_TIMEOUT_MS = 5000;
const MIN_PAUSE_MS = 1000;
const MAX_PAUSE_MS = 30_000;
/** A Retry-After this long reserves no permit. */
const NO_RESERVATION_S = 30;
const GIVE_UP_MS = 60_000;
const POLL_INTERVAL_MS = 5000;
const CANCEL_TRIES = 30;

type Address = (typeof NODES)[number];

/** What became of one submission, as its user saw it. */
export interface Submission {
  readonly uid: string;
  readonly team: string;
  readonly askedAt: number;
  /** When the answer to the first attempt came. */
  firstAnswerAt: number | null;
  acceptedAt: number | null;
  /** Answers of 429. */
  throttled: number;
  /** Attempts at the time that a 429 had reserved, by whether they were accepted or throttled again. */
  keptReservations: number;
  brokenReservations: number;
  /** Answers of 503 and attempts without an answer. */
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

/** Submits as the protocol has users do it, at any node each time: again after the Retry-After, for a minute. */
export async function submit(submission: Submission, body: object, anyNode: () => Address): Promise<boolean> {
  let isReserved = false;
  while (performance.now() - submission.askedAt < GIVE_UP_MS) {
    const response = await call(anyNode(), "/api/jobs", body);
    await response?.arrayBuffer();
    submission.firstAnswerAt ??= performance.now();
    const isThrottled = response?.status === 429;
    if (response?.ok) {
      if (isReserved) submission.keptReservations++;
      submission.acceptedAt = performance.now();
      return true;
    }
    if (isThrottled) submission.throttled++;
    else submission.failed++;
    if (isThrottled && isReserved) submission.brokenReservations++;
    const retryAfterS = Number(response?.headers.get("retry-after") ?? 0);
    isReserved = isThrottled && retryAfterS < NO_RESERVATION_S;
    await sleep(Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, retryAfterS * 1000)));
  }
  return false;
}

/** Polls an accepted job until it is done or cancelled. */
export async function pollUntilOver(uid: string, anyNode: () => Address): Promise<void> {
  for (;;) {
    await sleep(POLL_INTERVAL_MS);
    const response = await call(anyNode(), `/api/jobs/${uid}`);
    const job = response?.ok ? ((await response.json()) as { phase: string }) : null;
    if (job?.phase === "done" || job?.phase === "cancelled") return;
  }
}

/** Cancels a job, again until a node accepts it. */
export async function cancel(uid: string, anyNode: () => Address): Promise<void> {
  for (let tries = 0; tries < CANCEL_TRIES; tries++) {
    const response = await call(anyNode(), `/api/jobs/${uid}/cancel`, {});
    if (response?.ok) return;
    await sleep(MIN_PAUSE_MS);
  }
}
