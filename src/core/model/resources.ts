/** Amounts of the resources that tasks need and machines offer, in whole thousandths, so that sums never drift. */
export interface Resources {
  readonly cpu: number;
  readonly gpu: number;
  readonly ram: number;
}

export const NO_RESOURCES: Resources = { cpu: 0, gpu: 0, ram: 0 };

/** What a task takes is rounded up, so that the sum never understates it. */
export function roundUpDemand(cpu: number, gpu: number, ram: number): Resources {
  return { cpu: up(cpu), gpu: up(gpu), ram: up(ram) };
}

/** What a machine or a limit offers is rounded down. */
export function roundDownCapacity(cpu: number, gpu: number, ram: number): Resources {
  return { cpu: down(cpu), gpu: down(gpu), ram: down(ram) };
}

// 1.1 * 1000 is a hair above 1100: rounding noise must not turn into a thousandth.
function up(x: number): number {
  return Math.max(0, Math.ceil(x * 1000 - 1e-6));
}
function down(x: number): number {
  return Math.floor(x * 1000 + 1e-6);
}

export function add(a: Resources, b: Resources, countFitting = 1): Resources {
  return {
    cpu: a.cpu + b.cpu * countFitting,
    gpu: a.gpu + b.gpu * countFitting,
    ram: a.ram + b.ram * countFitting,
  };
}

export function fits(need: Resources, room: Resources): boolean {
  return need.cpu <= room.cpu && need.gpu <= room.gpu && need.ram <= room.ram;
}

/** How many times `need` goes into `room`. */
export function times(need: Resources, room: Resources): number {
  let n = Number.POSITIVE_INFINITY;
  if (need.cpu > 0) n = Math.min(n, Math.floor(room.cpu / need.cpu));
  if (need.gpu > 0) n = Math.min(n, Math.floor(room.gpu / need.gpu));
  if (need.ram > 0) n = Math.min(n, Math.floor(room.ram / need.ram));
  return Math.max(0, n);
}
