import type { CloudMachine, CloudRequest, CloudResponse } from "../../src/core/messages/cloud.js";
import type { Effect } from "../../src/core/messages/effects.js";
import type { MachineType } from "../../src/core/model/deployment.js";
import { TYPES } from "../support/deployment.js";
import type { ControllerNode, Controllers } from "./controllers.js";
import { newMachine, type SimulatedMachine } from "./machines.js";
import { RequestMeter } from "./request-meter.js";
import type { Simulation } from "./simulation.js";

/** Maximum number of machines per page of the cloud's list. */
const LIST_PAGE_SIZE = 500;
/** Maximum number of machines per type and zone, for spot and on-demand separately, at scale 1. */
const CAPACITY = 4;
const INITIAL_MACHINES = 2;
const TIMEOUT_MS = 5000;
const ONE_WAY_LATENCY_MS = 60;
/** Longer than any scenario: the machine never finishes booting. */
const STUCK_BOOT_MS = 3_600_000;

type CreateRequest = Extract<CloudRequest, { kind: "create" }>;

interface MachineParameters {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly bootMs: number;
}

export interface CloudOptions {
  readonly simulation: Simulation;
  readonly controllers: Controllers;
  /** All machines ever created, including terminated ones, by name in creation order. */
  readonly machines: Map<string, SimulatedMachine>;
  readonly scale: number;
  readonly onBooted: (machine: SimulatedMachine) => void;
  readonly onTerminated: (machine: SimulatedMachine) => void;
}

/** The simulated cloud: limited capacity per type and zone, a list that lags behind, and boots that take time. */
export class Cloud {
  /** While true, the cloud has no capacity for new machines. */
  isFull = false;
  /** Requests received by the cloud. */
  readonly requests = new RequestMeter();
  readonly #simulation: Simulation;
  readonly #controllers: Controllers;
  readonly #machines: Map<string, SimulatedMachine>;
  readonly #scale: number;
  readonly #onBooted: (machine: SimulatedMachine) => void;
  readonly #onTerminated: (machine: SimulatedMachine) => void;
  /** Names of the machines created by each request, to make retries idempotent. */
  readonly #createdByRequest = new Map<string, string[]>();
  #nextMachine = 1;

  constructor({ simulation, controllers, machines, scale, onBooted, onTerminated }: CloudOptions) {
    this.#simulation = simulation;
    this.#controllers = controllers;
    this.#machines = machines;
    this.#scale = scale;
    this.#onBooted = onBooted;
    this.#onTerminated = onTerminated;
  }

  /** Creates the initial machines, already booted. */
  createInitialMachines(): void {
    for (const zone of ["a", "b"]) {
      for (const type of TYPES)
        for (let i = 0; i < INITIAL_MACHINES * this.#scale; i++)
          this.#createMachine({ type, zone, spot: false, bootMs: 0 });
    }
  }

  /** Executes a cloud call of a node; it times out while the node is partitioned. */
  call(node: ControllerNode, epoch: number, { id, request }: Extract<Effect, { kind: "callCloud" }>): void {
    const respond = (delayMs: number, response: CloudResponse) => {
      this.#controllers.deliverAfter(node, epoch, delayMs, () => ({ kind: "cloudResponded", id, response }));
    };
    if (this.#simulation.now < node.partitionedUntil) {
      respond(TIMEOUT_MS, { kind: "timeout" });
      return;
    }
    this.requests.count(this.#simulation.now);
    this.#simulation.after(ONE_WAY_LATENCY_MS, () => respond(ONE_WAY_LATENCY_MS, this.#run(request)));
  }

  #run(request: CloudRequest): CloudResponse {
    switch (request.kind) {
      case "listTypes":
        return { kind: "types", machineTypes: TYPES };
      case "create":
        return this.#create(request);
      case "delete":
        for (const name of request.machines) {
          const machine = this.#machines.get(name);
          if (machine) this.#onTerminated(machine);
        }
        return { kind: "deleted" };
      case "list":
        return this.#list(request.after);
    }
  }

  #create(request: CreateRequest): CloudResponse {
    const alreadyCreated = this.#createdByRequest.get(request.requestId);
    if (alreadyCreated) return { kind: "created", machines: alreadyCreated };
    const type = TYPES.find(({ name }) => name === request.type);
    const count = Math.min(request.count, CAPACITY * this.#scale - this.#countAlive(request));
    if (this.isFull || !type || count <= 0) return { kind: "noCapacity" };
    const { zone, spot } = request;
    const names: string[] = [];
    for (let i = 0; i < count; i++) {
      const bootMs = this.#simulation.chance(0.05)
        ? STUCK_BOOT_MS
        : type.bootS * this.#simulation.between(600, 1500);
      names.push(this.#createMachine({ type, zone, spot, bootMs }).name);
    }
    this.#createdByRequest.set(request.requestId, names);
    return { kind: "created", machines: names };
  }

  #countAlive({ type, zone, spot }: CreateRequest): number {
    return [...this.#machines.values()].filter(
      (machine) =>
        machine.alive && machine.type.name === type && machine.zone === zone && machine.spot === spot,
    ).length;
  }

  /** Returns a page of the list as of some seconds ago; terminated machines may still be included. */
  #list(after: string | null): CloudResponse {
    const snapshotAt = this.#simulation.now - this.#simulation.between(3000, 6000);
    const listed = [...this.#machines.values()]
      .filter(({ createdAt, name }) => createdAt <= snapshotAt && (after === null || name > after))
      .filter(({ alive }) => alive || this.#simulation.chance(0.3));
    const machines = listed.slice(0, LIST_PAGE_SIZE).map((machine) => listedMachine(machine, snapshotAt));
    return { kind: "page", machines, more: listed.length > LIST_PAGE_SIZE };
  }

  #createMachine({ type, zone, spot, bootMs }: MachineParameters): SimulatedMachine {
    const bootedAt = this.#simulation.now + bootMs;
    const machine = newMachine({
      name: `i-${String(this.#nextMachine++).padStart(6, "0")}`,
      type,
      zone,
      spot,
      createdAt: this.#simulation.now,
      bootedAt,
      controllerIndex: this.#simulation.between(0, 2),
    });
    this.#machines.set(machine.name, machine);
    this.#simulation.after(bootMs, () => this.#onBooted(machine));
    return machine;
  }
}

function listedMachine(machine: SimulatedMachine, snapshotAt: number): CloudMachine {
  return {
    name: machine.name,
    address: `${machine.name}:1`,
    type: machine.type.name,
    zone: machine.zone,
    spot: machine.spot,
    phase: machine.bootedAt <= snapshotAt ? "running" : "booting",
    ageS: (snapshotAt - machine.createdAt) / 1000,
  };
}
