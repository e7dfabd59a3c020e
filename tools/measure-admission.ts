import { openCluster } from "./loopback/cluster.js";
import { changeSettings, findLeader, jobBody, NODES, sleep } from "./loopback/nodes.js";
import { cancel, pollUntilEnded, type Submission, submit } from "./loopback/user.js";

/**
 * Runs three real controllers on loopback. During a burst, one team submits ten times the normal rate of all teams
 * together. Prints for each team, before, during and after the burst: response times, acceptance, task starts and
 * completion.
 *   DEPLOY_FILE=deploy/admission.toml node target/test/tools/measure-admission.js [MACHINES] [BURST_S]
 */
const machines = Number(process.argv[2] ?? 60);
const burstS = Number(process.argv[3] ?? 60);
const QUIET_S = 20;
const AFTER_S = 30;
const DRAIN_S = 20;
const HEARTBEAT_S = 2;
const LEASE_S = 14;
const TASK_MS = 4000;
const SERVICE_TASK_MS = 3_600_000;
/** Time from the acceptance of a service to its cancellation by its users. */
const SERVICE_MS = 15_000;
const BURST_FACTOR = 10;
const STORE_RPS = 150;
const STORE_WRITE_RPS = 40;
const VALUE_BYTES = 8192;
const TXN_OPS = 32;
const JOB_COMPLETION_MS = 60_000;
const SETTLE_MS = 8000;
const SUBMIT_TICK_MS = 10;

/** The jobs that the users of a team submit, and how often. */
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
const BURST_EVERY_MS = 1000 / (BURST_FACTOR * USERS.reduce((sum, { everyMs }) => sum + 1000 / everyMs, 0));

const submissions = new Map<string, Submission>();
/** Start times of each team's tasks. */
const startsByTeam = new Map<string, number[]>();
const { store, fleet, nodes, deployFile } = openCluster({
  machines,
  runMs: (uid) => (submissions.get(uid)?.team === "web" ? SERVICE_TASK_MS : TASK_MS),
  maxConnections: 1200,
  heartbeatS: HEARTBEAT_S,
  leaseS: LEASE_S,
  logLevel: "info",
  teams: USERS.map(({ team }) => ({ name: team, cpus: machines * 4, cpusMax: machines * 16 })),
  storeRps: STORE_RPS,
  storeWriteRps: STORE_WRITE_RPS,
});
store.rps = STORE_RPS;
store.store.limits = { valueBytes: VALUE_BYTES, txnOps: TXN_OPS, writeRps: STORE_WRITE_RPS };

let beganAt = 0;
const secondOf = (at: number) => Math.floor((at - beganAt) / 1000);
fleet.onTaskStart = (task) => {
  const submission = submissions.get(task.slice(0, task.lastIndexOf("/")));
  if (!submission) return;
  submission.startedAt ??= performance.now();
  const starts = startsByTeam.get(submission.team) ?? [];
  starts.push(performance.now());
  startsByTeam.set(submission.team, starts);
};

let nodeRotation = 0;
function anyNode(): (typeof NODES)[number] {
  const node = NODES[nodeRotation++ % NODES.length];
  if (!node) throw new RangeError("no nodes");
  return node;
}

let submitted = 0;
async function submitOne({ team, tasks, isService }: Users): Promise<void> {
  const uid = `j-${++submitted}`;
  const submission: Submission = {
    uid,
    team,
    submittedAt: performance.now(),
    firstAnswerAt: null,
    acceptedAt: null,
    throttled: 0,
    honoredReservations: 0,
    brokenReservations: 0,
    failed: 0,
    startedAt: null,
    doneAt: null,
  };
  submissions.set(uid, submission);
  const overrides = isService
    ? { crew: team, jobclass: team, shape: "daemon", rank: "prod", guess_s: 0 }
    : { crew: team, jobclass: team };
  if (!(await submit(submission, jobBody(uid, tasks, 1, overrides), anyNode))) return;
  if (isService) {
    await sleep(SERVICE_MS);
    await cancel(uid, anyNode);
  } else {
    await pollUntilEnded(uid, anyNode);
    submission.doneAt = performance.now();
  }
}

/** Submits a job every `everyMs`, from second `fromS` of the run until second `untilS`. */
function keepSubmitting(users: Users, fromS: number, untilS: number, everyMs: number): void {
  let dueAt = beganAt + fromS * 1000;
  const timer = setInterval(() => {
    if (secondOf(performance.now()) >= untilS) clearInterval(timer);
    else
      for (; dueAt <= performance.now(); dueAt += everyMs) {
        void submitOne(users);
      }
  }, SUBMIT_TICK_MS);
}

/** Formats the median, 95th percentile and maximum of durations in milliseconds. */
function describeLatencies(values: readonly number[]): string {
  if (values.length === 0) return "-";
  const sorted = [...values].sort((a, b) => a - b);
  const at = (quantile: number) =>
    Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0);
  return `${at(0.5)}/${at(0.95)}/${at(1)}`;
}

/** Returns the longest time within a phase in which no task of a team started. */
function longestGapS(team: string, fromS: number, untilS: number): number {
  const from = beganAt + fromS * 1000;
  const until = beganAt + untilS * 1000;
  const starts = (startsByTeam.get(team) ?? []).filter((at) => at >= from && at < until);
  let previous = from;
  let longestMs = 0;
  for (const at of [...starts, until]) {
    longestMs = Math.max(longestMs, at - previous);
    previous = at;
  }
  return Math.round(longestMs / 100) / 10;
}

/** Describes the jobs that a team's users first submitted within a phase, as seen by those users. */
function describeTeam(team: string, fromS: number, untilS: number): string {
  const isInPhase = (at: number) => secondOf(at) >= fromS && secondOf(at) < untilS;
  const submissionsInPhase = [...submissions.values()].filter(
    (submission) => submission.team === team && isInPhase(submission.submittedAt),
  );
  const sum = (countOf: (submission: Submission) => number) =>
    submissionsInPhase.reduce((total, submission) => total + countOf(submission), 0);
  const latenciesMs = (timeOf: (submission: Submission) => number | null) =>
    submissionsInPhase.flatMap((submission) => {
      const at = timeOf(submission);
      return at === null ? [] : [at - submission.submittedAt];
    });
  const acceptedMs = latenciesMs(({ acceptedAt }) => acceptedAt);
  const firstAnswer = describeLatencies(latenciesMs(({ firstAnswerAt }) => firstAnswerAt));
  const started = describeLatencies(latenciesMs(({ startedAt }) => startedAt));
  const done = describeLatencies(latenciesMs(({ doneAt }) => doneAt));
  const honored = sum(({ honoredReservations }) => honoredReservations);
  const broken = sum(({ brokenReservations }) => brokenReservations);
  const starts = (startsByTeam.get(team) ?? []).filter(isInPhase).length;
  return (
    `${team}: ${submissionsInPhase.length} submitted, ${acceptedMs.length} accepted, first response ${firstAnswer}, ` +
    `accepted ${describeLatencies(acceptedMs)}, started ${started}, done ${done}, ` +
    `429 ${sum(({ throttled }) => throttled)} (retries at the reserved time: ${honored} accepted, ${broken} throttled), ` +
    `other errors or no response ${sum(({ failed }) => failed)}, ${starts} tasks started, longest gap ${longestGapS(team, fromS, untilS)} s`
  );
}

function printPhase(name: string, fromS: number, untilS: number): void {
  console.log(`${name} (${fromS} to ${untilS} s); times are median/95%/maximum in ms`);
  for (const { team } of USERS) console.log(`  ${describeTeam(team, fromS, untilS)}`);
}

try {
  nodes.startAll();
  while ((await findLeader()) === null) await sleep(500);
  fleet.start();
  // Prevents scale-in during the run, because a fake agent keeps running after its machine is terminated.
  await changeSettings({ idle_s: 86_400 });
  await sleep(SETTLE_MS);
  beganAt = performance.now();
  const burstEndS = QUIET_S + burstS;
  const endS = burstEndS + AFTER_S;
  for (const users of USERS) keepSubmitting(users, 0, endS, users.everyMs);
  const flood = USERS.filter(({ team }) => team === "flood");
  for (const users of flood) keepSubmitting(users, QUIET_S, burstEndS, BURST_EVERY_MS);
  await sleep((endS + DRAIN_S) * 1000 + JOB_COMPLETION_MS / 2);
  console.log(`${deployFile}, ${machines} machines, ${STORE_WRITE_RPS} store changes per second`);
  printPhase("before", 0, QUIET_S);
  printPhase("burst", QUIET_S, burstEndS);
  printPhase("after", burstEndS, endS);
  console.log(
    `key-value store: ${store.throttled} requests and ${store.store.throttledTransactions} transactions throttled; ` +
      `duplicated placements ${fleet.history.findDuplicates().length}, expired leases ${fleet.expiredLeases}`,
  );
} finally {
  nodes.killAll();
  console.log(`logs: ${nodes.logFolder}`);
  process.exit();
}
