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

/** Fraction of job completions and cancellations that are followed by a burst of polls. */
const POLL_BURST_RATE = 0.3;
const POLL_BURST_MS = 250;
const REQUEST_TIMEOUT_MS = 5000;
const RETRY_MS = 1500;
const MAX_RETRIES = 40;
/** Users ignore a `Retry-After` of this or more and retry sooner. */
const MAX_RETRY_AFTER_S = 30;
const UNKNOWN_JOB = "j-999999999";

/** Handles the response to a request; null if the request failed or timed out. */
type OnResponse = (response: UserResponse | null) => void;

/** A rejected submission, with the requested retry delay, if any. */
export interface RejectedSubmission {
  readonly team: string;
  readonly at: number;
  readonly retryAfterS: number | null;
}

export interface UsersOptions {
  readonly simulation: Simulation;
  readonly controllers: Controllers;
  readonly jobs: SubmittedJobs;
  readonly rules: RuleChecks;
}

/** Simulated users: submit, poll, cancel and resubmit jobs at any controller, and check the responses. */
export class Users {
  readonly rejected: RejectedSubmission[] = [];
  /** Number of jobs confirmed as done to their users. */
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

  /** Delivers a controller's response to the waiting user. */
  respond(requestId: number, response: UserResponse): void {
    this.#onResponse.get(requestId)?.(response);
    this.#onResponse.delete(requestId);
  }

  /** Submits a job with retries until it is accepted, and polls it from then on. */
  submit(spec: JobSpec): void {
    const job = newJob(spec, this.#simulation.now);
    this.#jobs.set(spec.uid, job);
    this.#trySubmit(job, MAX_RETRIES);
  }

  /** Submits a job with a mistake, which its user notices and cancels after `cancelAfterMs`. */
  submitMistaken(spec: JobSpec, cancelAfterMs: number): void {
    const job = newJob(spec, this.#simulation.now, true);
    this.#jobs.set(spec.uid, job);
    this.#trySubmit(job, MAX_RETRIES);
    const cancel = () => {
      if (job.acceptedAt === null) this.#simulation.after(RETRY_MS, cancel);
      else this.cancel(spec.uid);
    };
    this.#simulation.after(cancelAfterMs, cancel);
  }

  /**
   * Submits the stages of a pipeline, each as soon as its dependencies are accepted. If `afterDependenciesEnd` is set,
   * the first stage waits until its dependencies are confirmed done or their cancellation is requested.
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

  /** Cancels an accepted job, with retries until the cancellation is answered. */
  cancel(uid: string): void {
    const job = this.#jobs.get(uid);
    if (!job || job.acceptedAt === null) return;
    job.cancelRequested = true;
    this.#tryCancel(job, MAX_RETRIES);
  }

  /** Resubmits an accepted job, unchanged or invalid; a known job must never be rejected. */
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
          this.#rules.report("forgotten", `${uid}: resubmission got ${response.kind}`);
      },
    );
  }

  /** Submits a job that fits no machine or lacks a field; neither may be accepted. */
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

  /** Polls a job that was never submitted. */
  pollUnknown(): void {
    this.#request(
      (requestId) => ({ kind: "poll", requestId, uid: UNKNOWN_JOB }),
      (response) => {
        if (response?.kind === "status") this.#rules.report("invented", UNKNOWN_JOB);
      },
    );
  }

  /** Sends a request to the given node, by default a random one. */
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
          this.#rules.report("forgotten", `${spec.uid} was rejected: ${response.error}`);
        } else if (retries > 0) this.#retrySubmit(job, retries - 1, response);
      },
    );
  }

  /** Retries a rejected submission, after the requested delay if there is one. */
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
        // The rule allows `cancel_s` until dependents are cancelled, but their status follows from the records at once.
        if (isOrphaned && phase !== "cancelled") this.#rules.report("orphaned", `${uid} is ${phase}`);
        job.answeredAt = this.#simulation.now;
        this.#recordStatus(job, phase, confirmedBefore);
      },
      node,
    );
  }

  /** Checks and records the phase in a response; `confirmedBefore` is the outcome confirmed before the request. */
  #recordStatus(job: SubmittedJob, phase: string, confirmedBefore: ConfirmedOutcome): void {
    this.#rules.checkReturnedPhase(job, phase, confirmedBefore);
    if (phase === "done" && !job.confirmedDone) {
      job.confirmedDone = true;
      this.finished++;
      this.#pollInBurst(job);
    } else if (phase === "cancelled" && job.cancelledAt === null) {
      job.cancelledAt = this.#simulation.now;
      this.#pollInBurst(job);
    }
  }

  /** Polls a job and its dependents at every node several times within milliseconds, and resubmits the job. */
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

  /** Returns whether a job is accepted or, if `afterDependenciesEnd` is set, confirmed done or to be cancelled. */
  #isUsableAsDependency(uid: string, afterDependenciesEnd: boolean): boolean {
    const job = this.#jobs.get(uid);
    if (!job) return false;
    return afterDependenciesEnd
      ? job.confirmedDone || this.#jobs.isCancelRequested(job)
      : job.acceptedAt !== null;
  }
}
