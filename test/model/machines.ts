import type { MachineType } from "../../src/core/model/deployment.js";
import type { ExitReason, JobSpec, TaskState } from "../../src/core/model/job-spec.js";

/** One attempt of a task on a machine, as its agent sees it. */
export interface AgentTask {
  readonly uid: string;
  readonly task: number;
  readonly attempt: number;
  state: TaskState;
  exitReason: ExitReason | null;
  /** True once a checkpoint was written before the stop. */
  saved: boolean;
  /** When the present state ends: image fetched, gang given up, work done, or checkpoint written. */
  stateEndsAt: number;
}

/** A machine of the cloud with the agent that runs on it: the truth that the controllers are checked against. */
export interface SimulatedMachine {
  readonly name: string;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly createdAt: number;
  /** When it has booted and its agent starts. */
  readonly bootedAt: number;
  /** False once it is terminated or reclaimed. */
  alive: boolean;
  /** The agent does nothing until then, while its lease runs on. */
  hungUntil: number;
  /** Nothing passes between the machine and any controller until then. */
  partitionedUntil: number;
  /** Heartbeats arrive, while neither replies nor direct commands reach the agent until then. */
  inboundPartitionedUntil: number;
  /** Heartbeats reach no controller until then, while direct commands reach the agent. */
  outboundPartitionedUntil: number;
  /** Rises each time the agent's lease expires. */
  incarnation: number;
  /** Rises with every heartbeat and every reply to a direct command. */
  sequence: number;
  /** The highest fencing token that the agent has seen. */
  fencingToken: number;
  tasks: AgentTask[];
  /** When the last heartbeat that was answered was sent, or the incarnation began. */
  leaseRenewedAt: number;
  /** The index of the controller that the agent sends its heartbeats to. */
  controllerIndex: number;
  nextHeartbeatAt: number;
  /** The id of the heartbeat that waits for its reply; 0 if none does. */
  pendingHeartbeat: number;
  /** When the cloud reclaims it; null while it has given no notice. */
  reclaimAt: number | null;
  /** Images in its cache. */
  readonly images: Set<string>;
}

/** What is left of a machine's size beside the tasks on it. */
export interface FreeCapacity {
  cpu: number;
  gpu: number;
  ram: number;
}

/** True while the machine's agent does nothing. */
export function isHung(machine: SimulatedMachine, now: number): boolean {
  return now < machine.hungUntil;
}

/** True for an attempt that runs, or waits for the others of its gang, or writes its checkpoint. */
export function isActive(task: AgentTask): boolean {
  return task.state === "waiting" || task.state === "running" || task.state === "saving";
}

/** Takes the resources of one task of this job away from what is free. */
export function subtractTask(free: FreeCapacity, { need }: JobSpec): void {
  free.cpu -= need.cpu;
  free.gpu -= need.gpu;
  free.ram -= need.ram;
}

/** A machine as the cloud has just created it, with its agent's first incarnation. */
export function newMachine(
  created: Pick<
    SimulatedMachine,
    "name" | "type" | "zone" | "spot" | "createdAt" | "bootedAt" | "controllerIndex"
  >,
): SimulatedMachine {
  return {
    ...created,
    alive: true,
    hungUntil: 0,
    partitionedUntil: 0,
    inboundPartitionedUntil: 0,
    outboundPartitionedUntil: 0,
    incarnation: 1,
    sequence: 0,
    fencingToken: 0,
    tasks: [],
    leaseRenewedAt: created.bootedAt,
    nextHeartbeatAt: 0,
    pendingHeartbeat: 0,
    reclaimAt: null,
    images: new Set(),
  };
}
