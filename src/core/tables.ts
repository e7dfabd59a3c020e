import { add, fits, ZERO } from "./amount.js";
import type { Directory } from "./names.js";
import type { Amount, JobSpec, MachineType, Priority, Report, TaskState } from "./types.js";

/**
 * Attempts carry the token they were made under, so that none is ever used twice and anyone can tell
 * under which token a start may still be on its way: attempt = token * 2^20 + counter (below 2^53).
 */
const ATTEMPTS_PER_TOKEN = 2 ** 20;

export function attemptOf(token: number, counter: number): number {
  return token * ATTEMPTS_PER_TOKEN + counter;
}
export function tokenOf(attempt: number): number {
  return Math.floor(attempt / ATTEMPTS_PER_TOKEN);
}
export function countersLeft(counter: number): boolean {
  return counter < ATTEMPTS_PER_TOKEN;
}

/** Can a task of this job be put on machines of this type at all? */
export function suitsType(spec: JobSpec, type: MachineType): boolean {
  return fits(spec.need, type.size) && (spec.types === null || spec.types.includes(type.name));
}

/** Keeps a machine's room for a job until it is used, or for so long. */
export interface Reservation {
  readonly job: Job;
  /** Kept from work of any priority. */
  readonly firm: boolean;
  readonly until: number;
}

/** A task on a machine: holds its task, quota, zone and room until it is proved gone. */
export interface Placement {
  readonly job: Job;
  readonly task: number;
  readonly machine: Machine;
  readonly session: number;
  readonly attempt: number;
  readonly placedAt: number;
  /** What its job counted as when it was placed. */
  readonly priority: Priority;
  /** Recorded in the state service; nothing is sent before. */
  durable: boolean;
  /** Its job was not cancelled at this time: its record depended on that. */
  allowedAt: number;
  /** What the worker last said of it; null while no report has shown it. */
  seen: TaskState | null;
  /** The highest token a start for it was sent under by this node; 0 for those of earlier leaders. */
  sentToken: number;
  sentAt: number;
  runningSince: number | null;
  stop: { graceS: number; at: number; sentAt: number; why: string } | null;
}

export type JobState = "active" | "cancelled" | "done";

const PENDING = 0;
const HELD = 1;
const DONE = 2;

export class Job {
  readonly ix: number;
  readonly uid: string;
  readonly spec: JobSpec;
  readonly acceptedAt: number;
  version: number;
  state: JobState = "active";
  /** Nothing of this job starts before this time (after failures). */
  notBefore = 0;
  /** Until then it is not stopped for anything but production work: it waited too long to begin. */
  sparedUntil = 0;
  /** Why some of its tasks wait, in words for the operators, as of the last round. */
  waitsFor: string | null = null;
  /** The reasons that the log has told: reasons alternate from round to round, and told each time they were most of it. */
  readonly toldWhy = new Set<string>();
  /** A record of its placements can't be read: nothing of it may be started, as it may be running. */
  unreadable = false;
  failures = 0;
  readonly failedOn = new Set<number>();
  readonly held = new Map<number, Placement>();
  doneCount = 0;
  /** When the last of its tasks that ran left its machine. */
  lastHeldAt = Number.NEGATIVE_INFINITY;
  finishing = false;
  blockedSince: number | null = null;
  /** Some machine's room may be kept for it until then. */
  reservesUntil = 0;
  /** When it was last looked into what might be stopped for it, in vain: not again at once. */
  roomSoughtAt = Number.NEGATIVE_INFINITY;
  /** Room is being made for it: no more lesser work is stopped for it before this time. */
  makingRoomUntil = 0;
  /** A gang: until when it waits for that room where its image is; null if it has not tried. */
  awaitedUntil: number | null = null;
  /** The versions of the records of its placements, by key. */
  readonly chunkVersions = new Map<string, number>();
  /** The size of the smallest of these records: smaller chunks are right where larger ones overlap, so none grows again. */
  chunkTasks = Number.POSITIVE_INFINITY;
  /** Wall time of its end, as the final record has it. */
  endedAt: number | null = null;
  /** What it counts as: its own priority or, if higher, that of a job that waits for it. */
  priority: Priority;
  /** Wall time by which it should be done: by its own deadline, or for a job that waits for it to meet its own. */
  dueAt: number | null;
  /** How many unfinished jobs name it among those that they wait for. */
  dependents = 0;
  /** False while jobs that it needs are not on record as done: until then it counts for nothing but a question. */
  released: boolean;
  /** Wall time from which its waits count: its acceptance or, if later, the end of the last job that it needs. */
  since: number;
  readonly #status: Uint8Array;
  #hint = 0;

  constructor(ix: number, spec: JobSpec, acceptedAt: number, version: number) {
    this.ix = ix;
    this.uid = spec.uid;
    this.spec = spec;
    this.acceptedAt = acceptedAt;
    this.since = acceptedAt;
    this.priority = spec.priority;
    this.dueAt = spec.deadlineS === null ? null : acceptedAt + spec.deadlineS * 1000;
    this.released = spec.awaits === undefined;
    this.version = version;
    this.#status = new Uint8Array(spec.tasks);
  }

  get pending(): number {
    return this.state === "active" && this.released ? this.spec.tasks - this.doneCount - this.held.size : 0;
  }

  get complete(): boolean {
    return this.doneCount === this.spec.tasks;
  }

  isDone(task: number): boolean {
    return this.#status[task] === DONE;
  }

  nextPending(): number | null {
    for (let i = this.#hint; i < this.#status.length; i++) {
      if (this.#status[i] === PENDING) {
        this.#hint = i;
        return i;
      }
    }
    this.#hint = this.#status.length;
    return null;
  }

  hold(placement: Placement): void {
    this.held.set(placement.task, placement);
    if (this.#status[placement.task] === PENDING) this.#status[placement.task] = HELD;
  }

  letGo({ task, runningSince }: Placement, now: number): void {
    this.held.delete(task);
    if (runningSince !== null) this.lastHeldAt = now;
    if (this.#status[task] === HELD) {
      this.#status[task] = PENDING;
      this.#hint = Math.min(this.#hint, task);
    }
  }

  markDone(task: number): void {
    if (task >= this.#status.length || this.#status[task] === DONE) return;
    this.#status[task] = DONE;
    this.doneCount++;
  }

  running(): number {
    let n = 0;
    for (const p of this.held.values()) if (p.seen === "running" || p.seen === "saving") n++;
    return n;
  }

  /** How many of its tasks may be in each zone at this moment. */
  inZone(zone: string): number {
    let n = 0;
    for (const p of this.held.values()) if (p.machine.zone === zone) n++;
    return n;
  }
}

export interface ImageOnMachine {
  readyAt: number;
  usedAt: number;
  gb: number;
}

export type MachineMode = "open" | "cordon" | "drain";

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
  used: Amount = ZERO;
  /** The same by priority. */
  readonly usedBy: Amount[] = [ZERO, ZERO, ZERO, ZERO];
  /** Room kept for a replica that is about to move here. */
  booked: Amount = ZERO;
  /** Room taken by reported tasks that we have no placement for. */
  strayUse: Amount = ZERO;
  report: Report | null = null;
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
  hasRoom(need: Amount, below = 0): boolean {
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

  room(): Amount {
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

/** All that is placed, by job, machine and team: the one place where placements come and go. */
export class Tables {
  readonly jobs = new Map<number, Job>();
  readonly machines = new Map<number, Machine>();
  readonly teamUse = new Map<string, Amount>();
  readonly types = new Map<string, MachineType>();
  /** Counts placements that have come and gone: what was worked out before a change may be stale. */
  changes = 0;
  /** Machines whose release the cloud has confirmed, and when: late lists and reports may still show them. */
  readonly released = new Map<string, number>();
  readonly directory: Directory;

  constructor(directory: Directory) {
    this.directory = directory;
  }

  setTypes(types: readonly MachineType[]): void {
    for (const type of types) this.types.set(type.name, type);
    for (const machine of this.machines.values()) machine.type = this.types.get(machine.typeName) ?? null;
  }

  jobByUid(uid: string): Job | undefined {
    const ix = this.directory.jobs.find(uid);
    return ix === undefined ? undefined : this.jobs.get(ix);
  }

  addJob(spec: JobSpec, acceptedAt: number, version: number): Job {
    const job = new Job(this.directory.jobs.intern(spec.uid), spec, acceptedAt, version);
    this.jobs.set(job.ix, job);
    return job;
  }

  machine(
    name: string,
    at: { address: string; type: string; zone: string; spot: boolean },
    now: number,
  ): Machine {
    const ix = this.directory.machines.intern(name);
    const known = this.machines.get(ix);
    if (known) {
      if (at.address !== "") known.address = at.address;
      return known;
    }
    const machine = new Machine(ix, name, at, now);
    machine.type = this.types.get(at.type) ?? null;
    this.machines.set(ix, machine);
    return machine;
  }

  removeMachine(machine: Machine): void {
    this.machines.delete(machine.ix);
  }

  place(placement: Placement): void {
    const { job, machine } = placement;
    job.hold(placement);
    machine.placements.add(placement);
    this.#count(placement, 1);
    machine.idleSince = null;
  }

  unplace(placement: Placement, now: number): void {
    const { job, machine } = placement;
    if (!machine.placements.delete(placement)) return;
    if (job.held.get(placement.task) === placement) job.letGo(placement, now);
    this.#count(placement, -1);
  }

  #count({ job, machine, priority }: Placement, sign: 1 | -1): void {
    const { need, team } = job.spec;
    machine.used = add(machine.used, need, sign);
    machine.usedBy[priority] = add(machine.usedBy[priority] ?? ZERO, need, sign);
    this.teamUse.set(team, add(this.teamUse.get(team) ?? ZERO, need, sign));
    this.changes++;
  }
}
