import type { Context } from "../context.js";
import type { Job } from "../model/job.js";
import type { Machine } from "../model/machine.js";

/** The fetch time assumed if the fetch rate of the machine's type is not known. */
const DEFAULT_FETCH_S = 30;

/** Records that a machine starts to fetch a job's image now, and evicts images from the modeled cache if needed. */
export function recordImageFetch(ctx: Context, machine: Machine, job: Job): void {
  const { now } = ctx;
  const { image, imageGb } = job.spec;
  const fetchGbPerS = machine.type?.fetchGbPerS ?? 0;
  const fetchS = fetchGbPerS > 0 ? imageGb / fetchGbPerS : DEFAULT_FETCH_S;
  machine.images.set(image, { readyAt: now + fetchS * 1000, usedAt: now, gb: imageGb });
  evictLeastRecentlyUsed(machine);
}

/** Records that a machine's heartbeat shows a job's image to be in its cache. */
export function recordImageCached(ctx: Context, machine: Machine, job: Job): void {
  const { now } = ctx;
  machine.images.set(job.spec.image, { readyAt: now, usedAt: now, gb: job.spec.imageGb });
}

/** Models the agents' cache eviction, which keeps the most recently used images. */
function evictLeastRecentlyUsed(machine: Machine): void {
  let cachedGb = 0;
  for (const image of machine.images.values()) cachedGb += image.gb;
  const capacityGb = machine.type?.cacheGb ?? Number.POSITIVE_INFINITY;
  while (cachedGb > capacityGb) {
    let oldest: string | null = null;
    let oldestUsedAt = Number.POSITIVE_INFINITY;
    for (const [name, image] of machine.images) {
      if (image.usedAt < oldestUsedAt) {
        oldestUsedAt = image.usedAt;
        oldest = name;
      }
    }
    if (oldest === null) return;
    cachedGb -= machine.images.get(oldest)?.gb ?? 0;
    machine.images.delete(oldest);
  }
}
