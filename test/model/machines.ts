import type { MachineType } from "../../src/core/model/deployment.js";
import type { ExitReason, JobSpec, TaskState } from "../../src/core/model/job-spec.js";

/** An attempt of a task on a machine, as tracked by its agent. */
export interface AgentTask {
  readonly uid: string;
  readonly task: number;
  readonly attempt: number;
  state: TaskState;
  exitReason: ExitReason | null;
  /** True if a checkpoint was written before the task stopped. */
  saved: boolean;
  /** When the current state ends: image fetched, gang wait timed out, work done, or checkpoint written. */
  stateEndsAt: number;
  /** When it fails, if it runs until then. */
  failsAt: number;
}

/** The actual state of a cloud machine and its agent, against which the controllers are checked. */
export interface SimulatedMachine {
  readonly name: string;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly createdAt: number;
  /** When booting completes and the agent starts. */
  readonly bootedAt: number;
  /** False once it is terminated or reclaimed. */
  alive: boolean;
  /** The agent hangs until this time; its lease may expire meanwhile. */
  hungUntil: number;
  /** Until this time the machine is partitioned from all controllers in both directions. */
  partitionedUntil: number;
  /** Until this time heartbeats are delivered, but replies and direct commands to the agent are lost. */
  inboundPartitionedUntil: number;
  /** Until this time heartbeats are lost, but direct commands reach the agent. */
  outboundPartitionedUntil: number;
  /** Incremented each time the agent's lease expires. */
  incarnation: number;
  /** Incremented with every heartbeat and every reply to a direct command. */
  sequence: number;
  /** The highest fencing token that the agent has seen. */
  fencingToken: number;
  tasks: AgentTask[];
  /** When the last acknowledged heartbeat was sent, or when the incarnation began. */
  leaseRenewedAt: number;
  /** Index of the controller that the agent sends its heartbeats to. */
  controllerIndex: number;
  nextHeartbeatAt: number;
  /** Id of the heartbeat awaiting a reply; 0 if there is none. */
  pendingHeartbeat: number;
  /** When the cloud reclaims the machine; null without an interruption notice. */
  reclaimAt: number | null;
  /** True once it is faulty: every task that starts on it fails. */
  isFaulty: boolean;
  /** Jobs without a mistake that have failed on it since a task was last done on it or its leader could forget them. */
  readonly failedSoundJobs: Set<string>;
  /** When a task was last done on it. */
  lastDoneAt: number;
  /** Images cached on the machine. */
  readonly images: Set<string>;
}

/** Resources of a machine that are not used by tasks. */
export interface FreeCapacity {
  cpu: number;
  gpu: number;
  ram: number;
}

export function isHung(machine: SimulatedMachine, now: number): boolean {
  return now < machine.hungUntil;
}

/** Returns whether an attempt is running, waiting for its gang or writing its checkpoint. */
export function isActive(task: AgentTask): boolean {
  return task.state === "waiting" || task.state === "running" || task.state === "saving";
}

/** Subtracts the resources of one task of a job from the free capacity. */
export function subtractTask(free: FreeCapacity, { need }: JobSpec): void {
  free.cpu -= need.cpu;
  free.gpu -= need.gpu;
  free.ram -= need.ram;
}

/** Creates the state of a newly provisioned machine, with the first incarnation of its agent. */
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
    isFaulty: false,
    failedSoundJobs: new Set(),
    lastDoneAt: Number.NEGATIVE_INFINITY,
    images: new Set(),
  };
}
