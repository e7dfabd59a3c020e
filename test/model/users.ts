import type { Command } from "../../src/core/messages/commands.js";
import type { SubmittedSpec, UserResponse } from "../../src/core/messages/users.js";
import type { JobSpec } from "../../src/core/model/job-spec.js";
import type { ControllerNode, Controllers } from "./controllers.js";
import {
  type ConfirmedOutcome,
  confirmedOutcomeOf,
  newJob,
  type SubmittedJob,
  type SubmittedJobs,
} from "./jobs.js";
import type { RuleChecks } from "./rule-checks.js";
import type { Simulation } from "./simulation.js";

/** The part of all ends and cancellations that users look at closely. */
const POLL_BURST_RATE = 0.3;
const POLL_BURST_MS = 250;
const REQUEST_TIMEOUT_MS = 5000;
const RETRY_MS = 1500;
const MAX_RETRIES = 40;
/** A user who is asked to come back later than this does so earlier. */
const MAX_RETRY_AFTER_S = 30;
const UNKNOWN_JOB = "j-999999999";

/** Handles the response to a request; null if there was none in time. */
type OnResponse = (response: UserResponse | null) => void;

/** A submission that was not accepted, and the delay that its user was asked to keep, if any. */
export interface RejectedSubmission {
  readonly team: string;
  readonly at: number;
  readonly retryAfterS: number | null;
}

/** What the users are built from. */
export interface UsersOptions {
  readonly simulation: Simulation;
  readonly controllers: Controllers;
  readonly jobs: SubmittedJobs;
  readonly rules: RuleChecks;
}

/** The users: they submit, poll and cancel at any controller, repeat themselves, and check what they are answered. */
export class Users {
  readonly rejected: RejectedSubmission[] = [];
  /** Jobs that their users know to be done. */
  finished = 0;
  readonly #simulation: Simulation;
  readonly #controllers: Controllers;
  readonly #jobs: SubmittedJobs;
  readonly #rules: RuleChecks;
  readonly #onResponse = new Map<number, (response: UserResponse) => void>();

  constructor({ simulation, controllers, jobs, rules }: UsersOptions) {
    this.#simulation = simulation;
    this.#controllers = controllers;
    this.#jobs = jobs;
    this.#rules = rules;
  }

  /** Hands a controller's response to the user who waits for it. */
  respond(requestId: number, response: UserResponse): void {
    this.#onResponse.get(requestId)?.(response);
    this.#onResponse.delete(requestId);
  }

  /** Submits a job, again and again until it is accepted, and polls it from then on. */
  submit(spec: JobSpec): void {
    const job = newJob(spec, this.#simulation.now);
    this.#jobs.set(spec.uid, job);
    this.#trySubmit(job, MAX_RETRIES);
  }

  /**
   * Submits the stages of a pipeline, each as soon as its dependencies are accepted; a late one comes only when they are
   * over.
   */
  submitPipeline(stages: readonly JobSpec[], afterDependenciesEnd: boolean): void {
    const [spec, ...rest] = stages;
    if (!spec) return;
    if (!(spec.awaits ?? []).every((uid) => this.#isUsableAsDependency(uid, afterDependenciesEnd))) {
      this.#simulation.after(200, () => this.submitPipeline(stages, afterDependenciesEnd));
      return;
    }
    this.submit(spec);
    this.submitPipeline(rest, afterDependenciesEnd && rest.length === 1);
  }

  /** Cancels a job that was accepted, again and again until that is answered. */
  cancel(uid: string): void {
    const job = this.#jobs.get(uid);
    if (!job || job.acceptedAt === null) return;
    job.cancelRequested = true;
    this.#tryCancel(job, MAX_RETRIES);
  }

  /** Submits a job once more, as it was or with something missing: as it is known, it is never rejected. */
  resubmit(uid: string): void {
    const job = this.#jobs.get(uid);
    if (!job || job.acceptedAt === null) return;
    const confirmedBefore = confirmedOutcomeOf(job);
    const submitted: SubmittedSpec = this.#simulation.chance(0.3)
      ? { ok: false, error: "shape: missing" }
      : { ok: true, spec: job.spec };
    this.#request(
      (requestId) => ({ kind: "submit", requestId, uid, submitted }),
      (response) => {
        if (response?.kind === "accepted" && response.known)
          this.#recordStatus(job, response.status.phase, confirmedBefore);
        else if (response !== null && response.kind !== "unavailable")
          this.#rules.report("forgotten", `${uid}: ${response.kind} to a repeat`);
      },
    );
  }

  /** Submits a job that fits no machine, or one that lacks a field: neither is ever accepted. */
  submitInvalid(invalid: JobSpec): void {
    const { uid } = invalid;
    const submitted: SubmittedSpec = this.#simulation.chance(0.5)
      ? { ok: false, error: "pieces: missing" }
      : { ok: true, spec: invalid };
    this.#request(
      (requestId) => ({ kind: "submit", requestId, uid, submitted }),
      (response) => {
        if (response?.kind === "accepted") this.#rules.report("accepted_odd", uid);
      },
    );
  }

  /** Asks about a job that nobody has submitted. */
  pollUnknown(): void {
    this.#request(
      (requestId) => ({ kind: "poll", requestId, uid: UNKNOWN_JOB }),
      (response) => {
        if (response?.kind === "status") this.#rules.report("invented", UNKNOWN_JOB);
      },
    );
  }

  /** Sends a request to a node, any one unless it is named. */
  #request(
    makeCommand: (requestId: number) => Command,
    onResponse: OnResponse,
    node = this.#controllers.nodes[this.#simulation.between(0, this.#controllers.nodes.length - 1)],
  ): void {
    const simulation = this.#simulation;
    if (!node?.core || simulation.now < node.partitionedUntil) {
      simulation.after(500, () => onResponse(null));
      return;
    }
    const requestId = simulation.nextRequestId();
    let isOver = false;
    this.#onResponse.set(requestId, (response) => {
      if (isOver) return;
      isOver = true;
      simulation.after(2, () => onResponse(response));
    });
    simulation.after(REQUEST_TIMEOUT_MS, () => {
      if (isOver) return;
      isOver = true;
      onResponse(null);
    });
    this.#controllers.deliver(node, makeCommand(requestId));
  }

  #trySubmit(job: SubmittedJob, retries: number): void {
    const { spec } = job;
    this.#request(
      (requestId) => ({ kind: "submit", requestId, uid: spec.uid, submitted: { ok: true, spec } }),
      (response) => {
        if (response?.kind === "accepted") {
          job.acceptedAt ??= this.#simulation.now;
          this.#keepPolling(job);
        } else if (response?.kind === "unsatisfiable" || response?.kind === "invalid") {
          this.#rules.report("forgotten", `${spec.uid} was turned away: ${response.error}`);
        } else if (retries > 0) this.#retrySubmit(job, retries - 1, response);
      },
    );
  }

  /** A user who is asked to come back after a while does so then. */
  #retrySubmit(job: SubmittedJob, retries: number, response: UserResponse | null): void {
    const isRetryAfterFollowed = response?.kind === "throttled" && response.retryAfterS < MAX_RETRY_AFTER_S;
    const retryAfterS = isRetryAfterFollowed ? response.retryAfterS : null;
    this.rejected.push({ team: job.spec.team, at: this.#simulation.now, retryAfterS });
    const delayMs = Math.max(RETRY_MS, (retryAfterS ?? 0) * 1000);
    this.#simulation.after(delayMs, () => this.#trySubmit(job, retries));
  }

  #tryCancel(job: SubmittedJob, retries: number): void {
    const { uid } = job.spec;
    const confirmedBefore = confirmedOutcomeOf(job);
    this.#request(
      (requestId) => ({ kind: "cancel", requestId, uid }),
      (response) => {
        if (response?.kind === "status") this.#recordStatus(job, response.status.phase, confirmedBefore);
        else if (response?.kind === "notFound")
          this.#rules.report("forgotten", `${uid} got 404 on its cancellation`);
        else if (retries > 0) this.#simulation.after(RETRY_MS, () => this.#tryCancel(job, retries - 1));
      },
    );
  }

  #keepPolling(job: SubmittedJob): void {
    this.#simulation.after(this.#simulation.between(3000, 6000), () => {
      this.#poll(job);
      this.#keepPolling(job);
    });
  }

  #poll(job: SubmittedJob, node?: ControllerNode): void {
    const { uid } = job.spec;
    const confirmedBefore = confirmedOutcomeOf(job);
    const isOrphaned = this.#jobs.someDependency(job, (dependency) => dependency.cancelledAt !== null);
    this.#request(
      (requestId) => ({ kind: "poll", requestId, uid }),
      (response) => {
        if (response?.kind === "notFound") this.#rules.report("forgotten", `${uid} got 404`);
        if (response?.kind !== "status") return;
        const { phase } = response.status;
        // The rule leaves `cancel_s` for this; what is derived from the records needs none of it.
        if (isOrphaned && phase !== "cancelled") this.#rules.report("orphaned", `${uid} is ${phase}`);
        job.answeredAt = this.#simulation.now;
        this.#recordStatus(job, phase, confirmedBefore);
      },
      node,
    );
  }

  /** A user was answered with a phase, having known `before` when asking. */
  #recordStatus(job: SubmittedJob, phase: string, confirmedBefore: ConfirmedOutcome): void {
    this.#rules.checkAnsweredPhase(job, phase, confirmedBefore);
    if (phase === "done" && !job.confirmedDone) {
      job.confirmedDone = true;
      this.finished++;
      this.#pollInBurst(job);
    } else if (phase === "cancelled" && job.cancelledAt === null) {
      job.cancelledAt = this.#simulation.now;
      this.#pollInBurst(job);
    }
  }

  /** Its user polls it and its dependents at every node, several times within milliseconds, and submits it once more. */
  #pollInBurst(job: SubmittedJob): void {
    const simulation = this.#simulation;
    if (!simulation.chance(POLL_BURST_RATE)) return;
    const { uid } = job.spec;
    const dependents = [...this.#jobs.values()].filter((other) => other.spec.awaits?.includes(uid));
    for (const node of this.#controllers.nodes) {
      for (let i = 0; i < 3; i++) {
        simulation.after(simulation.between(0, POLL_BURST_MS), () => {
          for (const polled of [job, ...dependents]) if (polled.acceptedAt !== null) this.#poll(polled, node);
        });
      }
      simulation.after(simulation.between(0, POLL_BURST_MS), () => this.resubmit(uid));
    }
  }

  /** May a submission name this job as a dependency? A late one waits until it is over. */
  #isUsableAsDependency(uid: string, afterDependenciesEnd: boolean): boolean {
    const job = this.#jobs.get(uid);
    if (!job) return false;
    return afterDependenciesEnd
      ? job.confirmedDone || this.#jobs.isCancelRequested(job)
      : job.acceptedAt !== null;
  }
}
