import type { OperatorSettings } from "../config/operator.js";
import type { Deployment } from "../core/model/deployment.js";

/**
 * What a job takes of the state service's changes in its life is about six: the submission, a start, its done mark, its
 * final record and the removal of the two keys before. The rest is room for starts not to wait for other jobs' records.
 */
const CHANGES_A_JOB = 8;
/** One CPU, in the thousandths that amounts are counted in. */
const LEAST_WEIGHT = 1000;
/** Permits that were not used are kept for so many seconds' worth: quiet times pay for short bursts. */
const BURST_S = 10;
/** Where no slice comes, each team may have at least this many jobs accepted a second at each node. */
const LEAST_FLOOR_RATE = 0.2;

/** The operators' bounds, as every node works them out from the same settings. */
export interface AdmissionPolicy {
  /** Jobs accepted a second, by all nodes together. */
  readonly rate: number;
  /** Permits that may be unspent at any time. */
  readonly burst: number;
  /** Unfinished jobs, of all teams together, up to which new ones are accepted. */
  readonly openJobs: number;
  readonly teams: readonly TeamPolicy[];
}

export interface TeamPolicy {
  readonly name: string;
  readonly weight: number;
  /** Jobs a second that one node may accept of this team while it holds no valid slice. */
  readonly floorRate: number;
}

/** Weights are the operators', or else the teams' guaranteed CPUs, one at least: nobody is left out but by the operators. */
export function policyOf(settings: OperatorSettings, deployment: Deployment): AdmissionPolicy {
  const writes = Math.min(
    deployment.storeWriteRps,
    deployment.nextStoreLimits?.writeRps ?? Number.POSITIVE_INFINITY,
  );
  const rate = settings.admission_rate > 0 ? settings.admission_rate : writes / CHANGES_A_JOB;
  const weights = deployment.teams.map(
    ({ name, guarantee }) => settings.admission_weights[name] ?? Math.max(LEAST_WEIGHT, guarantee.cpu),
  );
  const sum = weights.reduce((total, weight) => total + weight, 0);
  const nodes = deployment.peers.length + 1;
  const teams = deployment.teams.map(({ name }, i) => {
    const weight = weights[i] ?? 0;
    const part = sum > 0 ? weight / sum : 1 / weights.length;
    return { name, weight, floorRate: Math.max(LEAST_FLOOR_RATE, (rate * part) / nodes) };
  });
  return { rate, burst: Math.max(1, rate * BURST_S), openJobs: settings.admission_open_jobs, teams };
}
