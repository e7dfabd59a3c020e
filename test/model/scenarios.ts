import type { JobShape, JobSpec, Priority } from "../../src/core/model/job-spec.js";
import type { Resources } from "../../src/core/model/resources.js";
import { jobSpec } from "../support/controller-harness.js";
import { type FaultRates, NO_FAULTS } from "./fault-rates.js";
import { ModelCluster, type ModelClusterOptions } from "./model-cluster.js";
import type { Simulation } from "./simulation.js";

/** Faults are injected and most jobs are submitted before this second, so that work can finish afterwards. */
const FAULTS_END_S = 150;
const SCENARIO_S = 300;
/** The last fault may begin just before `FAULTS_END_S` and last for a minute. */
const STARVATION_CHECKS_START_S = FAULTS_END_S + 65;
const SERVICES_CANCELLED_S = FAULTS_END_S + 10;

const SHAPES: readonly JobShape[] = ["array", "array", "service", "gang"];
const GANG_NEED: Resources = { cpu: 4000, gpu: 1000, ram: 8000 };
const TASK_NEED: Resources = { cpu: 1000, gpu: 0, ram: 2000 };

/** Generates a random job; `scale` makes it larger. The recorded trace digests depend on the order of random draws. */
function randomJob(simulation: Simulation, jobNumber: number, scale: number): JobSpec {
  const shape = SHAPES[simulation.between(0, 3)] ?? "array";
  const isGang = shape === "gang";
  const isService = shape === "service";
  const size = scale === 1 ? 1 : simulation.between(1, isGang ? 4 : scale);
  const savesProgress = !isService && simulation.chance(0.5);
  return {
    uid: `j-${String(jobNumber).padStart(6, "0")}`,
    jobClass: shape,
    team: simulation.chance(0.5) ? "red" : "blue",
    shape,
    priority: randomPriority(simulation, shape),
    tasks: randomTaskCount(simulation, shape) * size,
    need: isGang ? GANG_NEED : TASK_NEED,
    image: `img-${simulation.between(0, 3)}`,
    imageGb: simulation.between(1, 4),
    types: randomTypes(simulation, isGang),
    zone: simulation.chance(0.1) ? "a" : null,
    oneZone: isGang && simulation.chance(0.7),
    spread: isService && simulation.chance(0.7),
    spot: !isService && simulation.chance(0.6),
    estimateS: isService ? 0 : simulation.between(2, 20),
    checkpointS: savesProgress ? 5 : 0,
    saveS: savesProgress ? 2 : 0,
    deadlineS: null,
  };
}

function randomPriority(simulation: Simulation, shape: JobShape): Priority {
  switch (shape) {
    case "service":
      return 3;
    case "gang":
      return 2;
    case "array":
      return simulation.between(0, 1) === 0 ? 0 : 1;
  }
}

function randomTaskCount(simulation: Simulation, shape: JobShape): number {
  switch (shape) {
    case "gang":
      return simulation.between(1, 2);
    case "service":
      return simulation.between(1, 4);
    case "array":
      return simulation.between(1, 12);
  }
}

function randomTypes(simulation: Simulation, isGang: boolean): string[] | null {
  if (isGang) return ["gpu"];
  return simulation.chance(0.2) ? ["small"] : null;
}

/** Generates the random user requests of a scenario. */
class RandomUsers {
  readonly #cluster: ModelCluster;
  readonly #simulation: Simulation;
  readonly #scale: number;
  readonly #mistakenJobRate: number;
  readonly #uids: string[] = [];
  #nextJob = 1;

  constructor(cluster: ModelCluster, scale: number, mistakenJobRate: number) {
    this.#cluster = cluster;
    this.#mistakenJobRate = mistakenJobRate;
    this.#simulation = cluster.simulation;
    this.#scale = scale;
  }

  /** Issues the user requests of one second. */
  act(second: number): void {
    const simulation = this.#simulation;
    const { users, controllers } = this.#cluster;
    const areFaultsActive = second < FAULTS_END_S;
    if (areFaultsActive && simulation.chance(0.25)) this.#submitJob();
    if (controllers.areUpgraded && second < FAULTS_END_S - 30 && simulation.chance(0.06))
      this.#submitPipeline();
    if (simulation.chance(0.05)) {
      const uid = this.#anyUid();
      if (uid !== undefined && areFaultsActive) users.cancel(uid);
    }
    if (simulation.chance(0.1)) users.pollUnknown();
    if (simulation.chance(0.05)) this.#submitInvalid();
    if (simulation.chance(0.1)) users.resubmit(this.#anyUid() ?? "");
  }

  #anyUid(): string | undefined {
    return this.#uids[this.#simulation.between(0, Math.max(0, this.#uids.length - 1))];
  }

  #submitJob(): void {
    const spec = randomJob(this.#simulation, this.#nextJob++, this.#scale);
    // No draw without this fault: the recorded digests of the other scenarios depend on their draws.
    if (this.#mistakenJobRate > 0 && this.#simulation.chance(this.#mistakenJobRate)) {
      this.#cluster.users.submitMistaken(spec, this.#simulation.between(3000, 20_000));
      return;
    }
    this.#uids.push(spec.uid);
    this.#cluster.users.submit(spec);
  }

  #submitPipeline(): void {
    const stages = this.#randomPipeline();
    this.#nextJob += stages.length;
    this.#uids.push(...stages.map(({ uid }) => uid));
    this.#cluster.users.submitPipeline(stages, this.#simulation.chance(0.2));
  }

  /** Submits a job that fits no machine; its team may not exist. */
  #submitInvalid(): void {
    const team = this.#simulation.chance(0.3) ? "nobody" : "red";
    const need = { cpu: 1_000_000, gpu: 0, ram: 0 };
    this.#cluster.users.submitInvalid(jobSpec(`j-8${this.#simulation.between(0, 99_999)}`, { need, team }));
  }

  /** Generates three or four stages; the first may depend on a previously accepted job of any team. */
  #randomPipeline(): JobSpec[] {
    const simulation = this.#simulation;
    const stages: JobSpec[] = [];
    const earlierUid = this.#anyUid();
    const earlier = earlierUid === undefined ? undefined : this.#cluster.jobs.get(earlierUid);
    for (let stage = 0; stage < simulation.between(3, 4); stage++) {
      const job = randomJob(simulation, this.#nextJob + stage, this.#scale);
      const shape = job.shape === "service" ? "array" : job.shape;
      const awaits = stages
        .filter((_, index) => index === stage - 1 || simulation.chance(0.3))
        .map(({ uid }) => uid);
      const canDependOnEarlier = earlier && earlier.acceptedAt !== null && earlier.spec.shape !== "service";
      if (stage === 0 && canDependOnEarlier && simulation.chance(0.5)) awaits.push(earlier.spec.uid);
      const urgency = stage > 1 ? { priority: 2 as const, deadlineS: 120 } : {};
      const tasks = Math.min(job.tasks, 4);
      const spec = { ...job, ...urgency, shape, tasks, estimateS: simulation.between(1, 5) };
      stages.push(awaits.length > 0 ? { ...spec, awaits } : spec);
    }
    return stages;
  }
}

/** Runs a scenario of random jobs, cancellations and faults, which stop early enough for work to finish. */
export function runScenario(options: ModelClusterOptions): ModelCluster {
  const cluster = new ModelCluster(options);
  const randomUsers = new RandomUsers(cluster, options.scale ?? 1, options.faultRates?.mistakenJob ?? 0);
  for (let second = 1; second <= SCENARIO_S; second++) {
    cluster.run(second * 1000);
    randomUsers.act(second);
    if (second > STARVATION_CHECKS_START_S) cluster.rules.checkStarvation();
    if (options.faultRates?.mistakenJob || options.faultRates?.faultyMachine) cluster.outliers.run();
    if (options.faultRates?.fullCloud) cluster.cloud.isFull = second < FAULTS_END_S;
    if (second < FAULTS_END_S) cluster.faults.injectForOneSecond();
    if (second === SERVICES_CANCELLED_S) cancelServices(cluster);
  }
  return cluster;
}

/** Cancels all services: they hold their team's quota indefinitely and could keep other jobs from finishing. */
function cancelServices({ jobs, users }: ModelCluster): void {
  for (const { spec } of jobs.values()) if (spec.shape === "service") users.cancel(spec.uid);
}

/** Fault rates of each scenario, by scenario name. */
export const SCENARIOS: Record<string, FaultRates> = {
  "no faults": NO_FAULTS,
  "crashing controllers": { ...NO_FAULTS, crash: 0.08 },
  "controllers that restart at once": { ...NO_FAULTS, quickRestart: 0.08 },
  "partitions and store outages": { ...NO_FAULTS, partition: 0.08, outage: 0.02 },
  "isolated controllers": { ...NO_FAULTS, isolation: 0.06, quickRestart: 0.02 },
  "failing machines": { ...NO_FAULTS, hang: 0.08, reclaim: 0.05, taskError: 0.001 },
  "one-way partitions of agents": { ...NO_FAULTS, oneWayPartition: 0.06 },
  "late duplicates of heartbeats": { ...NO_FAULTS, lateDuplicates: 0.1, crash: 0.03, reclaim: 0.05 },
  "crashes, partitions, outages and failing machines": {
    ...NO_FAULTS,
    crash: 0.05,
    partition: 0.05,
    outage: 0.015,
    hang: 0.05,
    reclaim: 0.03,
    taskError: 0.0005,
  },
  "paused controllers": { ...NO_FAULTS, pause: 0.05, crash: 0.02 },
  "mass failures of machines": { ...NO_FAULTS, massFailure: 0.04 },
  "store outages and rolling restarts": { ...NO_FAULTS, rollingRestart: 0.015, hang: 0.02 },
  "compound faults": { ...NO_FAULTS, compoundFault: 0.04 },
  "compound faults, cancellations at completion": {
    ...NO_FAULTS,
    compoundFault: 0.03,
    cancelAtCompletion: 0.5,
    crash: 0.02,
  },
  "settings changed in a partition": { ...NO_FAULTS, settingsChange: 0.02 },
  "jobs with a mistake": { ...NO_FAULTS, mistakenJob: 0.5, fullCloud: true },
  "faulty machines": { ...NO_FAULTS, faultyMachine: 0.01 },
  "jobs with a mistake beside faulty machines": { ...NO_FAULTS, mistakenJob: 0.4, faultyMachine: 0.01 },
  "jobs with a mistake beside faulty machines and crashing controllers": {
    ...NO_FAULTS,
    mistakenJob: 0.4,
    faultyMachine: 0.01,
    crash: 0.03,
    hang: 0.02,
  },
  "a rolling upgrade": { ...NO_FAULTS, upgrade: true },
  "a rolling upgrade among faults": {
    ...NO_FAULTS,
    upgrade: true,
    crash: 0.03,
    partition: 0.03,
    hang: 0.02,
    compoundFault: 0.02,
    cancelAtCompletion: 0.3,
  },
  "all faults": {
    crash: 0.03,
    partition: 0.03,
    outage: 0.01,
    hang: 0.03,
    reclaim: 0.02,
    taskError: 0.0005,
    oneWayPartition: 0.03,
    lateDuplicates: 0.05,
    isolation: 0.02,
    quickRestart: 0.03,
    pause: 0.015,
    massFailure: 0.01,
    rollingRestart: 0.004,
    compoundFault: 0.01,
    settingsChange: 0.004,
    cancelAtCompletion: 0.1,
    faultyMachine: 0,
    mistakenJob: 0,
    fullCloud: false,
    upgrade: true,
  },
};

/**
 * Returns the fault rates of a scenario.
 * @throws {RangeError} If no scenario has this name.
 */
export function scenarioNamed(name: string): FaultRates {
  const faultRates = SCENARIOS[name];
  if (!faultRates) throw new RangeError(`unknown scenario: ${name}`);
  return faultRates;
}
