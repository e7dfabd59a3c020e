import type { Controller } from "../../src/core/controller.js";
import type { MachineStatus } from "../support/machine-status.js";
import type { Controllers } from "./controllers.js";
import type { SimulatedMachine } from "./machines.js";
import type { Simulation } from "./simulation.js";

/** The share of the machines, and of those of one type in one zone, that may be ejected at once; one always may. */
const MAX_EJECTION_SHARE = 0.2;
/** How long a sound machine may be ejected: below the 90 s for which the users' own check lets a job wait. */
const MAX_SOUND_EJECTION_MS = 65_000;
/** A faulty machine must be ejected within this time of the failure of a second sound job on it. */
const MAX_DETECTION_MS = 5000;
const UNUSED = new Set(["booting", "terminating", "lease_expired"]);

export interface OutlierCheckOptions {
  readonly simulation: Simulation;
  readonly controllers: Controllers;
  readonly machines: ReadonlyMap<string, SimulatedMachine>;
  readonly onViolation: (rule: string, text: string) => void;
}

/** Checks which machines the leaders take for faulty. Must be called every second. */
export class OutlierCheck {
  readonly #options: OutlierCheckOptions;
  readonly #soundEjectedSince = new Map<string, number>();
  readonly #evidentSince = new Map<string, number>();
  readonly #ejectedBefore = new Set<string>();
  #inUseBefore = 0;
  #leader: Controller | null = null;
  #token = -1;

  constructor(options: OutlierCheckOptions) {
    this.#options = options;
  }

  run(): void {
    const statuses = this.#leaderStatuses();
    if (!statuses) return;
    const inUse = statuses.filter(({ excluded }) => excluded === null || !UNUSED.has(excluded));
    const ejected = inUse.filter(({ excluded }) => excluded === "ejected" || excluded === "faulty");
    this.#checkShare(inUse, ejected);
    this.#checkSoundMachines(ejected);
    this.#checkFaultyMachines(inUse, ejected);
    this.#ejectedBefore.clear();
    for (const { name } of ejected) this.#ejectedBefore.add(name);
  }

  /** Returns the machines according to the only leader; null if there is none or it has changed. */
  #leaderStatuses(): readonly MachineStatus[] | null {
    const leaders = this.#options.controllers.nodes.flatMap(({ core }) =>
      core?.leaderTerm?.agents.areRecordsLoaded ? [core] : [],
    );
    const [leader] = leaders;
    if (!leader || leaders.length > 1) return null;
    const token = leader.leaderTerm?.lease.firstFencingToken ?? -1;
    if (leader !== this.#leader || token !== this.#token) {
      this.#leader = leader;
      this.#token = token;
      this.#forgetEvidence();
    }
    return (leader.status() as { machines?: readonly MachineStatus[] }).machines ?? null;
  }

  /** A new leader knows nothing of earlier failures. */
  #forgetEvidence(): void {
    this.#soundEjectedSince.clear();
    this.#evidentSince.clear();
    this.#ejectedBefore.clear();
    for (const { failedSoundJobs } of this.#options.machines.values()) failedSoundJobs.clear();
  }

  /** Checks the share at each ejection; later the cluster may become smaller while machines are ejected. */
  #checkShare(inUse: readonly MachineStatus[], ejected: readonly MachineStatus[]): void {
    const machines = Math.max(inUse.length, this.#inUseBefore);
    this.#inUseBefore = inUse.length;
    const isUnchanged = ejected.every(({ name }) => this.#ejectedBefore.has(name));
    if (!isUnchanged && ejected.length > maxEjected(machines))
      this.#options.onViolation("ejection_share", `${ejected.length} of ${machines} machines`);
  }

  #checkSoundMachines(ejected: readonly MachineStatus[]): void {
    const { simulation, machines, onViolation } = this.#options;
    const sound = new Set(
      ejected.filter(({ name }) => !machines.get(name)?.isFaulty).map(({ name }) => name),
    );
    for (const name of [...this.#soundEjectedSince.keys()])
      if (!sound.has(name)) this.#soundEjectedSince.delete(name);
    for (const name of sound) {
      const since = this.#soundEjectedSince.get(name) ?? simulation.now;
      this.#soundEjectedSince.set(name, since);
      if (simulation.now - since > MAX_SOUND_EJECTION_MS) onViolation("sound_machine_ejected", name);
    }
  }

  /** Checks that faulty machines are ejected, as far as the ejection share allows it. */
  #checkFaultyMachines(inUse: readonly MachineStatus[], ejected: readonly MachineStatus[]): void {
    const { simulation, machines, onViolation } = this.#options;
    const isEjected = new Set(ejected.map(({ name }) => name));
    for (const { name } of inUse) {
      const machine = machines.get(name);
      if (!machine?.isFaulty) continue;
      const isReadmitted = this.#ejectedBefore.has(name) && !isEjected.has(name);
      if (isReadmitted) machine.failedSoundJobs.clear();
      if (isEjected.has(name) || machine.failedSoundJobs.size < 2 || this.#isShareUsed(machine)) {
        this.#evidentSince.delete(name);
        continue;
      }
      const since = this.#evidentSince.get(name) ?? simulation.now;
      this.#evidentSince.set(name, since);
      if (simulation.now - since > MAX_DETECTION_MS)
        onViolation("faulty_machine_used", `${name}: ${[...machine.failedSoundJobs].join()}`);
    }
  }

  /** True if another machine of the type in the zone, or enough of the cluster, is faulty and out, or was terminated. */
  #isShareUsed(candidate: SimulatedMachine): boolean {
    const { machines } = this.#options;
    const out = [...machines.values()].filter(
      (machine) =>
        machine !== candidate &&
        machine.isFaulty &&
        (!machine.alive || this.#ejectedBefore.has(machine.name)),
    );
    const inGroup = out.some(({ type, zone }) => type === candidate.type && zone === candidate.zone);
    const alive = [...machines.values()].filter((machine) => machine.alive).length;
    return inGroup || out.length >= maxEjected(alive) || this.#ejectedBefore.size > 0;
  }
}

function maxEjected(machines: number): number {
  return Math.max(1, Math.floor(machines * MAX_EJECTION_SHARE));
}
