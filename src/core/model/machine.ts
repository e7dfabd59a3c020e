import type { Heartbeat } from "../messages/agents.js";
import type { MachineType } from "./deployment.js";
import type { JobSpec } from "./job-spec.js";
import type { Placement, Reservation } from "./placement.js";
import type { Resources } from "./resources.js";
import { fits, NO_RESOURCES } from "./resources.js";

/** True if a task of this job may run on an empty machine of this type. */
export function fitsMachineType(spec: JobSpec, type: MachineType): boolean {
  return fits(spec.need, type.size) && (spec.types === null || spec.types.includes(type.name));
}

/** An image that a machine is taken to have in its cache, or to be fetching. */
export interface CachedImage {
  /** When it is fetched, by estimate. */
  readyAt: number;
  usedAt: number;
  gb: number;
}

/**
 * Whether a machine takes tasks, as the operators have set it; faulty machines are drained, too. "cordon" lets run what
 * is there and takes nothing new; "drain" also evicts, and the machine is terminated once it is empty.
 */
export type MachineMode = "open" | "cordon" | "drain";

/** Where a machine is and what it is, as its agent's heartbeat or the cloud says. */
export interface MachineOrigin {
  /** Of its agent; empty where it is not known yet. */
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** A machine in the leader's cluster state: what its agent reports, what is placed there, what it is needed for. */
export class Machine {
  /** The interner's index of its name. */
  readonly index: number;
  readonly name: string;
  /** Of its agent; empty where it is not known yet. */
  address: string;
  typeName: string;
  /** Null while the cloud's catalogue has no type of that name. */
  type: MachineType | null = null;
  zone: string;
  spot: boolean;
  /** booting: no heartbeat has come yet; up: its agent has reported; releasing: marked for termination. */
  phase: "booting" | "up" | "releasing" = "booting";
  /** Of the newest heartbeat (I4); 0 before the first. */
  incarnation = 0;
  sequence = -1;
  /** The highest fencing token that its agent had seen by the newest heartbeat. */
  fencingToken = 0;
  /** When the last heartbeat came. Replies to direct commands don't count (I7): an agent that reaches no node expires. */
  heartbeatAt = Number.NEGATIVE_INFINITY;
  /** When a heartbeat was last answered, which renews the agent's lease. */
  repliedAt = Number.NEGATIVE_INFINITY;
  /** When its agent was first seen to carry a fencing token of this term; null until then. */
  fencedAt: number | null = null;
  /** Since when the effect of something sent to its agent is awaited in a heartbeat; null if nothing is awaited. */
  acknowledgementAwaitedSince: number | null = null;
  /** Since when nothing sent to its agent has an effect (I7): nothing is placed here; terminated if this lasts. */
  unreachableSince: number | null = null;
  /** When the first heartbeat of the present incarnation came. */
  incarnationSince = Number.NEGATIVE_INFINITY;
  /** True from the expiry of its agent's lease to the next heartbeat: no task runs here, and none is placed here. */
  isLeaseExpired = false;
  /** When the cloud reclaims it by its interruption notice; null without one. */
  reclaimDueAt: number | null = null;
  mode: MachineMode = "open";
  readonly placements = new Set<Placement>();
  /** What its placements use. */
  used: Resources = NO_RESOURCES;
  /** The same by the placements' priority. */
  readonly usedByPriority: Resources[] = [NO_RESOURCES, NO_RESOURCES, NO_RESOURCES, NO_RESOURCES];
  /** What is kept free for a replica that is about to migrate here. */
  reservedForMigration: Resources = NO_RESOURCES;
  /** What is used by reported tasks without a placement. */
  usedByUnknownTasks: Resources = NO_RESOURCES;
  /** The newest heartbeat. */
  heartbeat: Heartbeat | null = null;
  /** Its image cache, as far as it can be told, by image name. */
  readonly images = new Map<string, CachedImage>();
  /** When it was created. */
  createdAt: number;
  /** Since when nothing runs on it; null while something does. */
  idleSince: number | null = null;
  /** One of more GPU machines than are needed: nothing without GPUs is placed here; terminated once it is empty. */
  isMarkedForScaleIn = false;
  /** The job that its free capacity is reserved for. */
  reservation: Reservation | null = null;
  /** Since when little enough runs on it for its replicas to be migrated away. */
  underutilizedSince: number | null = null;
  /** Nothing is placed on it before this time, after a refused start. */
  backoffUntil = 0;
  /** Failed tasks since a task was last done here. */
  failures = 0;
  /** Indices of the jobs of which tasks have failed here. */
  readonly failedJobs = new Set<number>();
  /** The machine record that lists it as of the last write; null if none does. */
  recordIndex: number | null = null;
  /** True while a command batch was sent directly whose reply has not come. */
  isCommandInFlight = false;
  /** No command batch is sent directly before this time, after one without a reply. */
  commandRetryAt = 0;
  /** The cloud is not asked to terminate it before this time, after a request that failed. */
  terminationRetryAt = 0;
  /** Why it is marked for termination. */
  terminationReason: string | null = null;

  constructor(index: number, name: string, origin: MachineOrigin, createdAt: number) {
    this.index = index;
    this.name = name;
    this.address = origin.address;
    this.typeName = origin.type;
    this.zone = origin.zone;
    this.spot = origin.spot;
    this.createdAt = createdAt;
  }

  /**
   * True if a task fits beside what is here.
   *
   * @param need What the task needs.
   * @param preemptibleBelow Placements of a lower priority than this count as free.
   */
  hasCapacityFor(need: Resources, preemptibleBelow = 0): boolean {
    const { used, reservedForMigration: reserved, usedByUnknownTasks: unknown } = this;
    const size = this.type?.size ?? NO_RESOURCES;
    let { cpu, gpu, ram } = size;
    for (let priority = 0; priority < preemptibleBelow; priority++) {
      const preemptible = this.usedByPriority[priority] ?? NO_RESOURCES;
      cpu += preemptible.cpu;
      gpu += preemptible.gpu;
      ram += preemptible.ram;
    }
    return (
      need.cpu <= cpu - used.cpu - reserved.cpu - unknown.cpu &&
      need.gpu <= gpu - used.gpu - reserved.gpu - unknown.gpu &&
      need.ram <= ram - used.ram - reserved.ram - unknown.ram
    );
  }

  /** What is free beside placements, the pending migration and unknown tasks; nothing if its type is not known. */
  freeCapacity(): Resources {
    const size = this.type?.size ?? NO_RESOURCES;
    return {
      cpu: size.cpu - this.used.cpu - this.reservedForMigration.cpu - this.usedByUnknownTasks.cpu,
      gpu: size.gpu - this.used.gpu - this.reservedForMigration.gpu - this.usedByUnknownTasks.gpu,
      ram: size.ram - this.used.ram - this.reservedForMigration.ram - this.usedByUnknownTasks.ram,
    };
  }

  /** The share of its CPUs that is in use or kept for the pending migration; 1 if its type is not known. */
  bookedShare(): number {
    const cpu = this.type?.size.cpu ?? 0;
    return cpu > 0 ? (this.used.cpu + this.reservedForMigration.cpu + this.usedByUnknownTasks.cpu) / cpu : 1;
  }

  /** The share of its CPUs that placements of one priority use; 1 if its type is not known. */
  bookedShareOf(priority: number): number {
    const cpu = this.type?.size.cpu ?? 0;
    return cpu > 0 ? (this.usedByPriority[priority]?.cpu ?? 0) / cpu : 1;
  }
}
