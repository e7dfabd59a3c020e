import type { JobShape, JobSpec, Priority } from "../../src/core/model/job-spec.js";
import { jobSpec } from "../support/controller-harness.js";
import { NO_TROUBLE } from "./troubles.js";
import { type EffectObserver, ModelCluster, type Trouble } from "./world.js";

const TROUBLE_S = 150;
const PLAY_S = 300;
/** The last trouble may begin with the last second of troubles, and last for a minute. */
const SETTLED_S = TROUBLE_S + 65;

function randomJob(world: ModelCluster, n: number, scale: number): JobSpec {
  const shape = (["array", "array", "service", "gang"] as const)[world.between(0, 3)] as JobShape;
  const gang = shape === "gang";
  const service = shape === "service";
  const size = scale === 1 ? 1 : world.between(1, gang ? 4 : scale);
  const saves = !service && world.chance(0.5);
  return {
    uid: `j-${String(n).padStart(6, "0")}`,
    jobClass: shape,
    team: world.chance(0.5) ? "red" : "blue",
    shape,
    priority: (service ? 3 : gang ? 2 : world.between(0, 1)) as Priority,
    tasks: (gang ? world.between(1, 2) : service ? world.between(1, 4) : world.between(1, 12)) * size,
    need: gang ? { cpu: 4000, gpu: 1000, ram: 8000 } : { cpu: 1000, gpu: 0, ram: 2000 },
    image: `img-${world.between(0, 3)}`,
    imageGb: world.between(1, 4),
    types: gang ? ["gpu"] : world.chance(0.2) ? ["small"] : null,
    zone: world.chance(0.1) ? "a" : null,
    oneZone: gang && world.chance(0.7),
    spread: service && world.chance(0.7),
    spot: !service && world.chance(0.6),
    estimateS: service ? 0 : world.between(2, 20),
    checkpointS: saves ? 5 : 0,
    saveS: saves ? 2 : 0,
    deadlineS: null,
  };
}

/** Three or four stages; a job of any team that was accepted before may be among what the first waits for. */
function randomPipeline(
  world: ModelCluster,
  first: number,
  scale: number,
  ids: readonly string[],
): JobSpec[] {
  const stages: JobSpec[] = [];
  const earlier = ids[world.between(0, Math.max(0, ids.length - 1))];
  const known = earlier === undefined ? undefined : world.jobs.get(earlier);
  for (let i = 0; i < world.between(3, 4); i++) {
    const made = randomJob(world, first + i, scale);
    const shape = made.shape === "service" ? "array" : made.shape;
    const names = stages.filter((_, j) => j === i - 1 || world.chance(0.3)).map(({ uid }) => uid);
    if (i === 0 && known && known.acceptedAt !== null && known.spec.shape !== "service" && world.chance(0.5))
      names.push(known.spec.uid);
    const last = i > 1 ? { priority: 2 as const, deadlineS: 120 } : {};
    const spec = { ...made, ...last, shape, tasks: Math.min(made.tasks, 4), estimateS: world.between(1, 5) };
    stages.push(names.length > 0 ? { ...spec, awaits: names } : spec);
  }
  return stages;
}

/** Plays a world of random jobs, cancellations and troubles; quiet for the last part, so that work can finish. */
export function play(
  seed: number,
  trouble: Trouble,
  scale = 1,
  standby = false,
  admission = false,
  observer: EffectObserver | null = null,
): ModelCluster {
  const world = new ModelCluster(seed, trouble, scale, standby, admission, observer);
  let next = 1;
  const ids: string[] = [];
  for (let second = 1; second <= PLAY_S; second++) {
    world.run(second * 1000);
    if (second < TROUBLE_S && world.chance(0.25)) {
      const spec = randomJob(world, next++, scale);
      ids.push(spec.uid);
      world.submit(spec);
    }
    if (world.upgraded && second < TROUBLE_S - 30 && world.chance(0.06)) {
      const stages = randomPipeline(world, next, scale, ids);
      next += stages.length;
      ids.push(...stages.map(({ uid }) => uid));
      world.submitPipeline(stages, world.chance(0.2));
    }
    if (world.chance(0.05)) {
      const uid = ids[world.between(0, Math.max(0, ids.length - 1))];
      if (uid !== undefined && second < TROUBLE_S) world.cancel(uid);
    }
    if (world.chance(0.1)) world.askForNothing();
    if (world.chance(0.05)) {
      // Fits no machine, and may name no team.
      const odd = { need: { cpu: 1_000_000, gpu: 0, ram: 0 }, team: world.chance(0.3) ? "nobody" : "red" };
      world.submitOdd(jobSpec(`j-8${world.between(0, 99_999)}`, odd));
    }
    if (world.chance(0.1)) world.repeat(ids[world.between(0, Math.max(0, ids.length - 1))] ?? "");
    if (second > SETTLED_S) world.lookForTheLeft();
    if (second < TROUBLE_S) world.hurt();
    // Services hold their team's share for good: they go, so that the rest can be seen to finish.
    if (second === TROUBLE_S + 10) {
      for (const job of world.jobs.values()) if (job.spec.shape === "service") world.cancel(job.spec.uid);
    }
  }
  return world;
}

export const TROUBLES: Record<string, Trouble> = {
  quiet: NO_TROUBLE,
  "crashing controllers": { ...NO_TROUBLE, crash: 0.08 },
  "controllers back at once": { ...NO_TROUBLE, blink: 0.08 },
  "cuts and outages": { ...NO_TROUBLE, cut: 0.08, outage: 0.02 },
  "lonely controllers": { ...NO_TROUBLE, lonely: 0.06, blink: 0.02 },
  "failing machines": { ...NO_TROUBLE, hang: 0.08, taken: 0.05, error: 0.001 },
  "workers that hear nothing": { ...NO_TROUBLE, deaf: 0.06 },
  "late copies of reports": { ...NO_TROUBLE, copies: 0.1, crash: 0.03, taken: 0.05 },
  "the older ones together": {
    ...NO_TROUBLE,
    crash: 0.05,
    cut: 0.05,
    outage: 0.015,
    hang: 0.05,
    taken: 0.03,
    error: 0.0005,
  },
  "controllers that stand still": { ...NO_TROUBLE, freeze: 0.05, crash: 0.02 },
  "many machines together": { ...NO_TROUBLE, masses: 0.04 },
  "down, ended and rolled": { ...NO_TROUBLE, roll: 0.015, hang: 0.02 },
  "two troubles that meet": { ...NO_TROUBLE, meet: 0.04 },
  "meetings, and cancellations at the end": { ...NO_TROUBLE, meet: 0.03, cancelAtEnd: 0.5, crash: 0.02 },
  "an upgrade": { ...NO_TROUBLE, upgrade: true },
  "an upgrade among troubles": {
    ...NO_TROUBLE,
    upgrade: true,
    crash: 0.03,
    cut: 0.03,
    hang: 0.02,
    meet: 0.02,
    cancelAtEnd: 0.3,
  },
  everything: {
    crash: 0.03,
    cut: 0.03,
    outage: 0.01,
    hang: 0.03,
    taken: 0.02,
    error: 0.0005,
    deaf: 0.03,
    copies: 0.05,
    lonely: 0.02,
    blink: 0.03,
    freeze: 0.015,
    masses: 0.01,
    roll: 0.004,
    meet: 0.01,
    cancelAtEnd: 0.1,
    upgrade: true,
  },
};
