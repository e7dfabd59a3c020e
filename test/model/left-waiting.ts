import type { Deployment } from "../../src/core/model/deployment.js";
import type { JobSpec } from "../../src/core/model/job-spec.js";
import type { Resources } from "../../src/core/model/resources.js";
import type { Job, Worker } from "./truth.js";

export interface LeftWaitingWorld {
  readonly workers: ReadonlyMap<string, Worker>;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly teams: Deployment["teams"];
  /** True for a job that its user, or that of one it needs, has called off, or that waits for others. */
  waitsForOthers(job: Job): boolean;
  fault(uid: string): void;
}

/** Watches, with all troubles over, that no job waits beside room for it. */
export class LeftWaiting {
  readonly #workers: ReadonlyMap<string, Worker>;
  readonly #jobs: ReadonlyMap<string, Job>;
  readonly #teams: Deployment["teams"];
  readonly #waitsForOthers: (job: Job) => boolean;
  readonly #fault: (uid: string) => void;

  constructor({ workers, jobs, teams, waitsForOthers, fault }: LeftWaitingWorld) {
    this.#workers = workers;
    this.#jobs = jobs;
    this.#teams = teams;
    this.#waitsForOthers = waitsForOthers;
    this.#fault = fault;
  }

  /**
   * With all troubles over: is there a job some of whose tasks wait although a machine that may take one has room, and its
   * team is under its limit? It may not be so for 90 s.
   */
  look(now: number): void {
    const free = new Map<Worker, Resources>();
    const used = new Map<string, { cpu: number; gpu: number }>();
    for (const w of this.#workers.values()) {
      if (!w.alive || now < w.upAt || w.noticeAt !== null) continue;
      let { cpu, gpu, ram } = w.type.size;
      for (const t of w.tasks) {
        const spec = t.state === "ended" ? undefined : this.#jobs.get(t.uid)?.spec;
        if (!spec) continue;
        cpu -= spec.need.cpu;
        gpu -= spec.need.gpu;
        ram -= spec.need.ram;
        const team = used.get(spec.team) ?? { cpu: 0, gpu: 0 };
        used.set(spec.team, { cpu: team.cpu + spec.need.cpu, gpu: team.gpu + spec.need.gpu });
      }
      free.set(w, { cpu, gpu, ram });
    }
    for (const job of this.#jobs.values()) {
      const { spec } = job;
      const over = job.acceptedAt === null || job.finishedAt !== null || this.#waitsForOthers(job);
      if (over || !this.#isLeft(spec, free, used.get(spec.team) ?? { cpu: 0, gpu: 0 })) {
        job.leftSince = null;
        continue;
      }
      job.leftSince ??= now;
      if (now - job.leftSince >= 90_000) this.#fault(spec.uid);
    }
  }

  #isLeft(spec: JobSpec, free: ReadonlyMap<Worker, Resources>, use: { cpu: number; gpu: number }): boolean {
    // Where the tasks must be spread, the zone with room may be the one that has its half.
    if (spec.spread) return false;
    const running = new Set<number>();
    for (const w of this.#workers.values())
      if (w.alive)
        for (const t of w.tasks) if (t.uid === spec.uid && t.state !== "ended") running.add(t.task);
    const done = this.#jobs.get(spec.uid)?.done ?? new Set<number>();
    let waiting = 0;
    for (let i = 0; i < spec.tasks; i++) if (!running.has(i) && !done.has(i)) waiting++;
    if (waiting === 0 || (spec.shape === "gang" && running.size > 0)) return false;
    const limit = this.#teams.find((t) => t.name === spec.team)?.limit;
    const atOnce = spec.shape === "gang" ? spec.tasks : 1;
    if (!limit || use.cpu + spec.need.cpu * atOnce > limit.cpu) return false;
    if (use.gpu + spec.need.gpu * atOnce > limit.gpu) return false;
    const places = new Map<string, number>();
    for (const [w, { cpu, gpu, ram }] of free) {
      if (spec.types && !spec.types.includes(w.type.name)) continue;
      if ((spec.zone !== null && spec.zone !== w.zone) || (w.spot && !spec.spot)) continue;
      const { need } = spec;
      const fit = Math.min(
        Math.floor(cpu / need.cpu),
        need.gpu > 0 ? Math.floor(gpu / need.gpu) : Number.POSITIVE_INFINITY,
        Math.floor(ram / need.ram),
      );
      const zone = spec.oneZone ? w.zone : "";
      places.set(zone, (places.get(zone) ?? 0) + Math.max(0, fit));
    }
    return [...places.values()].some((n) => n >= atOnce);
  }
}
