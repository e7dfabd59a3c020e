import type { Context } from "../context.js";
import type { JobSpec } from "../model/job-spec.js";
import { fitsMachineType } from "../model/machine.js";
import { countFitting } from "../model/resources.js";
import type { ConfigWatch } from "../store/config-watch.js";
import { fitsValueLimit } from "../store/records.js";
import type { JobLookup, JobLookupEntry } from "./job-lookup.js";
import { type RejectionResponse, recordTooLarge, storeUnavailable, unavailable } from "./responses.js";

/** The dependencies of {@link SubmissionValidator}. */
export interface SubmissionValidatorDependencies {
  readonly ctx: Context;
  readonly config: ConfigWatch;
  readonly lookup: JobLookup;
  /** True while a node of the previous version, which does not support job dependencies, may lead. */
  readonly isOlderPeerAlive: () => boolean;
}

/** Checks whether a well-formed job can ever run in this deployment. */
export class SubmissionValidator {
  readonly #ctx: Context;
  readonly #config: ConfigWatch;
  readonly #lookup: JobLookup;
  readonly #isOlderPeerAlive: () => boolean;

  constructor({ ctx, config, lookup, isOlderPeerAlive }: SubmissionValidatorDependencies) {
    this.#ctx = ctx;
    this.#config = config;
    this.#lookup = lookup;
    this.#isOlderPeerAlive = isOlderPeerAlive;
  }

  /** Yields the reason why a job cannot be accepted or cannot be validated yet; null if it can be accepted. */
  validate(spec: JobSpec, onResult: (rejection: RejectionResponse | null) => void): void {
    const rejection = this.#validateDemand(spec);
    if (rejection || !spec.awaits) onResult(rejection);
    else if (this.#isOlderPeerAlive()) onResult(unavailable("a node is yet to be upgraded"));
    else this.#validateDependencies(spec.awaits, onResult);
  }

  /** Checks the team, the machine types, the quota limit and the size of the record. */
  #validateDemand(spec: JobSpec): RejectionResponse | null {
    const team = this.#ctx.deployment.teams.find(({ name }) => name === spec.team);
    if (!team) return { kind: "unsatisfiable", error: `crew: there is no team ${spec.team}` };
    if (this.#config.machineTypes.length === 0) return unavailable("the machine types are not known yet");
    if (!this.#fitsAnyMachineType(spec))
      return { kind: "unsatisfiable", error: "racks: a task fits no allowed machine type" };
    // The tasks of an array may run sequentially; those of a gang or a service run concurrently.
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

/** A missing dependency is final, so it takes precedence over one that could not be read. */
function rejectionOfLookups(entries: readonly JobLookupEntry[]): RejectionResponse | null {
  const missing = entries.filter(({ result }) => result.kind === "notFound").at(-1);
  if (missing) return { kind: "unsatisfiable", error: `awaits: there is no job ${missing.uid}` };
  return entries.some(({ result }) => result.kind === "unavailable") ? storeUnavailable() : null;
}
