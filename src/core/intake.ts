import { times } from "./amount.js";
import type { Context } from "./context.js";
import { type JobRecord, KEYS, readFinal, readJob } from "./records.js";
import { suitsType } from "./tables.js";
import type { JobSpec, JobView, StateItem, UserAnswer } from "./types.js";
import type { ConfigView } from "./view.js";

const CALL_MS = 1500;
const TRIES = 4;
const FINALS_KEPT = 20_000;
const VERSIONS_KEPT = 20_000;
/** Conditions of a transaction, as a multiple of its changes. */
const CONDITIONS = 4;

export interface IntakeEvents {
  /** This node has written a job's key: accepted it, or cancelled it. */
  learned(item: StateItem, cancelled: boolean): void;
  /** Counts for display. */
  counts(uid: string): { done: number; running: number } | null;
}

/** What the state service says of a job; null when it could not be asked. */
type Found =
  | { readonly t: "active"; readonly item: StateItem; readonly record: JobRecord }
  | { readonly t: "over"; readonly view: JobView }
  | { readonly t: "absent" }
  | null;

/**
 * Users' requests, on every node, whoever leads. Each answer rests on the state service: what was
 * accepted, done or cancelled is durable before it is said, and what is read is never older.
 */
export class Intake {
  readonly #ctx: Context;
  readonly #view: ConfigView;
  readonly #events: IntakeEvents;
  /** Final states never change, so they may be remembered; oldest first. */
  readonly #finals = new Map<string, JobView>();
  /** Unfinished jobs as this node last read them; oldest first. Asked about again, only the version is compared. */
  readonly #seen = new Map<string, { readonly version: number; readonly cancelled: boolean }>();
  /** Polls of such jobs that wait to be answered together. */
  #gathered: { readonly uid: string; readonly answer: (a: UserAnswer) => void }[] = [];

  constructor(ctx: Context, view: ConfigView, events: IntakeEvents) {
    this.#ctx = ctx;
    this.#view = view;
    this.#events = events;
  }

  submit(uid: string, spec: JobSpec | string, answer: (a: UserAnswer) => void): void {
    const over = this.#finals.get(uid);
    if (over) {
      answer({ t: "accepted", known: true, view: over });
      return;
    }
    const refusal =
      typeof spec === "string" ? ({ t: "malformed", error: spec } as const) : this.#refusal(spec);
    if (refusal?.t === "later") {
      answer(refusal);
      return;
    }
    if (refusal || typeof spec === "string") {
      // A known job is never turned away, whatever its repeated submission looks like now.
      this.#find(uid, (found) => {
        if (found === null) answer(later("the state service does not answer"));
        else if (found.t === "absent") answer(refusal ?? later("undecided"));
        else answer({ t: "accepted", known: true, view: this.#viewOfFound(uid, found) });
      });
      return;
    }
    this.#write(spec, answer);
  }

  #write(spec: JobSpec, answer: (a: UserAnswer) => void): void {
    const { uid } = spec;
    const acceptedAt = Math.round(this.#ctx.wallMs);
    const record: JobRecord = { state: "active", acceptedAt, spec };
    this.#ctx.state(
      {
        t: "txn",
        conditions: [
          { key: KEYS.job(uid), version: 0 },
          { key: KEYS.final(uid), version: 0 },
        ],
        changes: [{ put: KEYS.job(uid), value: record }],
      },
      CALL_MS,
      (result) => {
        if (result.t === "ok") {
          this.#note(uid, result.revision, record);
          this.#events.learned({ key: KEYS.job(uid), value: record, version: result.revision }, false);
          answer({ t: "accepted", known: false, view: { uid, phase: "queued", done: 0, running: 0 } });
        } else if (result.t === "conflict") {
          this.#find(uid, (found) => {
            if (found === null || found.t === "absent") answer(later("the state service does not answer"));
            else answer({ t: "accepted", known: true, view: this.#viewOfFound(uid, found) });
          });
        } else {
          answer(later("the state service does not answer"));
        }
      },
    );
  }

  /** Why a job can never run, or why this node can't tell yet. */
  #refusal(spec: JobSpec): Extract<UserAnswer, { t: "never" | "later" }> | null {
    const team = this.#ctx.deployment.teams.find((t) => t.name === spec.team);
    if (!team) return { t: "never", error: `crew: there is no team ${spec.team}` };
    if (this.#view.types.length === 0) return later("the machine types are not known yet");
    const suits = this.#view.types.some(
      (type) => suitsType(spec, type) && (spec.zone === null || type.zones.includes(spec.zone)),
    );
    if (!suits) return { t: "never", error: "racks: a task fits no allowed machine type" };
    const atOnce = spec.shape === "array" ? 1 : spec.tasks;
    const room = times({ cpu: spec.need.cpu, gpu: spec.need.gpu, ram: 0 }, team.limit);
    if (room < atOnce)
      return { t: "never", error: `pieces: the job needs more than the limit of ${team.name}` };
    return null;
  }

  poll(uid: string, answer: (a: UserAnswer) => void): void {
    const over = this.#finals.get(uid);
    if (over) {
      answer({ t: "view", view: over });
    } else if (this.#seen.has(uid)) {
      this.#gathered.push({ uid, answer });
      if (this.#gathered.length >= this.#ctx.deployment.txnOps * CONDITIONS) this.comparePolls();
    } else {
      this.#read(uid, answer);
    }
  }

  /**
   * Answers the gathered polls with one transaction that only compares: where a job's version is still the one this node
   * has read, no node can have told anything newer. One read for each poll took half of the state service's requests.
   */
  comparePolls(): void {
    const polls = this.#gathered;
    if (polls.length === 0) return;
    this.#gathered = [];
    const asked = new Map<string, { readonly version: number; readonly cancelled: boolean }>();
    for (const { uid } of polls) {
      const seen = this.#seen.get(uid);
      if (seen) asked.set(uid, seen);
    }
    const conditions = [...asked].map(([uid, { version }]) => ({ key: KEYS.job(uid), version }));
    this.#ctx.state({ t: "txn", conditions, changes: [] }, CALL_MS, (result) => {
      const failed = new Set(result.t === "conflict" ? result.failed : []);
      for (const { uid, answer } of polls) {
        const seen = asked.get(uid);
        if (result.t !== "ok" && result.t !== "conflict") answer(later("the state service does not answer"));
        else if (seen && !failed.has(KEYS.job(uid)))
          answer({ t: "view", view: this.#viewOf(uid, seen.cancelled) });
        else this.#read(uid, answer);
      }
    });
  }

  #read(uid: string, answer: (a: UserAnswer) => void): void {
    this.#find(uid, (found) => {
      if (found === null) answer(later("the state service does not answer"));
      else if (found.t === "absent") answer({ t: "unknown" });
      else answer({ t: "view", view: this.#viewOfFound(uid, found) });
    });
  }

  cancel(uid: string, answer: (a: UserAnswer) => void, tries = TRIES): void {
    this.#find(uid, (found) => {
      if (found === null) {
        answer(later("the state service does not answer"));
      } else if (found.t === "absent") {
        answer({ t: "unknown" });
      } else if (found.t === "over" || found.record.state === "cancelled") {
        answer({ t: "view", view: this.#viewOfFound(uid, found) });
      } else {
        this.#writeCancelled(uid, found.item, found.record, answer, tries);
      }
    });
  }

  #writeCancelled(
    uid: string,
    item: StateItem,
    record: JobRecord,
    answer: (a: UserAnswer) => void,
    tries: number,
  ): void {
    const value: JobRecord = { ...record, state: "cancelled" };
    const conditions = [{ key: item.key, version: item.version }];
    this.#ctx.state({ t: "txn", conditions, changes: [{ put: item.key, value }] }, CALL_MS, (result) => {
      if (result.t === "ok") {
        this.#note(uid, result.revision, value);
        this.#events.learned({ key: item.key, value, version: result.revision }, true);
        const { done = 0, running = 0 } = this.#events.counts(uid) ?? {};
        answer({ t: "view", view: { uid, phase: "cancelled", done, running } });
      } else if (result.t === "conflict" && tries > 1) {
        // It was completed, or cancelled, at the same moment: the key tells which.
        this.cancel(uid, answer, tries - 1);
      } else {
        answer(later("the state service does not answer"));
      }
    });
  }

  /**
   * Reads a job's key, then its final one: a job moves from the first to the second in one transaction,
   * so whoever finds neither, in this order, has proof that it was never accepted.
   */
  #find(uid: string, then: (found: Found) => void): void {
    this.#ctx.state({ t: "get", key: KEYS.job(uid) }, CALL_MS, (answer) => {
      if (answer.t === "item") {
        const record = readJob(answer.item.value);
        if (record) this.#note(uid, answer.item.version, record);
        then(record ? { t: "active", item: answer.item, record } : null);
      } else if (answer.t === "absent") {
        this.#ctx.state({ t: "get", key: KEYS.final(uid) }, CALL_MS, (final) => {
          if (final.t === "absent") then({ t: "absent" });
          else if (final.t !== "item") then(null);
          else then(this.#remember(uid, final.item));
        });
      } else {
        then(null);
      }
    });
  }

  #note(uid: string, version: number, { state }: JobRecord): void {
    this.#seen.delete(uid);
    this.#seen.set(uid, { version, cancelled: state === "cancelled" });
    trim(this.#seen, VERSIONS_KEPT);
  }

  #remember(uid: string, item: StateItem): Found {
    this.#seen.delete(uid);
    const record = readFinal(item.value);
    if (!record) return null;
    const view: JobView = {
      uid,
      phase: record.state,
      done: record.state === "done" ? record.tasks : 0,
      running: 0,
    };
    this.#finals.set(uid, view);
    trim(this.#finals, FINALS_KEPT);
    return { t: "over", view };
  }

  #viewOfFound(uid: string, found: Exclude<Found, null | { t: "absent" }>): JobView {
    return found.t === "over" ? found.view : this.#viewOf(uid, found.record.state === "cancelled");
  }

  #viewOf(uid: string, cancelled: boolean): JobView {
    const { done, running } = this.#events.counts(uid) ?? { done: 0, running: 0 };
    if (cancelled) return { uid, phase: "cancelled", done, running };
    return { uid, phase: running > 0 ? "running" : "queued", done, running };
  }
}

/** Drops the oldest entry of a map that has grown too large. */
function trim(map: Map<string, unknown>, most: number): void {
  if (map.size <= most) return;
  const oldest = map.keys().next();
  if (!oldest.done) map.delete(oldest.value);
}

export function later(error: string, afterS = 1): Extract<UserAnswer, { t: "later" }> {
  return { t: "later", error, afterS };
}
