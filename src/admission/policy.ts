import type { OperatorSettings } from "../config/operator.js";
import type { Deployment } from "../core/model/deployment.js";

/**
 * Writes to the store that a job is budgeted for. It takes about six: the submission, a start, its done mark, its final
 * record and the removal of two keys. The rest is headroom, so that starts need not wait for other jobs' records.
 */
const WRITES_PER_JOB = 8;
/** One CPU, in the thousandths that resources are counted in. */
const MIN_WEIGHT = 1000;
/** Unspent permits are kept for this many seconds, so that quiet times pay for short bursts. */
const BURST_S = 10;
/** The guaranteed minimum of each team at each node without a permit lease, in jobs a second. */
const MIN_RATE_PER_S = 0.2;

/** The operators' bounds on admission. Every node computes the same from the same settings. */
export interface AdmissionPolicy {
  /** Jobs accepted a second, by all nodes together. */
  readonly ratePerS: number;
  /** Permits that may be unspent at any time. */
  readonly burst: number;
  /** Unfinished jobs of all teams together, up to which new ones are accepted. */
  readonly maxOpenJobs: number;
  readonly teams: readonly TeamPolicy[];
}

/** One team's part in an {@link AdmissionPolicy}. */
export interface TeamPolicy {
  readonly name: string;
  /** Relative to the other teams'. */
  readonly weight: number;
  /** The guaranteed minimum: jobs of this team a second that one node accepts while it has no valid lease. */
  readonly minimumRatePerS: number;
}

/**
 * Computes the policy. Weights are the operators', or else the teams' guaranteed CPUs, one at least, so that only the
 * operators can leave a team out.
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
