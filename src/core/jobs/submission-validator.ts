import type { Context } from "../context.js";
import type { JobSpec } from "../model/job-spec.js";
import { fitsMachineType } from "../model/machine.js";
import { countFitting } from "../model/resources.js";
import type { ConfigWatch } from "../store/config-watch.js";
import { fitsValueLimit } from "../store/records.js";
import type { JobLookup, JobLookupEntry } from "./job-lookup.js";
import { type RejectionResponse, recordTooLarge, storeUnavailable, unavailable } from "./responses.js";

/** What a {@link SubmissionValidator} is made of. */
export interface SubmissionValidatorOptions {
  readonly ctx: Context;
  readonly config: ConfigWatch;
  readonly lookup: JobLookup;
  /** True while a node may lead whose version does not know of dependencies between jobs. */
  readonly isOlderPeerAlive: () => boolean;
}

/** Decides whether a well-formed job could ever run in this deployment. */
export class SubmissionValidator {
  readonly #ctx: Context;
  readonly #config: ConfigWatch;
  readonly #lookup: JobLookup;
  readonly #isOlderPeerAlive: () => boolean;

  constructor({ ctx, config, lookup, isOlderPeerAlive }: SubmissionValidatorOptions) {
    this.#ctx = ctx;
    this.#config = config;
    this.#lookup = lookup;
    this.#isOlderPeerAlive = isOlderPeerAlive;
  }

  /** Yields why a job can't be accepted, or why this node can't tell yet; null if it can be. */
  validate(spec: JobSpec, onResult: (rejection: RejectionResponse | null) => void): void {
    const rejection = this.#validateDemand(spec);
    if (rejection || !spec.awaits) onResult(rejection);
    else if (this.#isOlderPeerAlive()) onResult(unavailable("a node is yet to be upgraded"));
    else this.#validateDependencies(spec.awaits, onResult);
  }

  /** Team, machine types, quota limit and size of the record. */
  #validateDemand(spec: JobSpec): RejectionResponse | null {
    const team = this.#ctx.deployment.teams.find(({ name }) => name === spec.team);
    if (!team) return { kind: "unsatisfiable", error: `crew: there is no team ${spec.team}` };
    if (this.#config.machineTypes.length === 0) return unavailable("the machine types are not known yet");
    if (!this.#fitsAnyMachineType(spec))
      return { kind: "unsatisfiable", error: "racks: a task fits no allowed machine type" };
    // The tasks of an array may run one after the other; those of a gang or a service run all at once.
    const concurrentTasks = spec.shape === "array" ? 1 : spec.tasks;
    const tasksWithinLimit = countFitting({ cpu: spec.need.cpu, gpu: spec.need.gpu, ram: 0 }, team.limit);
    if (tasksWithinLimit < concurrentTasks)
      return { kind: "unsatisfiable", error: `pieces: the job needs more than the limit of ${team.name}` };
    return fitsValueLimit(spec, this.#ctx.wallMs, this.#ctx.limits.valueBytes) ? null : recordTooLarge();
  }

  #fitsAnyMachineType(spec: JobSpec): boolean {
    return this.#config.machineTypes.some(
      (type) => fitsMachineType(spec, type) && (spec.zone === null || type.zones.includes(spec.zone)),
    );
  }

  /** Each dependency must have been accepted, by any node, and must not be a service, which never completes. */
  #validateDependencies(
    dependencies: readonly string[],
    onResult: (rejection: RejectionResponse | null) => void,
  ): void {
    const unread = dependencies.filter((uid) => this.#lookup.isService(uid) === undefined);
    this.#lookup.findAll(unread, (entries) => {
      onResult(rejectionOfLookups(entries) ?? this.#rejectionOfService(dependencies));
    });
  }

  #rejectionOfService(dependencies: readonly string[]): RejectionResponse | null {
    const service = dependencies.find((uid) => this.#lookup.isService(uid) === true);
    return service === undefined ? null : { kind: "unsatisfiable", error: `awaits: ${service} is a service` };
  }
}

/** A dependency that does not exist is final and goes before one that could not be read. */
function rejectionOfLookups(entries: readonly JobLookupEntry[]): RejectionResponse | null {
  const missing = entries.filter(({ result }) => result.kind === "notFound").at(-1);
  if (missing) return { kind: "unsatisfiable", error: `awaits: there is no job ${missing.uid}` };
  return entries.some(({ result }) => result.kind === "unavailable") ? storeUnavailable() : null;
}
