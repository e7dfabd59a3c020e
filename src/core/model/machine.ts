import type { Heartbeat } from "../messages/agents.js";
import type { MachineType } from "./deployment.js";
import type { JobSpec } from "./job-spec.js";
import type { Placement, Reservation } from "./placement.js";
import type { Resources } from "./resources.js";
import { fits, NO_RESOURCES } from "./resources.js";

/** Can a task of this job be put on machines of this type at all? */
export function fitsMachineType(spec: JobSpec, type: MachineType): boolean {
  return fits(spec.need, type.size) && (spec.types === null || spec.types.includes(type.name));
}

export interface CachedImage {
  readyAt: number;
  usedAt: number;
  gb: number;
}

export type MachineMode = "open" | "cordon" | "drain";

/** A machine as the leader knows it: what its worker said, what is placed there, what is to become of it. */
export class Machine {
  readonly index: number;
  readonly name: string;
  address: string;
  typeName: string;
  type: MachineType | null = null;
  zone: string;
  spot: boolean;
  /** up: has reported; booting: only the cloud has spoken of it; releasing: its release was asked for. */
  phase: "booting" | "up" | "releasing" = "booting";
  incarnation = 0;
  sequence = -1;
  /** The highest token a report of this worker carried. */
  fencingToken = 0;
  /** Its last report. Answers to direct commands don't count: a worker that can't report loses its lease all the same. */
  heartbeatAt = Number.NEGATIVE_INFINITY;
  repliedAt = Number.NEGATIVE_INFINITY;
  fencedAt: number | null = null;
  /** Since when something that was sent to it should have shown in its reports; null when nothing is owed. */
  acknowledgementOverdueSince: number | null = null;
  /** Since when it reports but shows no sign of hearing: it gets no work, and is replaced if this lasts. */
  unreachableSince: number | null = null;
  /** When the present session was first heard of. */
  incarnationSince = Number.NEGATIVE_INFINITY;
  /** Its lease has run out without a newer report: nothing of ours is on it, nothing is given to it. */
  isLeaseExpired = false;
  reclaimedAt: number | null = null;
  mode: MachineMode = "open";
  readonly placements = new Set<Placement>();
  used: Resources = NO_RESOURCES;
  /** The same by priority. */
  readonly usedByPriority: Resources[] = [NO_RESOURCES, NO_RESOURCES, NO_RESOURCES, NO_RESOURCES];
  /** Room kept for a replica that is about to move here. */
  reservedForMigration: Resources = NO_RESOURCES;
  /** Room taken by reported tasks that we have no placement for. */
  usedByUnknownTasks: Resources = NO_RESOURCES;
  heartbeat: Heartbeat | null = null;
  readonly images = new Map<string, CachedImage>();
  bootingSince: number;
  idleSince: number | null = null;
  /** One of more machines of its kind than are needed: it takes no new small work and is returned when empty. */
  isMarkedForScaleIn = false;
  reservation: Reservation | null = null;
  underutilizedSince: number | null = null;
  backoffUntil = 0;
  failures = 0;
  readonly failedJobs = new Set<number>();
  /** The record that lists it, as of the last one written; null if none does. */
  recordIndex: number | null = null;
  isCommandInFlight = false;
  commandRetryAt = 0;
  terminationRetryAt = 0;
  terminationReason: string | null = null;

  constructor(
    ix: number,
    name: string,
    at: { address: string; type: string; zone: string; spot: boolean },
    now: number,
  ) {
    this.index = ix;
    this.name = name;
    this.address = at.address;
    this.typeName = at.type;
    this.zone = at.zone;
    this.spot = at.spot;
    this.bootingSince = now;
  }

  /** True if a task fits beside what is here; what work below a priority uses may be counted as room. */
  hasCapacityFor(need: Resources, below = 0): boolean {
    const { used, reservedForMigration: booked, usedByUnknownTasks: strayUse } = this;
    const size = this.type?.size ?? NO_RESOURCES;
    let { cpu, gpu, ram } = size;
    for (let priority = 0; priority < below; priority++) {
      const part = this.usedByPriority[priority] ?? NO_RESOURCES;
      cpu += part.cpu;
      gpu += part.gpu;
      ram += part.ram;
    }
    return (
      need.cpu <= cpu - used.cpu - booked.cpu - strayUse.cpu &&
      need.gpu <= gpu - used.gpu - booked.gpu - strayUse.gpu &&
      need.ram <= ram - used.ram - booked.ram - strayUse.ram
    );
  }

  freeCapacity(): Resources {
    const size = this.type?.size ?? NO_RESOURCES;
    return {
      cpu: size.cpu - this.used.cpu - this.reservedForMigration.cpu - this.usedByUnknownTasks.cpu,
      gpu: size.gpu - this.used.gpu - this.reservedForMigration.gpu - this.usedByUnknownTasks.gpu,
      ram: size.ram - this.used.ram - this.reservedForMigration.ram - this.usedByUnknownTasks.ram,
    };
  }

  bookedShare(): number {
    const cpu = this.type?.size.cpu ?? 0;
    return cpu > 0 ? (this.used.cpu + this.reservedForMigration.cpu + this.usedByUnknownTasks.cpu) / cpu : 1;
  }

  /** The part of the CPUs that work of one priority uses. */
  bookedShareOf(priority: number): number {
    const cpu = this.type?.size.cpu ?? 0;
    return cpu > 0 ? (this.usedByPriority[priority]?.cpu ?? 0) / cpu : 1;
  }
}
