import type { AgentManager } from "../agents/agent-manager.js";
import type { Context } from "../context.js";
import type { LeaderLease } from "../election/leader-lease.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { MachineType } from "../model/deployment.js";
import type { Job } from "../model/job.js";
import { fitsMachineType, type Machine } from "../model/machine.js";
import { fits, times } from "../model/resources.js";
import type { BlockedJob, Scheduler } from "../scheduling/scheduler.js";
import type { RecordWriter } from "../store/record-writer.js";
import { CloudInventory } from "./cloud-inventory.js";
import { GpuHeadroom } from "./gpu-headroom.js";
import { MachineReaper } from "./machine-reaper.js";

const REFUSED_MS = 8000;
const REFUSED_MAX_MS = 60_000;
const RELEASE_RETRY_MS = 3000;
/** Backlogs of arrays are given machines enough to work them off in about this time. */
const DRAIN_S = 45;
const HIRE_TRIES = 3;
const HIRE_RETRY_MS = 1000;
const SPOT_RISK = 1.25;

interface Offer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

interface RentalRequest {
  readonly offer: Offer;
  readonly count: number;
  readonly request: string;
  readonly tries: number;
}

/** Rents machines for what finds no place, and gives back those that are to be released. */
export class Provisioner {
  readonly #ctx: Context;
  readonly #term: LeaderLease;
  readonly #tables: ClusterState;
  readonly #fleet: AgentManager;
  readonly #recorder: RecordWriter;
  readonly #scheduler: Scheduler;
  readonly #refused = new Map<string, { until: number; waitMs: number }>();
  readonly #hiring = new Map<string, RentalRequest>();
  /** Machines of each type that are there or have been asked for, as of this round of hiring. */
  #counts = new Map<string, number>();
  readonly #gpuReserve: GpuHeadroom;
  readonly #inventory: CloudInventory;
  readonly #watch: MachineReaper;
  /** Requests that got no answer, to be repeated under their names. */
  readonly #unanswered: { at: number; hire: RentalRequest }[] = [];
  #requests = 0;
  #releasing = false;

  constructor(
    ctx: Context,
    term: LeaderLease,
    tables: ClusterState,
    fleet: AgentManager,
    recorder: RecordWriter,
    scheduler: Scheduler,
    typesRead: (types: readonly MachineType[]) => void,
  ) {
    this.#ctx = ctx;
    this.#term = term;
    this.#tables = tables;
    this.#fleet = fleet;
    this.#recorder = recorder;
    this.#scheduler = scheduler;
    this.#gpuReserve = new GpuHeadroom(ctx, tables, scheduler);
    this.#watch = new MachineReaper(ctx, term, tables, scheduler);
    this.#inventory = new CloudInventory(ctx, tables, {
      onMachineTypes: typesRead,
      onMachineFailed: (machine) => this.#watch.markForTermination(machine, "it failed"),
    });
  }

  end(): void {
    this.#inventory.stop();
  }

  tick(confirmed: boolean): void {
    this.#inventory.tick();
    this.#gpuReserve.tick();
    this.#watch.tick();
    if (!confirmed) return;
    this.#askAgain();
    this.#release();
    if (this.#inventory.hasFullListing && this.#tables.machineTypes.size > 0) this.#hire();
  }

  #release(): void {
    const { now } = this.#ctx;
    if (this.#releasing) return;
    const due: Machine[] = [];
    for (const machine of this.#tables.machines.values()) {
      if (machine.phase === "releasing" && now >= machine.terminationRetryAt && due.length < 100)
        due.push(machine);
    }
    if (due.length === 0) return;
    this.#releasing = true;
    this.#ctx.callCloud({ kind: "delete", machines: due.map((m) => m.name) }, (answer) => {
      this.#releasing = false;
      for (const machine of due) {
        if (answer.kind !== "deleted") {
          machine.terminationRetryAt = this.#ctx.now + RELEASE_RETRY_MS;
          continue;
        }
        // The cloud's word: the machine and all that was on it are gone.
        this.#ctx.log("info", "machine released", { machine: machine.name, why: machine.terminationReason });
        this.#fleet.expireMachine(machine, "released");
        this.#tables.terminatedMachines.set(machine.name, this.#ctx.now);
        this.#recorder.machineRecords.gone(machine);
        this.#tables.removeMachine(machine);
      }
    });
  }

  #hire(): void {
    const { now, settings } = this.#ctx;
    // What is coming up is booked first.
    const coming = new Map<string, { offer: Offer; slots: { cpu: number; gpu: number; ram: number }[] }>();
    let total = 0;
    for (const machine of this.#tables.machines.values()) {
      if (machine.phase === "releasing") continue;
      total++;
      if (machine.phase !== "booting" || !machine.type) continue;
      this.#addComing(coming, { type: machine.type, zone: machine.zone, spot: machine.spot }, 1);
    }
    for (const { offer, count } of this.#hiring.values()) {
      total += count;
      this.#addComing(coming, offer, count);
    }
    this.#counts = this.#countMachines();
    const wanted = new Map<string, { offer: Offer; count: number }>();
    for (const entry of this.#scheduler.blocked) {
      const { job } = entry;
      if (job.state !== "active" || job.pending === 0) continue;
      let slots = this.#slotsFor(entry);
      const zone = job.spec.oneZone ? this.#zoneOf(job, coming, slots) : null;
      for (const { offer, slots: rooms } of coming.values()) {
        if (!this.#offerSuits(job, offer) || (zone !== null && offer.zone !== zone)) continue;
        for (const room of rooms) {
          while (slots > 0 && fits(job.spec.need, room)) {
            room.cpu -= job.spec.need.cpu;
            room.gpu -= job.spec.need.gpu;
            room.ram -= job.spec.need.ram;
            slots--;
          }
        }
      }
      while (slots > 0 && total < settings.max_machines) {
        const offer = this.#cheapest(job, zone, slots, now);
        if (!offer) break;
        const per = times(job.spec.need, offer.type.size);
        const room =
          job.spec.need.gpu > 0 ? this.#gpuReserve.maxUsefulMachines(offer.type) : settings.max_machines;
        const count = Math.min(50, Math.ceil(slots / per), settings.max_machines - total, room);
        const key = keyOf(offer);
        const sum = wanted.get(key);
        if (sum) sum.count += count;
        else wanted.set(key, { offer, count });
        total += count;
        this.#addComing(coming, offer, count, job, Math.min(slots, per * count));
        slots -= per * count;
      }
    }
    for (const { offer, count } of wanted.values()) this.#request(offer, Math.min(50, count));
  }

  #addComing(
    coming: Map<string, { offer: Offer; slots: { cpu: number; gpu: number; ram: number }[] }>,
    offer: Offer,
    count: number,
    job: Job | null = null,
    tasks = 0,
  ): void {
    const key = keyOf(offer);
    let entry = coming.get(key);
    if (!entry) {
      entry = { offer, slots: [] };
      coming.set(key, entry);
    }
    let left = tasks;
    for (let i = 0; i < count; i++) {
      const room = { ...offer.type.size };
      while (job && left > 0 && fits(job.spec.need, room)) {
        room.cpu -= job.spec.need.cpu;
        room.gpu -= job.spec.need.gpu;
        room.ram -= job.spec.need.ram;
        left--;
      }
      entry.slots.push(room);
    }
  }

  #slotsFor({ job, count }: BlockedJob): number {
    if (job.spec.shape !== "array" || job.spec.estimateS <= 0) return count;
    const taskS = this.#ctx.estimates.estimateS(job.spec);
    const want = Math.ceil(((job.pending + job.placements.size) * taskS) / DRAIN_S);
    return Math.max(0, Math.min(count, want - job.placements.size));
  }

  /** For a job that must stay in one zone: where most of its tasks find room once the boots are done. */
  #zoneOf(
    job: Job,
    coming: Map<string, { offer: Offer; slots: { cpu: number; gpu: number; ram: number }[] }>,
    slots: number,
  ): string | null {
    const room = new Map<string, number>();
    for (const machine of this.#tables.machines.values()) {
      if (
        !this.#scheduler.feasibleMachines.isSchedulable(machine) ||
        !this.#scheduler.feasibleMachines.mayRunOn(job, machine)
      )
        continue;
      room.set(machine.zone, (room.get(machine.zone) ?? 0) + times(job.spec.need, machine.freeCapacity()));
    }
    for (const { offer, slots: rooms } of coming.values()) {
      if (!this.#offerSuits(job, offer)) continue;
      for (const r of rooms) room.set(offer.zone, (room.get(offer.zone) ?? 0) + times(job.spec.need, r));
    }
    let best: string | null = null;
    let most = -1;
    for (const zone of this.#ctx.deployment.zones) {
      const n = Math.min(slots, room.get(zone) ?? 0);
      const offer = this.#cheapest(job, zone, slots, this.#ctx.now);
      if (n < slots && !offer) continue;
      if (n > most) {
        most = n;
        best = zone;
      }
    }
    return best;
  }

  #offerSuits(job: Job, { type, zone, spot }: Offer): boolean {
    const { spec } = job;
    return fitsMachineType(spec, type) && (spec.zone === null || spec.zone === zone) && (spec.spot || !spot);
  }

  #cheapest(job: Job, zone: string | null, slots: number, now: number): Offer | null {
    let best: Offer | null = null;
    let bestCost = Number.POSITIVE_INFINITY;
    const perZone = new Map<string, number>();
    if (job.spec.spread) for (const z of this.#ctx.deployment.zones) perZone.set(z, job.countInZone(z));
    for (const type of this.#tables.machineTypes.values()) {
      for (const z of type.zones) {
        if (zone !== null && z !== zone) continue;
        if (job.spec.spread && (perZone.get(z) ?? 0) >= Math.ceil(job.spec.tasks / 2)) continue;
        for (const spot of [false, true]) {
          const offer = { type, zone: z, spot };
          if (!this.#offerSuits(job, offer)) continue;
          if (this.#gpuReserve.isTooExpensive(job, type, spot)) continue;
          if (
            job.spec.need.gpu > 0 &&
            (this.#counts.get(type.name) ?? 0) >= this.#gpuReserve.maxUsefulMachines(type)
          )
            continue;
          if ((this.#refused.get(keyOf(offer))?.until ?? 0) > now) continue;
          const price = spot ? type.spotPrice * SPOT_RISK : type.price;
          const per = times(job.spec.need, type.size);
          const cost = price / Math.min(per, Math.max(slots, per / 2));
          if (cost < bestCost) {
            best = offer;
            bestCost = cost;
          }
        }
      }
    }
    return best;
  }

  #countMachines(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const machine of this.#tables.machines.values()) {
      if (machine.phase === "releasing" || machine.isLeaseExpired) continue;
      counts.set(machine.typeName, (counts.get(machine.typeName) ?? 0) + 1);
    }
    for (const { offer, count } of this.#hiring.values()) {
      counts.set(offer.type.name, (counts.get(offer.type.name) ?? 0) + count);
    }
    return counts;
  }

  #request(offer: Offer, count: number): void {
    const key = keyOf(offer);
    if (this.#hiring.has(key)) return;
    // The token and a counter: a name that no other leader, nor this one, ever uses again.
    const request = `r-${this.#term.firstFencingToken}-${++this.#requests}`;
    const hire: RentalRequest = { offer, count, request, tries: HIRE_TRIES };
    this.#hiring.set(key, hire);
    this.#ask(hire);
  }

  #ask(hire: RentalRequest): void {
    const { offer, count, request } = hire;
    const { type, zone, spot } = offer;
    const key = keyOf(offer);
    this.#ctx.callCloud(
      { kind: "create", requestId: request, type: type.name, zone, spot, count },
      (answer) => {
        const { now } = this.#ctx;
        if (answer.kind === "timeout" && hire.tries > 1) {
          // It may have been carried out: under the same name it rents nothing more, and tells what it rented.
          this.#unanswered.push({ at: now + HIRE_RETRY_MS, hire: { ...hire, tries: hire.tries - 1 } });
          return;
        }
        this.#hiring.delete(key);
        if (answer.kind === "created") {
          this.#ctx.log("info", "machines hired", {
            type: type.name,
            zone,
            spot,
            count,
            got: answer.machines.length,
          });
          for (const name of answer.machines) {
            this.#tables.machine(name, { address: "", type: type.name, zone, spot }, now);
          }
          if (answer.machines.length < count) this.#refuse(key);
          else this.#refused.delete(key);
        } else {
          if (answer.kind === "noCapacity")
            this.#ctx.log("debug", "no capacity", { type: type.name, zone, spot });
          this.#refuse(key);
        }
      },
    );
  }

  #askAgain(): void {
    for (const entry of this.#unanswered.splice(0)) {
      if (entry.at <= this.#ctx.now) this.#ask(entry.hire);
      else this.#unanswered.push(entry);
    }
  }

  #refuse(key: string): void {
    const waitMs = Math.min(REFUSED_MAX_MS, (this.#refused.get(key)?.waitMs ?? REFUSED_MS / 2) * 2);
    this.#refused.set(key, { until: this.#ctx.now + waitMs, waitMs });
  }
}

function keyOf({ type, zone, spot }: Offer): string {
  return `${type.name} ${zone} ${spot ? "spot" : "ordinary"}`;
}
