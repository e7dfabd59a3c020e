/**
 * Resources that tasks require and machines offer, in thousandths of a core, of a GPU and of a GB.
 * The amounts are integers, so that sums accumulate no rounding errors.
 */
export interface Resources {
  readonly cpu: number;
  readonly gpu: number;
  readonly ram: number;
}

/** Zero of each resource. */
export const NO_RESOURCES: Resources = { cpu: 0, gpu: 0, ram: 0 };

/** Resources required by a task, rounded up to whole thousandths so that sums never understate them. */
export function roundUpDemand(cpu: number, gpu: number, ram: number): Resources {
  return { cpu: thousandthsUp(cpu), gpu: thousandthsUp(gpu), ram: thousandthsUp(ram) };
}

/** Resources offered by a machine or quota, rounded down to whole thousandths. */
export function roundDownCapacity(cpu: number, gpu: number, ram: number): Resources {
  return { cpu: thousandthsDown(cpu), gpu: thousandthsDown(gpu), ram: thousandthsDown(ram) };
}

/** 1.1 * 1000 is slightly above 1100; this rounding error must not be rounded up to a thousandth. */
const ROUNDING_ERROR = 1e-6;

function thousandthsUp(amount: number): number {
  return Math.max(0, Math.ceil(amount * 1000 - ROUNDING_ERROR));
}

function thousandthsDown(amount: number): number {
  return Math.floor(amount * 1000 + ROUNDING_ERROR);
}

/** Returns `a + factor * b` for each resource; a factor of -1 subtracts. */
export function add(a: Resources, b: Resources, factor = 1): Resources {
  return {
    cpu: a.cpu + b.cpu * factor,
    gpu: a.gpu + b.gpu * factor,
    ram: a.ram + b.ram * factor,
  };
}

/** True if the capacity covers the need for every resource. */
export function fits(need: Resources, capacity: Resources): boolean {
  return need.cpu <= capacity.cpu && need.gpu <= capacity.gpu && need.ram <= capacity.ram;
}

/** Returns how many tasks with this need fit into the capacity; infinity if the need is zero. */
export function countFitting(need: Resources, capacity: Resources): number {
  let count = Number.POSITIVE_INFINITY;
  if (need.cpu > 0) count = Math.min(count, Math.floor(capacity.cpu / need.cpu));
  if (need.gpu > 0) count = Math.min(count, Math.floor(capacity.gpu / need.gpu));
  if (need.ram > 0) count = Math.min(count, Math.floor(capacity.ram / need.ram));
  return Math.max(0, count);
}
