import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import type { Machine } from "../model/machine.js";
import type { GpuHeadroomGuard } from "./gpu-headroom-guard.js";

/** What taking the capacity of a GPU task weighs for a job that can't checkpoint, in seconds of delay. */
const GPU_WASTE_WEIGHT_S = 60;
/** The same for a job that can: it leaves the other machines to jobs that may go nowhere else. */
const GPU_WASTE_WITH_CHECKPOINT_WEIGHT_S = 5;
/** What the share of booked CPUs weighs (bin packing), in seconds of delay for a whole machine. */
const BIN_PACKING_WEIGHT_S = 5;
/** What each failure of a machine weighs, in seconds of delay. */
const FAILURE_WEIGHT_S = 20;
/** The priority of production work, which services have as a rule. */
const PRODUCTION_PRIORITY = 3;

/** Scores feasible machines for a job, in seconds of delay. */
export class MachineScoring {
  readonly #ctx: Context;
  readonly #gpuHeadroom: GpuHeadroomGuard;

  constructor(ctx: Context, gpuHeadroom: GpuHeadroomGuard) {
    this.#ctx = ctx;
    this.#gpuHeadroom = gpuHeadroom;
  }

  /** The cost of placing a task here, lower is better: failures, image wait, bin packing, GPUs wasted. */
  score(job: Job, machine: Machine): number {
    let seconds = machine.failures * FAILURE_WEIGHT_S + this.imageWaitS(job, machine);
    // A service that must fetch its image anyway brings it where its further replicas will find capacity: on
    // machines full of production work the image would serve no other.
    if (job.spec.shape === "service" && !machine.images.has(job.spec.image))
      seconds += BIN_PACKING_WEIGHT_S * machine.allocatedCpuShareOf(PRODUCTION_PRIORITY);
    else seconds -= BIN_PACKING_WEIGHT_S * machine.allocatedCpuShare();
    if (machine.isMarkedForScaleIn) seconds += GPU_WASTE_WEIGHT_S;
    else if (this.#gpuHeadroom.wouldBlockGpuTask(job, machine))
      seconds += job.spec.checkpointS > 0 ? GPU_WASTE_WITH_CHECKPOINT_WEIGHT_S : GPU_WASTE_WEIGHT_S;
    return seconds;
  }

  /** The machines in the order of their scores, the best first. */
  rank(job: Job, machines: readonly Machine[]): Machine[] {
    return machines
      .map((machine) => ({ machine, score: this.score(job, machine) }))
      .sort((a, b) => a.score - b.score || a.machine.index - b.machine.index)
      .map(({ machine }) => machine);
  }

  /** Seconds until the job's image is on the machine: 0 if it is cached, else by the catalogue's fetch rate. */
  imageWaitS(job: Job, machine: Machine): number {
    const image = machine.images.get(job.spec.image);
    if (image) return Math.max(0, image.readyAt - this.#ctx.now) / 1000;
    return job.spec.imageGb / Math.max(0.01, machine.type?.fetchGbPerS ?? 1);
  }
}
