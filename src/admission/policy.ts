import type { OperatorSettings } from "../config/operator.js";
import type { Deployment } from "../core/model/deployment.js";

/**
 * Store writes budgeted per job. A job takes about six: the submission, a start, its done mark, its final record and
 * the removal of two keys. The rest is headroom, so that task starts do not wait for the record writes of other jobs.
 */
const WRITES_PER_JOB = 8;
/** The weight of one CPU; CPUs are counted in thousandths. */
const MIN_WEIGHT = 1000;
/** Unspent permits accumulate for up to this many seconds, so that short bursts after idle periods are admitted. */
const BURST_S = 10;
/** Lower limit of the guaranteed minimum per team and node without a permit lease, in jobs per second. */
const MIN_RATE_PER_S = 0.2;

/** Limits on admission. Every node computes the same policy from the same settings. */
export interface AdmissionPolicy {
  /** Jobs accepted per second by all nodes together. */
  readonly ratePerS: number;
  /** Maximum number of unspent permits at any time. */
  readonly burst: number;
  /** Limit on unfinished jobs of all teams together; at the limit no new jobs are accepted. */
  readonly maxOpenJobs: number;
  readonly teams: readonly TeamPolicy[];
}

/** The entry of one team in an {@link AdmissionPolicy}. */
export interface TeamPolicy {
  readonly name: string;
  /** Relative to the weights of the other teams. */
  readonly weight: number;
  /** The guaranteed minimum: jobs of this team per second that one node accepts without a valid lease. */
  readonly minimumRatePerS: number;
}

/**
 * Computes the policy. A team's weight is the configured one, or else its guaranteed CPUs, but at least one CPU, so
 * that a weight of 0 can only come from the operators.
 */
export function policyOf(settings: OperatorSettings, deployment: Deployment): AdmissionPolicy {
  const writesPerS = Math.min(
    deployment.storeWriteRps,
    deployment.nextStoreLimits?.writeRps ?? Number.POSITIVE_INFINITY,
  );
  const ratePerS = settings.admission_rate > 0 ? settings.admission_rate : writesPerS / WRITES_PER_JOB;
  const weights = deployment.teams.map(
    ({ name, guarantee }) => settings.admission_weights[name] ?? Math.max(MIN_WEIGHT, guarantee.cpu),
  );
  const totalWeight = weights.reduce((total, weight) => total + weight, 0);
  const nodeCount = deployment.peers.length + 1;
  const teams = deployment.teams.map(({ name }, index) => {
    const weight = weights[index] ?? 0;
    const share = totalWeight > 0 ? weight / totalWeight : 1 / weights.length;
    return { name, weight, minimumRatePerS: Math.max(MIN_RATE_PER_S, (ratePerS * share) / nodeCount) };
  });
  return {
    ratePerS,
    burst: Math.max(1, ratePerS * BURST_S),
    maxOpenJobs: settings.admission_open_jobs,
    teams,
  };
}
