/**
 * Amounts of the resources that tasks need and machines offer: thousandths of a core, of a GPU and of a GB.
 * They are whole numbers, so that sums never drift.
 */
export interface Resources {
  readonly cpu: number;
  readonly gpu: number;
  readonly ram: number;
}

/** Nothing of any resource. */
export const NO_RESOURCES: Resources = { cpu: 0, gpu: 0, ram: 0 };

/** What a task needs, rounded up to whole thousandths, so that a sum never understates it. */
export function roundUpDemand(cpu: number, gpu: number, ram: number): Resources {
  return { cpu: thousandthsUp(cpu), gpu: thousandthsUp(gpu), ram: thousandthsUp(ram) };
}

/** What a machine or a quota offers, rounded down to whole thousandths. */
export function roundDownCapacity(cpu: number, gpu: number, ram: number): Resources {
  return { cpu: thousandthsDown(cpu), gpu: thousandthsDown(gpu), ram: thousandthsDown(ram) };
}

/** 1.1 * 1000 is slightly above 1100: the rounding error of the product must not count as a thousandth. */
const ROUNDING_ERROR = 1e-6;

function thousandthsUp(amount: number): number {
  return Math.max(0, Math.ceil(amount * 1000 - ROUNDING_ERROR));
}

function thousandthsDown(amount: number): number {
  return Math.floor(amount * 1000 + ROUNDING_ERROR);
}

/** `a + factor * b`, resource by resource; -1 subtracts. */
export function add(a: Resources, b: Resources, factor = 1): Resources {
  return {
    cpu: a.cpu + b.cpu * factor,
    gpu: a.gpu + b.gpu * factor,
    ram: a.ram + b.ram * factor,
  };
}

/** True if the capacity has at least what is needed of every resource. */
export function fits(need: Resources, capacity: Resources): boolean {
  return need.cpu <= capacity.cpu && need.gpu <= capacity.gpu && need.ram <= capacity.ram;
}

/** How many tasks of this need fit into the capacity together; infinite for a need of nothing. */
export function countFitting(need: Resources, capacity: Resources): number {
  let count = Number.POSITIVE_INFINITY;
  if (need.cpu > 0) count = Math.min(count, Math.floor(capacity.cpu / need.cpu));
  if (need.gpu > 0) count = Math.min(count, Math.floor(capacity.gpu / need.gpu));
  if (need.ram > 0) count = Math.min(count, Math.floor(capacity.ram / need.ram));
  return Math.max(0, count);
}
