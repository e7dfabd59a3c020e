import type { ClusterState } from "../model/cluster-state.js";
import type { Machine } from "../model/machine.js";

/** The largest share of the machines, and of those of one type in one zone, that may be ejected at once. */
const MAX_EJECTION_SHARE = 0.2;
/** A terminated faulty machine counts as ejected until it is replaced, for this long at most. */
const REPLACEMENT_MS = 300_000;

interface TerminatedMachine {
  readonly typeName: string;
  readonly zone: string;
  readonly at: number;
}

/** A group of machines: how many there are, and how many of them are ejected. */
interface GroupCount {
  all: number;
  ejected: number;
}

/**
 * Limits how many machines may be ejected as outliers at once (maximum ejection share). One machine always may, as a
 * faulty machine must be found in the smallest cluster too.
 */
export class EjectionLimit {
  readonly #cluster: ClusterState;
  #terminated: TerminatedMachine[] = [];
  /** Machines that have replaced a terminated one. */
  readonly #replacements = new WeakSet<Machine>();

  constructor(cluster: ClusterState) {
    this.#cluster = cluster;
  }

  /** Records that a machine is terminated because it is faulty. */
  onFaultyTerminated({ typeName, zone }: Machine, now: number): void {
    this.#terminated.push({ typeName, zone, at: now });
  }

  /** True if one more machine, of the same type and zone as the given one, may be ejected. */
  allows(candidate: Machine, now: number): boolean {
    const cluster: GroupCount = { all: 0, ejected: 0 };
    const group: GroupCount = { all: 0, ejected: 0 };
    const count = (machine: MachineGroup, isEjected: boolean) => {
      addTo(cluster, isEjected);
      if (isSameGroup(machine, candidate)) addTo(group, isEjected);
    };
    const inUse = this.#machinesInUse();
    for (const machine of inUse) count(machine, machine.ejection !== null);
    this.#forgetReplaced(inUse, now);
    for (const machine of this.#terminated) count(machine, true);
    return hasRoom(cluster) && hasRoom(group);
  }

  #machinesInUse(): Machine[] {
    return [...this.#cluster.machines.values()].filter(
      ({ phase, isLeaseExpired }) => phase === "up" && !isLeaseExpired,
    );
  }

  /** Each machine that was created after the termination of one of its type in its zone replaces one of them. */
  #forgetReplaced(inUse: readonly Machine[], now: number): void {
    this.#terminated = this.#terminated.filter((terminated) => {
      if (now - terminated.at >= REPLACEMENT_MS) return false;
      const replacement = inUse.find(
        (machine) =>
          machine.createdAt >= terminated.at &&
          isSameGroup(machine, terminated) &&
          !this.#replacements.has(machine),
      );
      if (replacement) this.#replacements.add(replacement);
      return !replacement;
    });
  }
}

type MachineGroup = Pick<Machine, "typeName" | "zone">;

/** True if two machines are of the same type in the same zone. */
function isSameGroup(a: MachineGroup, b: MachineGroup): boolean {
  return a.typeName === b.typeName && a.zone === b.zone;
}

function addTo(count: GroupCount, isEjected: boolean): void {
  count.all++;
  if (isEjected) count.ejected++;
}

function hasRoom({ all, ejected }: GroupCount): boolean {
  return ejected < Math.max(1, Math.floor(all * MAX_EJECTION_SHARE));
}
