import type { ClusterState } from "../model/cluster-state.js";
import type { Machine } from "../model/machine.js";

/**
 * The largest share of the machines, and of those of one type in one zone, that may be ejected at once, and that may be
 * terminated as faulty before they are replaced.
 */
const MAX_EJECTION_SHARE = 0.2;
/** A terminated faulty machine counts until it is replaced, for this long at most. */
const REPLACEMENT_MS = 300_000;

interface TerminatedMachine {
  readonly typeName: string;
  readonly zone: string;
  readonly at: number;
}

/** A group of machines: how many there are, and how many of them are out. */
interface GroupCount {
  all: number;
  out: number;
}

/**
 * Limits how many machines may be ejected as outliers at once (maximum ejection share), and how many of them may be
 * terminated before they are replaced: the cloud may have no others. One machine always may, as a faulty machine must be
 * found in the smallest cluster too.
 */
export class EjectionLimit {
  readonly #cluster: ClusterState;
  #terminated: TerminatedMachine[] = [];
  /** Machines that have replaced a terminated one. */
  readonly #replacements = new WeakSet<Machine>();

  constructor(cluster: ClusterState) {
    this.#cluster = cluster;
  }

  /** True if one more machine, of the same type and zone as the given one, may be ejected. */
  mayEject(candidate: Machine): boolean {
    const counter = new OutCounter(candidate);
    for (const machine of this.#machinesInUse()) counter.add(machine, machine.ejection !== null);
    return counter.hasRoom();
  }

  /** Returns whether an ejected machine may be terminated now; if so, counts it as terminated. */
  tryTerminate(candidate: Machine, now: number): boolean {
    const inUse = this.#machinesInUse();
    this.#forgetReplaced(inUse, now);
    const counter = new OutCounter(candidate);
    for (const machine of inUse) counter.add(machine, false);
    for (const machine of this.#terminated) counter.add(machine, true);
    if (!counter.hasRoom()) return false;
    this.#terminated.push({ typeName: candidate.typeName, zone: candidate.zone, at: now });
    return true;
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

/** Counts the machines that are out, in the cluster and in the group of a candidate. */
class OutCounter {
  readonly #candidate: MachineGroup;
  readonly #cluster: GroupCount = { all: 0, out: 0 };
  readonly #group: GroupCount = { all: 0, out: 0 };

  constructor(candidate: MachineGroup) {
    this.#candidate = candidate;
  }

  add(machine: MachineGroup, isOut: boolean): void {
    addTo(this.#cluster, isOut);
    if (isSameGroup(machine, this.#candidate)) addTo(this.#group, isOut);
  }

  /** True if one more machine may be out. */
  hasRoom(): boolean {
    return hasRoom(this.#cluster) && hasRoom(this.#group);
  }
}

/** True if two machines are of the same type in the same zone. */
function isSameGroup(a: MachineGroup, b: MachineGroup): boolean {
  return a.typeName === b.typeName && a.zone === b.zone;
}

function addTo(count: GroupCount, isOut: boolean): void {
  count.all++;
  if (isOut) count.out++;
}

function hasRoom({ all, out }: GroupCount): boolean {
  return out < Math.max(1, Math.floor(all * MAX_EJECTION_SHARE));
}
