import type { Context } from "../context.js";
import type { CloudMachine } from "../messages/cloud.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { MachineType } from "../model/deployment.js";
import type { Machine } from "../model/machine.js";

/** Interval between machine listings; longer if the list has many pages. */
const LIST_INTERVAL_MS = 4000;
/** Interval between reads of the machine types. */
const TYPES_INTERVAL_MS = 60_000;
/** Interval while no machine types are known, since nothing can be provisioned without them. */
const TYPES_RETRY_MS = 1000;
/** Delay before a failed page request is repeated. */
const PAGE_RETRY_MS = 1000;
/** Share of the cloud's request rate available to listings; the rest is for creation and termination. */
const LIST_RATE_SHARE = 0.4;
/** Number of pages requested without delay; later pages are paced by the cloud's request rate. */
const BURST_PAGES = 4;
/** How long delayed copies of heartbeats may arrive after their machine's termination. */
const TERMINATED_RETENTION_MS = 600_000;
/** Minimum interval between log lines about exceeding `max_machines`. */
const EXCESS_LOG_INTERVAL_MS = 60_000;

/** Events that {@link CloudInventory} finds in the cloud's responses. */
export interface InventoryEvents {
  /** The cloud's catalog has been read. */
  onMachineTypes(types: readonly MachineType[]): void;
  /** The cloud lists a machine as failed. */
  onMachineFailed(machine: Machine): void;
}

/** Synchronizes the machine types and machines of the cluster state with the cloud's listings. */
export class CloudInventory {
  readonly #ctx: Context;
  readonly #cluster: ClusterState;
  readonly #events: InventoryEvents;
  /**
   * True once the first listing of this term is complete, and so includes the machines that earlier leaders
   * created. No machines are created before.
   */
  hasFullListing = false;
  #isListing = false;
  #listingSince = Number.NEGATIVE_INFINITY;
  #nextListingAt = Number.NEGATIVE_INFINITY;
  #isStopped = false;
  /** The next page to request and when; null if none is due. */
  #nextPage: { readonly after: string | null; readonly at: number } | null = null;
  #pageCount = 0;
  #typesRequestedAt = Number.NEGATIVE_INFINITY;
  #excessLoggedAt = Number.NEGATIVE_INFINITY;

  constructor(ctx: Context, cluster: ClusterState, events: InventoryEvents) {
    this.#ctx = ctx;
    this.#cluster = cluster;
    this.#events = events;
  }

  /** Stops the listing in progress at the end of the leader's term. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Sends the listing and catalog requests that are due. */
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
   * Requests one page. A failed request is repeated and the listing continues from there: if it restarted each time,
   * the listing of a large cluster would never complete while competing with other requests.
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
      for (const listed of response.machines) this.#addListedMachine(listed);
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
    // Well after the list's lag, neither a list nor a delayed heartbeat can show the machine.
    const retentionMs = deployment.listLagS * 4000 + TERMINATED_RETENTION_MS;
    for (const [name, terminatedAt] of this.#cluster.terminatedMachines)
      if (now - terminatedAt > retentionMs) this.#cluster.terminatedMachines.delete(name);
    this.#logExcessMachines();
  }

  /** Adds a listed machine. The list lags and may be older than the last one, so absence from it proves nothing. */
  #addListedMachine(listed: CloudMachine): void {
    const index = this.#ctx.names.machines.find(listed.name);
    const known = index === undefined ? undefined : this.#cluster.machines.get(index);
    // A delayed list may still show a terminated machine, which must not be added again.
    if (!known && this.#cluster.terminatedMachines.has(listed.name)) return;
    const createdAt = this.#ctx.now - listed.ageS * 1000;
    const machine = known ?? this.#cluster.ensureMachine(listed.name, listed, createdAt);
    if (listed.phase === "failed" && machine.phase !== "releasing") this.#events.onMachineFailed(machine);
  }

  /** Logs that there are more machines than allowed. They stay in use, but no more are created. */
  #logExcessMachines(): void {
    const { now, settings } = this.#ctx;
    const { size } = this.#cluster.machines;
    if (size <= settings.max_machines || now - this.#excessLoggedAt < EXCESS_LOG_INTERVAL_MS) return;
    this.#excessLoggedAt = now;
    this.#ctx.log("info", "machine count exceeds max_machines", {
      machines: size,
      max_machines: settings.max_machines,
    });
  }
}
