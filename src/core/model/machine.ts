import type { Heartbeat } from "../messages/agents.js";
import type { MachineType } from "./deployment.js";
import type { Job } from "./job.js";
import type { JobSpec } from "./job-spec.js";
import type { Placement, Reservation } from "./placement.js";
import type { Resources } from "./resources.js";
import { fits, NO_RESOURCES } from "./resources.js";

/** True if a task of the job may run on an empty machine of the type. */
export function fitsMachineType(spec: JobSpec, type: MachineType): boolean {
  return fits(spec.need, type.size) && (spec.types === null || spec.types.includes(type.name));
}

/** True if the job's constraints (types, zone, spot) allow the machine, regardless of its size and free capacity. */
export function mayRunOn({ types, zone, spot }: JobSpec, machine: Machine): boolean {
  return (
    (types === null || types.includes(machine.typeName)) &&
    (zone === null || zone === machine.zone) &&
    (spot || !machine.spot)
  );
}

/** An image that a machine is assumed to have in its cache or to be fetching. */
export interface CachedImage {
  /** Estimated time at which the fetch is complete. */
  readyAt: number;
  usedAt: number;
  gb: number;
}

/**
 * Whether a machine accepts tasks, as set by operators. "cordon" keeps running tasks but accepts no new ones; "drain"
 * also evicts tasks, and the machine is terminated once it is empty.
 */
export type MachineMode = "open" | "cordon" | "drain";

/**
 * The ejection of an outlier: a machine on which different jobs fail that do not fail elsewhere gets no tasks. Until it
 * is confirmed, running tasks are left alone and the ejection ends by itself.
 */
export interface Ejection {
  readonly since: number;
  /** When it ends unless it is confirmed. */
  readonly until: number;
  /** True once the jobs are known to succeed on other machines: tasks are evicted. */
  readonly isConfirmed: boolean;
  /** True once it is empty and may be terminated. */
  readonly mayTerminate: boolean;
}

/** A start that an agent refused; until the given time, similar ones are not tried. */
export interface RefusedStart {
  readonly job: Job;
  /** True if the machine had no room for the task: jobs that need at least as much are kept off too. */
  readonly isForCapacity: boolean;
  readonly until: number;
}

/** Location and type of a machine, from its agent's heartbeat or from the cloud. */
export interface MachineOrigin {
  /** Address of the agent; empty if not known yet. */
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** A machine in the leader's cluster state: the state reported by its agent, its placements and reservations. */
export class Machine {
  /** Interner index of the name. */
  readonly index: number;
  readonly name: string;
  /** Address of the agent; empty if not known yet. */
  address: string;
  typeName: string;
  /** Null while the cloud's catalog has no type of this name. */
  type: MachineType | null = null;
  zone: string;
  spot: boolean;
  /** booting: no heartbeat received yet; up: the agent has sent a heartbeat; releasing: marked for termination. */
  phase: "booting" | "up" | "releasing" = "booting";
  /** The agent's incarnation in the newest heartbeat (I4); 0 before the first. */
  incarnation = 0;
  sequence = -1;
  /** The highest fencing token seen by the agent, as of the newest heartbeat. */
  fencingToken = 0;
  /**
   * When the last heartbeat was received. Replies to direct commands do not count (I7): the lease of an agent that
   * reaches no node must expire.
   */
  heartbeatAt = Number.NEGATIVE_INFINITY;
  /** When a heartbeat was last replied to, which renews the agent's lease. */
  repliedAt = Number.NEGATIVE_INFINITY;
  /** When the agent first reported a fencing token of this term; null until then. */
  fencedAt: number | null = null;
  /** Since when a heartbeat is awaited that acknowledges something sent to the agent; null if none is awaited. */
  acknowledgementAwaitedSince: number | null = null;
  /** Since when nothing sent to the agent takes effect (I7): no task is placed here; terminated if this persists. */
  unreachableSince: number | null = null;
  /** When the first heartbeat of the current incarnation was received. */
  incarnationSince = Number.NEGATIVE_INFINITY;
  /** True from the expiry of the agent's lease until the next heartbeat: no task runs or is placed here. */
  isLeaseExpired = false;
  /** When the cloud reclaims it according to its interruption notice; null without one. */
  reclaimDueAt: number | null = null;
  mode: MachineMode = "open";
  /** The verdict that it is faulty; null if there is none. An operator's mode takes precedence. */
  ejection: Ejection | null = null;
  readonly placements = new Set<Placement>();
  /** Resources used by its placements. */
  used: Resources = NO_RESOURCES;
  /** Resources used by its placements, by placement priority. */
  readonly usedByPriority: Resources[] = [NO_RESOURCES, NO_RESOURCES, NO_RESOURCES, NO_RESOURCES];
  /** Resources reserved for a replica that is about to migrate here. */
  reservedForMigration: Resources = NO_RESOURCES;
  /** Resources used by reported tasks that have no placement. */
  usedByUnknownTasks: Resources = NO_RESOURCES;
  /** The newest heartbeat. */
  heartbeat: Heartbeat | null = null;
  /** Estimated content of its image cache, by image name. */
  readonly images = new Map<string, CachedImage>();
  createdAt: number;
  /** Since when no task runs here; null while one does. */
  idleSince: number | null = null;
  /** A surplus GPU machine: tasks that need no GPU are not placed here, and it is terminated once it is empty. */
  isMarkedForScaleIn = false;
  /** Reservation of its free capacity for a job. */
  reservation: Reservation | null = null;
  /** Since when its allocated CPU share has been low enough for its replicas to be migrated away. */
  underutilizedSince: number | null = null;
  /** Recent starts that its agent refused; expired ones are removed with the next. */
  refusedStarts: RefusedStart[] = [];
  /** Number of failed tasks since a task was last done here. */
  failures = 0;
  /** When a task of each job last failed here, since a task was last done here. */
  readonly failedJobs = new Map<Job, number>();
  /** Index of the machine record that contains it as of the last write; null if none does. */
  recordIndex: number | null = null;
  /** True while a directly sent command batch awaits its reply. */
  isCommandInFlight = false;
  /** After a command batch without a reply, none is sent directly before this time. */
  commandRetryAt = 0;
  /** After a failed termination request to the cloud, none is sent before this time. */
  terminationRetryAt = 0;
  /** Why no task could be placed here as of the last round, as logged; null if tasks could be placed. */
  loggedExclusion: string | null = null;
  /** Why the machine is marked for termination. */
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

  /** True if a start of the job was refused recently, or one that needed no more than it. */
  wouldRefuse(job: Job, now: number): boolean {
    return this.refusedStarts.some(
      (refused) =>
        refused.until > now &&
        (refused.job === job || (refused.isForCapacity && fits(refused.job.spec.need, job.spec.need))),
    );
  }

  /**
   * True if a task fits in the free capacity.
   *
   * @param need Resources required by the task.
   * @param preemptibleBelow Resources used by placements of a lower priority than this count as free.
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

  /** True if tasks are evicted: an operator drains it, or it is confirmed to be faulty and no operator has set a mode. */
  get isDraining(): boolean {
    return this.mode === "drain" || (this.mode === "open" && this.ejection?.isConfirmed === true);
  }

  /** Capacity not used by placements, the pending migration or unknown tasks; none if the type is not known. */
  freeCapacity(): Resources {
    const size = this.type?.size ?? NO_RESOURCES;
    return {
      cpu: size.cpu - this.used.cpu - this.reservedForMigration.cpu - this.usedByUnknownTasks.cpu,
      gpu: size.gpu - this.used.gpu - this.reservedForMigration.gpu - this.usedByUnknownTasks.gpu,
      ram: size.ram - this.used.ram - this.reservedForMigration.ram - this.usedByUnknownTasks.ram,
    };
  }

  /** Returns the share of CPU in use or reserved for the pending migration; 1 if the type is not known. */
  allocatedCpuShare(): number {
    const cpu = this.type?.size.cpu ?? 0;
    return cpu > 0 ? (this.used.cpu + this.reservedForMigration.cpu + this.usedByUnknownTasks.cpu) / cpu : 1;
  }

  /** Returns the share of CPU used by placements of one priority; 1 if the type is not known. */
  allocatedCpuShareOf(priority: number): number {
    const cpu = this.type?.size.cpu ?? 0;
    return cpu > 0 ? (this.usedByPriority[priority]?.cpu ?? 0) / cpu : 1;
  }
}
