import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import type { Machine } from "../model/machine.js";

/** What a fetch is taken to last where the machine's type is not known. */
const UNKNOWN_FETCH_S = 30;

/** Notes that a machine fetches the image of a job from this time on. */
export function recordImageFetch(ctx: Context, machine: Machine, job: Job): void {
  const { now } = ctx;
  const rate = machine.type?.fetchGbPerS ?? 0;
  const seconds = rate > 0 ? job.spec.imageGb / rate : UNKNOWN_FETCH_S;
  machine.images.set(job.spec.image, { readyAt: now + seconds * 1000, usedAt: now, gb: job.spec.imageGb });
  trimCache(machine);
}

/** Notes that a machine has the image of a job. */
export function recordImageCached(ctx: Context, machine: Machine, job: Job): void {
  const { now } = ctx;
  machine.images.set(job.spec.image, { readyAt: now, usedAt: now, gb: job.spec.imageGb });
}

/** Workers keep the most recently used images; so do we in what we believe of them. */
function trimCache(machine: Machine): void {
  let sum = 0;
  for (const image of machine.images.values()) sum += image.gb;
  const limit = machine.type?.cacheGb ?? Number.POSITIVE_INFINITY;
  while (sum > limit) {
    let oldest: string | null = null;
    let at = Number.POSITIVE_INFINITY;
    for (const [name, image] of machine.images) {
      if (image.usedAt < at) {
        at = image.usedAt;
        oldest = name;
      }
    }
    if (oldest === null) return;
    sum -= machine.images.get(oldest)?.gb ?? 0;
    machine.images.delete(oldest);
  }
}
