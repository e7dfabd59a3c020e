import type { Context } from "../context.js";
import type { CloudMachine } from "../messages/cloud.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { MachineType } from "../model/deployment.js";
import type { Machine } from "../model/machine.js";

const LIST_MS = 4000;
const TYPES_MS = 60_000;
/** Without any machine type nothing can be decided: they are asked for again soon. */
const TYPES_RETRY_MS = 1000;
/** A page of the list that was refused is asked for again after this. */
const PAGE_RETRY_MS = 1000;
/** The part of the cloud's calls that may be spent on lists: rentals and releases need the rest. */
const LIST_SHARE = 0.4;
/** So many pages follow each other at once; the next ones come no faster than the cloud allows calls. */
const BURST_PAGES = 4;
/** Copies of reports may come this long after their machine is gone. */
const RELEASED_KEPT_MS = 600_000;
/** An excess of machines over what the operators allow is told of in the log this often. */
const EXCESS_LOG_MS = 60_000;

export interface InventoryEvents {
  onMachineTypes(types: readonly MachineType[]): void;
  /** The cloud lists this machine as one that stopped by itself. */
  onMachineFailed(machine: Machine): void;
}

/** Keeps up with what the cloud says there is: machine types and the list of machines. */
export class CloudInventory {
  readonly #ctx: Context;
  readonly #tables: ClusterState;
  readonly #events: InventoryEvents;
  /** Nothing is rented before the first full list of this term: machines an earlier leader rented count too. */
  hasFullListing = false;
  #listing = false;
  #listedAt = Number.NEGATIVE_INFINITY;
  #listAt = Number.NEGATIVE_INFINITY;
  #stopped = false;
  /** Where the list goes on, and when. */
  #resume: { readonly after: string | null; readonly at: number } | null = null;
  #pages = 0;
  #typesAt = Number.NEGATIVE_INFINITY;
  #excessToldAt = Number.NEGATIVE_INFINITY;

  constructor(ctx: Context, tables: ClusterState, events: InventoryEvents) {
    this.#ctx = ctx;
    this.#tables = tables;
    this.#events = events;
  }

  /** The term is over: a list under way is not gone on with. */
  stop(): void {
    this.#stopped = true;
  }

  tick(): void {
    const { now } = this.#ctx;
    if (this.#resume && now >= this.#resume.at) {
      const { after } = this.#resume;
      this.#resume = null;
      this.#page(after);
    }
    if (!this.#listing && now >= this.#listAt) {
      this.#listing = true;
      this.#listedAt = now;
      this.#pages = 0;
      this.#page(null);
    }
    const typesMs = this.#tables.machineTypes.size === 0 ? TYPES_RETRY_MS : TYPES_MS;
    if (now - this.#typesAt >= typesMs) this.#readTypes();
  }

  #readTypes(): void {
    this.#typesAt = this.#ctx.now;
    this.#ctx.callCloud({ kind: "listTypes" }, (answer) => {
      if (answer.kind === "types") this.#events.onMachineTypes(answer.machineTypes);
    });
  }

  /**
   * Asks for one page. A refused one is asked for again, and the list goes on from there: begun anew each time, the list
   * of a large fleet would never come to its end beside other calls.
   */
  #page(after: string | null): void {
    this.#ctx.callCloud({ kind: "list", after }, (answer) => {
      if (this.#stopped) return;
      if (answer.kind !== "page") {
        this.#resume = { after, at: this.#ctx.now + PAGE_RETRY_MS };
        return;
      }
      this.#pages++;
      for (const listed of answer.machines) this.#listed(listed);
      const last = answer.machines.at(-1);
      if (!answer.more || !last) this.#completed();
      else if (this.#pages < BURST_PAGES) this.#page(last.name);
      else this.#resume = { after: last.name, at: this.#ctx.now + 1000 / this.#ctx.deployment.cloudRps };
    });
  }

  #completed(): void {
    const { now, deployment } = this.#ctx;
    this.hasFullListing = true;
    this.#listing = false;
    const pagesMs = (this.#pages * 1000) / (deployment.cloudRps * LIST_SHARE);
    this.#listAt = this.#listedAt + Math.max(LIST_MS, pagesMs);
    for (const [name, at] of this.#tables.terminatedMachines)
      if (now - at > deployment.listLagS * 4000 + RELEASED_KEPT_MS)
        this.#tables.terminatedMachines.delete(name);
    this.#tellOfExcess();
  }

  /** The list lags and may step back: it adds machines, but its silence proves nothing by itself. */
  #listed(listed: CloudMachine): void {
    const ix = this.#ctx.names.machines.find(listed.name);
    const known = ix === undefined ? undefined : this.#tables.machines.get(ix);
    // An old list may still show a machine that has been released; one that answers nothing is released again.
    if (!known && this.#tables.terminatedMachines.has(listed.name)) return;
    const machine = known ?? this.#tables.machine(listed.name, listed, this.#ctx.now - listed.ageS * 1000);
    if (listed.phase === "failed" && machine.phase !== "releasing") this.#events.onMachineFailed(machine);
  }

  /** Machines beyond the operators' bound stay on the books and are used; nothing more is rented, and the log says so. */
  #tellOfExcess(): void {
    const { now, settings } = this.#ctx;
    const { size } = this.#tables.machines;
    if (size <= settings.max_machines || now - this.#excessToldAt < EXCESS_LOG_MS) return;
    this.#excessToldAt = now;
    this.#ctx.log("info", "more machines than max_machines", { machines: size, most: settings.max_machines });
  }
}
