import { openCluster } from "./loopback/cluster.js";
import { jobBody, leader, NODES, sleep } from "./loopback/nodes.js";
import { cancel, pollUntilOver, type Submission, submit } from "./loopback/user.js";

/**
 * Three real controllers on loopback; one team submits ten times what all submit together in quiet. What each team's users
 * see before, in and after that: answers, acceptance, starts, progress.
 *   DEPLOY_FILE=deploy/admission.toml node target/test/tools/measure-admission.js [WORKERS] [BURST_S]
 */
const workers = Number(process.argv[2] ?? 60);
const burstS = Number(process.argv[3] ?? 60);
const QUIET_S = 20;
const AFTER_S = 30;
const DRAIN_S = 20;
const REPORT_S = 2;
const LEASE_S = 14;
const TASK_MS = 4000;
const SERVICE_MS = 15_000;
const TIMES = 10;
const STATE_RPS = 150;
const STATE_WRITE_RPS = 40;
const VALUE_BYTES = 8192;
const TXN_OPS = 32;
const DONE_AFTER_MS = 60_000;

/** A team's users: what they submit, and how often. */
interface Users {
  readonly team: string;
  readonly everyMs: number;
  readonly tasks: number;
  readonly isService: boolean;
}
const USERS: readonly Users[] = [
  { team: "web", everyMs: 1000, tasks: 1, isService: true },
  { team: "bills", everyMs: 1000, tasks: 4, isService: false },
  { team: "maps", everyMs: 1000, tasks: 4, isService: false },
  { team: "flood", everyMs: 1000, tasks: 1, isService: false },
];
const FLOOD_MS = 1000 / (TIMES * USERS.reduce((sum, { everyMs }) => sum + 1000 / everyMs, 0));

const submissions = new Map<string, Submission>();
const progress = new Map<string, number[]>();
const { state, fleet, nodes, deployFile } = openCluster({
  workers,
  runMs: (uid) => (submissions.get(uid)?.team === "web" ? 3_600_000 : TASK_MS),
  maxConnections: 1200,
  reportS: REPORT_S,
  leaseS: LEASE_S,
  logLevel: "info",
  teams: USERS.map(({ team }) => ({ name: team, cpus: workers * 4, cpusMax: workers * 16 })),
  stateRps: STATE_RPS,
  stateWriteRps: STATE_WRITE_RPS,
});
state.rps = STATE_RPS;
state.store.limits = { valueBytes: VALUE_BYTES, txnOps: TXN_OPS, writeRps: STATE_WRITE_RPS };

let begin = 0;
const secondOf = (at: number) => Math.floor((at - begin) / 1000);
fleet.began = (piece) => {
  const submission = submissions.get(piece.slice(0, piece.lastIndexOf("/")));
  if (!submission) return;
  submission.startedAt ??= performance.now();
  const starts = progress.get(submission.team) ?? [];
  starts.push(performance.now());
  progress.set(submission.team, starts);
};

let turn = 0;
const anyNode = () => NODES[turn++ % NODES.length] ?? NODES[0] ?? fail();
function fail(): never {
  throw new RangeError("no nodes");
}

let submitted = 0;
async function submitOne({ team, tasks, isService }: Users): Promise<void> {
  const uid = `j-${++submitted}`;
  const submission: Submission = {
    uid,
    team,
    askedAt: performance.now(),
    firstAnswerAt: null,
    acceptedAt: null,
    refused: 0,
    keptTimes: 0,
    brokenTimes: 0,
    failed: 0,
    startedAt: null,
    doneAt: null,
  };
  submissions.set(uid, submission);
  const more = isService
    ? { crew: team, jobclass: team, shape: "daemon", rank: "prod", guess_s: 0 }
    : { crew: team, jobclass: team };
  if (!(await submit(submission, jobBody(uid, tasks, 1, more), anyNode))) return;
  if (isService) {
    await sleep(SERVICE_MS);
    await cancel(uid, anyNode);
  } else {
    await pollUntilOver(uid, anyNode);
    submission.doneAt = performance.now();
  }
}

/** Users who submit one job after another until some second of the run. */
function keepSubmitting(users: Users, fromS: number, untilS: number, everyMs: number): void {
  let due = begin + fromS * 1000;
  const timer = setInterval(() => {
    if (secondOf(performance.now()) >= untilS) clearInterval(timer);
    else
      for (; due <= performance.now(); due += everyMs) {
        void submitOne(users);
      }
  }, 10);
}

function spread(values: readonly number[]): string {
  if (values.length === 0) return "-";
  const sorted = [...values].sort((a, b) => a - b);
  const at = (part: number) =>
    Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0);
  return `${at(0.5)}/${at(0.95)}/${at(1)}`;
}

/** The longest time in a phase in which nothing of a team began. */
function longestGapS(team: string, fromS: number, untilS: number): number {
  const [from, until] = [begin + fromS * 1000, begin + untilS * 1000];
  const starts = (progress.get(team) ?? []).filter((at) => at >= from && at < until);
  let last = from;
  let longest = 0;
  for (const at of [...starts, until]) {
    longest = Math.max(longest, at - last);
    last = at;
  }
  return Math.round(longest / 100) / 10;
}

function reportPhase(name: string, fromS: number, untilS: number): void {
  console.log(`${name} (${fromS} to ${untilS} s); times are median/95%/worst in ms`);
  for (const { team } of USERS) {
    const all = [...submissions.values()].filter(({ team: of, askedAt }) => {
      const second = secondOf(askedAt);
      return of === team && second >= fromS && second < untilS;
    });
    const sum = (of: (submission: Submission) => number) => all.reduce((n, one) => n + of(one), 0);
    const since = (of: (submission: Submission) => number | null) =>
      all.flatMap((one) => {
        const at = of(one);
        return at === null ? [] : [at - one.askedAt];
      });
    const accepted = since(({ acceptedAt }) => acceptedAt);
    const starts = (progress.get(team) ?? []).filter(
      (at) => secondOf(at) >= fromS && secondOf(at) < untilS,
    ).length;
    console.log(
      `  ${team}: ${all.length} submitted, ${accepted.length} accepted, first answer ${spread(since(({ firstAnswerAt }) => firstAnswerAt))}, ` +
        `accepted ${spread(accepted)}, started ${spread(since(({ startedAt }) => startedAt))}, done ${spread(since(({ doneAt }) => doneAt))}, ` +
        `429 ${sum(({ refused }) => refused)} (back at the time promised: ${sum(({ keptTimes }) => keptTimes)} taken, ${sum(({ brokenTimes }) => brokenTimes)} not), ` +
        `503 or none ${sum(({ failed }) => failed)}, ${starts} tasks began, longest gap ${longestGapS(team, fromS, untilS)} s`,
    );
  }
}

try {
  nodes.startAll();
  while ((await leader()) === null) await sleep(500);
  fleet.start();
  // The stand-in workers go on when their machines are returned: none is.
  await fetch(`http://${NODES[0]?.host}:${NODES[0]?.port}/admin/settings`, {
    method: "PATCH",
    body: JSON.stringify({ idle_s: 86_400 }),
  });
  await sleep(8000);
  begin = performance.now();
  const burstEnds = QUIET_S + burstS;
  const end = burstEnds + AFTER_S;
  for (const users of USERS) keepSubmitting(users, 0, end, users.everyMs);
  const flood = USERS.at(-1) ?? fail();
  keepSubmitting(flood, QUIET_S, burstEnds, FLOOD_MS);
  await sleep((end + DRAIN_S) * 1000 + DONE_AFTER_MS / 2);
  console.log(`${deployFile}, ${workers} workers, ${STATE_WRITE_RPS} changes a second`);
  reportPhase("before", 0, QUIET_S);
  reportPhase("burst", QUIET_S, burstEnds);
  reportPhase("after", burstEnds, end);
  console.log(
    `state service: ${state.refused} requests and ${state.store.throttled} transactions refused for their rate; ` +
      `duplicated placements ${fleet.history.duplicates().length}, leases lost ${fleet.leasesLost}`,
  );
} finally {
  nodes.killAll();
  console.log(`logs: ${nodes.logs}`);
  process.exit();
}
