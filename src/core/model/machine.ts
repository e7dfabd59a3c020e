import type { Heartbeat } from "../messages/agents.js";
import type { MachineType } from "./deployment.js";
import type { JobSpec } from "./job-spec.js";
import type { Placement, Reservation } from "./placement.js";
import type { Resources } from "./resources.js";
import { fits, ZERO } from "./resources.js";

/** Can a task of this job be put on machines of this type at all? */
export function suitsType(spec: JobSpec, type: MachineType): boolean {
  return fits(spec.need, type.size) && (spec.types === null || spec.types.includes(type.name));
}

export interface ImageOnMachine {
  readyAt: number;
  usedAt: number;
  gb: number;
}

export type MachineMode = "open" | "cordon" | "drain";

/** A machine as the leader knows it: what its worker said, what is placed there, what is to become of it. */
export class Machine {
  readonly ix: number;
  readonly name: string;
  address: string;
  typeName: string;
  type: MachineType | null = null;
  zone: string;
  spot: boolean;
  /** up: has reported; booting: only the cloud has spoken of it; releasing: its release was asked for. */
  phase: "booting" | "up" | "releasing" = "booting";
  session = 0;
  sequence = -1;
  /** The highest token a report of this worker carried. */
  token = 0;
  /** Its last report. Answers to direct commands don't count: a worker that can't report loses its lease all the same. */
  heardAt = Number.NEGATIVE_INFINITY;
  answeredAt = Number.NEGATIVE_INFINITY;
  adoptedAt: number | null = null;
  /** Since when something that was sent to it should have shown in its reports; null when nothing is owed. */
  owedSince: number | null = null;
  /** Since when it reports but shows no sign of hearing: it gets no work, and is replaced if this lasts. */
  unreachableSince: number | null = null;
  /** When the present session was first heard of. */
  sessionSince = Number.NEGATIVE_INFINITY;
  /** Its lease has run out without a newer report: nothing of ours is on it, nothing is given to it. */
  lost = false;
  noticeUntil: number | null = null;
  mode: MachineMode = "open";
  readonly placements = new Set<Placement>();
  used: Resources = ZERO;
  /** The same by priority. */
  readonly usedBy: Resources[] = [ZERO, ZERO, ZERO, ZERO];
  /** Room kept for a replica that is about to move here. */
  booked: Resources = ZERO;
  /** Room taken by reported tasks that we have no placement for. */
  strayUse: Resources = ZERO;
  report: Heartbeat | null = null;
  readonly images = new Map<string, ImageOnMachine>();
  bootingSince: number;
  idleSince: number | null = null;
  /** One of more machines of its kind than are needed: it takes no new small work and is returned when empty. */
  retiring = false;
  reserved: Reservation | null = null;
  lowSince: number | null = null;
  blockedUntil = 0;
  failures = 0;
  readonly failedJobs = new Set<number>();
  /** The record that lists it, as of the last one written; null if none does. */
  bucket: number | null = null;
  doInFlight = false;
  doRetryAt = 0;
  releaseRetryAt = 0;
  releaseWhy: string | null = null;

  constructor(
    ix: number,
    name: string,
    at: { address: string; type: string; zone: string; spot: boolean },
    now: number,
  ) {
    this.ix = ix;
    this.name = name;
    this.address = at.address;
    this.typeName = at.type;
    this.zone = at.zone;
    this.spot = at.spot;
    this.bootingSince = now;
  }

  /** True if a task fits beside what is here; what work below a priority uses may be counted as room. */
  hasRoom(need: Resources, below = 0): boolean {
    const { used, booked, strayUse } = this;
    const size = this.type?.size ?? ZERO;
    let { cpu, gpu, ram } = size;
    for (let priority = 0; priority < below; priority++) {
      const part = this.usedBy[priority] ?? ZERO;
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

  room(): Resources {
    const size = this.type?.size ?? ZERO;
    return {
      cpu: size.cpu - this.used.cpu - this.booked.cpu - this.strayUse.cpu,
      gpu: size.gpu - this.used.gpu - this.booked.gpu - this.strayUse.gpu,
      ram: size.ram - this.used.ram - this.booked.ram - this.strayUse.ram,
    };
  }

  share(): number {
    const cpu = this.type?.size.cpu ?? 0;
    return cpu > 0 ? (this.used.cpu + this.booked.cpu + this.strayUse.cpu) / cpu : 1;
  }

  /** The part of the CPUs that work of one priority uses. */
  shareOf(priority: number): number {
    const cpu = this.type?.size.cpu ?? 0;
    return cpu > 0 ? (this.usedBy[priority]?.cpu ?? 0) / cpu : 1;
  }
}
