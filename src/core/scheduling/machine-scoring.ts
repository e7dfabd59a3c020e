import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import type { Machine } from "../model/machine.js";
import type { GpuHeadroomGuard } from "./gpu-headroom-guard.js";

/** Cost of blocking a GPU task's capacity with a job that cannot checkpoint, in seconds of delay. */
const GPU_WASTE_WEIGHT_S = 60;
/** The same for a job that can checkpoint; low, so that machines without GPUs are left to jobs that need them. */
const GPU_WASTE_WITH_CHECKPOINT_WEIGHT_S = 5;
/** Weight of the allocated CPU share (bin packing), in seconds of delay for a fully allocated machine. */
const BIN_PACKING_WEIGHT_S = 5;
/** Cost of each failure of a machine, in seconds of delay. */
const FAILURE_WEIGHT_S = 20;
/** The priority of production work, which most services have. */
const PRODUCTION_PRIORITY = 3;

/** Scores feasible machines for a job, in seconds of delay. */
export class MachineScoring {
  readonly #ctx: Context;
  readonly #gpuHeadroom: GpuHeadroomGuard;

  constructor(ctx: Context, gpuHeadroom: GpuHeadroomGuard) {
    this.#ctx = ctx;
    this.#gpuHeadroom = gpuHeadroom;
  }

  /** Returns the cost of a placement here, from failures, image wait, bin packing and wasted GPUs; lower is better. */
  score(job: Job, machine: Machine): number {
    let seconds = machine.failures * FAILURE_WEIGHT_S + this.imageWaitS(job, machine);
    // A service that must fetch its image prefers machines where further replicas will fit. On machines full
    // of production work no other replica could use the cached image.
    if (job.spec.shape === "service" && !machine.images.has(job.spec.image))
      seconds += BIN_PACKING_WEIGHT_S * machine.allocatedCpuShareOf(PRODUCTION_PRIORITY);
    else seconds -= BIN_PACKING_WEIGHT_S * machine.allocatedCpuShare();
    if (machine.isMarkedForScaleIn) seconds += GPU_WASTE_WEIGHT_S;
    else if (this.#gpuHeadroom.wouldBlockGpuTask(job, machine))
      seconds += job.spec.checkpointS > 0 ? GPU_WASTE_WITH_CHECKPOINT_WEIGHT_S : GPU_WASTE_WEIGHT_S;
    return seconds;
  }

  /** Sorts machines by score, best first. */
  rank(job: Job, machines: readonly Machine[]): Machine[] {
    return machines
      .map((machine) => ({ machine, score: this.score(job, machine) }))
      .sort((a, b) => a.score - b.score || a.machine.index - b.machine.index)
      .map(({ machine }) => machine);
  }

  /** Returns the seconds until the job's image is on the machine: 0 if cached, else by the catalog's fetch rate. */
  imageWaitS(job: Job, machine: Machine): number {
    const image = machine.images.get(job.spec.image);
    if (image) return Math.max(0, image.readyAt - this.#ctx.now) / 1000;
    return job.spec.imageGb / Math.max(0.01, machine.type?.fetchGbPerS ?? 1);
  }
}
