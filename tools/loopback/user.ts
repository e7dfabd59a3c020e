import { type NODES, sleep } from "./nodes.js";

const ANSWER_MS = 5000;
const LEAST_PAUSE_MS = 1000;
const LONGEST_PAUSE_MS = 30_000;
const NO_PLACE_S = 30;
const GIVES_UP_MS = 60_000;
const POLL_MS = 5000;

type Address = (typeof NODES)[number];

/** What became of one submission, as its user saw it. */
export interface Submission {
  readonly uid: string;
  readonly team: string;
  readonly askedAt: number;
  /** When the answer to the first attempt came. */
  firstAnswerAt: number | null;
  acceptedAt: number | null;
  /** Answers of 429, and how many attempts at the time that such an answer promised were taken, or refused again. */
  refused: number;
  keptTimes: number;
  brokenTimes: number;
  /** Answers of 503 and attempts without an answer. */
  failed: number;
  startedAt: number | null;
  doneAt: number | null;
}

async function call(node: Address, path: string, body?: unknown): Promise<Response | null> {
  const init = body === undefined ? {} : { method: "POST", body: JSON.stringify(body) };
  try {
    const signal = AbortSignal.timeout(ANSWER_MS);
    return await fetch(`http://${node.host}:${node.port}${path}`, { ...init, signal });
  } catch {
    return null;
  }
}

/** Submits as the protocol has users do it, at any node each time: again at the time that was named, for a minute. */
export async function submit(submission: Submission, body: object, anyNode: () => Address): Promise<boolean> {
  let named = false;
  while (performance.now() - submission.askedAt < GIVES_UP_MS) {
    const response = await call(anyNode(), "/api/jobs", body);
    await response?.arrayBuffer();
    submission.firstAnswerAt ??= performance.now();
    const taken = response?.ok === true;
    if (named && taken) submission.keptTimes++;
    if (named && response?.status === 429) submission.brokenTimes++;
    if (taken) {
      submission.acceptedAt = performance.now();
      return true;
    }
    const afterS = Number(response?.headers.get("retry-after") ?? 0);
    if (response?.status === 429) submission.refused++;
    else submission.failed++;
    // The longest time is that of a line which is full: it promises nothing.
    named = response?.status === 429 && afterS < NO_PLACE_S;
    await sleep(Math.min(LONGEST_PAUSE_MS, Math.max(LEAST_PAUSE_MS, afterS * 1000)));
  }
  return false;
}

/** Asks about an accepted job until it is over. */
export async function pollUntilOver(uid: string, anyNode: () => Address): Promise<void> {
  for (;;) {
    await sleep(POLL_MS);
    const response = await call(anyNode(), `/api/jobs/${uid}`);
    const view = response?.ok ? ((await response.json()) as { phase: string }) : null;
    if (view?.phase === "done" || view?.phase === "cancelled") return;
  }
}

export async function cancel(uid: string, anyNode: () => Address): Promise<void> {
  for (let tries = 0; tries < 30; tries++) {
    const response = await call(anyNode(), `/api/jobs/${uid}/cancel`, {});
    if (response?.ok) return;
    await sleep(LEAST_PAUSE_MS);
  }
}
