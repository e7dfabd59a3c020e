import type { Context } from "../context.js";
import type { CloudMachine } from "../messages/cloud.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { MachineType } from "../model/deployment.js";
import type { Machine } from "../model/machine.js";

/** The machines are listed this often, or less often where the list has many pages. */
const LIST_INTERVAL_MS = 4000;
/** The machine types are read this often. */
const TYPES_INTERVAL_MS = 60_000;
/** Without any machine type nothing can be decided: they are read again soon. */
const TYPES_RETRY_MS = 1000;
/** A page that was refused is requested again after this. */
const PAGE_RETRY_MS = 1000;
/** The share of the cloud's request rate that lists may use: creation and termination need the rest. */
const LIST_RATE_SHARE = 0.4;
/** So many pages follow each other at once; the next ones come no faster than the cloud's request rate. */
const BURST_PAGES = 4;
/** Copies of heartbeats may come this long after their machine's termination. */
const TERMINATED_RETENTION_MS = 600_000;
/** How often more machines than the operators allow are logged. */
const EXCESS_LOG_INTERVAL_MS = 60_000;

/** What the inventory learns from the cloud. */
export interface InventoryEvents {
  /** The cloud's catalogue was read. */
  onMachineTypes(types: readonly MachineType[]): void;
  /** The cloud lists this machine as failed. */
  onMachineFailed(machine: Machine): void;
}

/** Keeps the machine types and the machines of the cluster state in step with what the cloud lists. */
export class CloudInventory {
  readonly #ctx: Context;
  readonly #cluster: ClusterState;
  readonly #events: InventoryEvents;
  /** Nothing is created before the first full listing of this term: machines that earlier leaders created count, too. */
  hasFullListing = false;
  #isListing = false;
  #listingSince = Number.NEGATIVE_INFINITY;
  #nextListingAt = Number.NEGATIVE_INFINITY;
  #isStopped = false;
  /** Where the listing continues, and when; null if no page is due. */
  #nextPage: { readonly after: string | null; readonly at: number } | null = null;
  #pageCount = 0;
  #typesRequestedAt = Number.NEGATIVE_INFINITY;
  #excessLoggedAt = Number.NEGATIVE_INFINITY;

  constructor(ctx: Context, cluster: ClusterState, events: InventoryEvents) {
    this.#ctx = ctx;
    this.#cluster = cluster;
    this.#events = events;
  }

  /** Ends the listing under way, as the leader's term has ended. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Requests from the cloud what is due. */
  tick(): void {
    const { now } = this.#ctx;
    if (this.#nextPage && now >= this.#nextPage.at) {
      const { after } = this.#nextPage;
      this.#nextPage = null;
      this.#requestPage(after);
    }
    if (!this.#isListing && now >= this.#nextListingAt) this.#startListing();
    const typesIntervalMs = this.#cluster.machineTypes.size === 0 ? TYPES_RETRY_MS : TYPES_INTERVAL_MS;
    if (now - this.#typesRequestedAt >= typesIntervalMs) this.#requestTypes();
  }

  #requestTypes(): void {
    this.#typesRequestedAt = this.#ctx.now;
    this.#ctx.callCloud({ kind: "listTypes" }, (response) => {
      if (response.kind === "types") this.#events.onMachineTypes(response.machineTypes);
    });
  }

  #startListing(): void {
    this.#isListing = true;
    this.#listingSince = this.#ctx.now;
    this.#pageCount = 0;
    this.#requestPage(null);
  }

  /**
   * Requests one page. One that was refused is requested again, and the listing continues from there: begun anew each
   * time, the listing of a large cluster would never be complete beside other requests.
   */
  #requestPage(after: string | null): void {
    this.#ctx.callCloud({ kind: "list", after }, (response) => {
      if (this.#isStopped) return;
      const { now, deployment } = this.#ctx;
      if (response.kind !== "page") {
        this.#nextPage = { after, at: now + PAGE_RETRY_MS };
        return;
      }
      this.#pageCount++;
      for (const listed of response.machines) this.#takeInListed(listed);
      const last = response.machines.at(-1);
      if (!response.more || !last) this.#completeListing();
      else if (this.#pageCount < BURST_PAGES) this.#requestPage(last.name);
      else this.#nextPage = { after: last.name, at: now + 1000 / deployment.cloudRps };
    });
  }

  #completeListing(): void {
    const { now, deployment } = this.#ctx;
    this.hasFullListing = true;
    this.#isListing = false;
    const pagesMs = (this.#pageCount * 1000) / (deployment.cloudRps * LIST_RATE_SHARE);
    this.#nextListingAt = this.#listingSince + Math.max(LIST_INTERVAL_MS, pagesMs);
    // Well beyond the list's lag neither a list nor a copy of a heartbeat shows the machine any more.
    const retentionMs = deployment.listLagS * 4000 + TERMINATED_RETENTION_MS;
    for (const [name, terminatedAt] of this.#cluster.terminatedMachines)
      if (now - terminatedAt > retentionMs) this.#cluster.terminatedMachines.delete(name);
    this.#logExcess();
  }

  /** The list lags and may go back in time: it adds machines, but that one is not listed proves nothing. */
  #takeInListed(listed: CloudMachine): void {
    const index = this.#ctx.names.machines.find(listed.name);
    const known = index === undefined ? undefined : this.#cluster.machines.get(index);
    // A late list may still show a machine that has been terminated: it must not come back.
    if (!known && this.#cluster.terminatedMachines.has(listed.name)) return;
    const createdAt = this.#ctx.now - listed.ageS * 1000;
    const machine = known ?? this.#cluster.ensureMachine(listed.name, listed, createdAt);
    if (listed.phase === "failed" && machine.phase !== "releasing") this.#events.onMachineFailed(machine);
  }

  /** Machines beyond the operators' limit stay and are used; none is created, and the log says so. */
  #logExcess(): void {
    const { now, settings } = this.#ctx;
    const { size } = this.#cluster.machines;
    if (size <= settings.max_machines || now - this.#excessLoggedAt < EXCESS_LOG_INTERVAL_MS) return;
    this.#excessLoggedAt = now;
    this.#ctx.log("info", "more machines than max_machines", {
      machines: size,
      max_machines: settings.max_machines,
    });
  }
}
