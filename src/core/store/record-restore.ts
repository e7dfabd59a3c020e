import type { Context } from "../context.js";
import type { DependencyGraph } from "../jobs/dependency-graph.js";
import type { StoreEntry } from "../messages/store.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import type { Machine } from "../model/machine.js";
import type { RecordWriter } from "./record-writer.js";
import { KEYS, readBucket } from "./records.js";
import { readChunks, type StoredChunk } from "./stored-chunks.js";

/** Puts what earlier leaders left on record into the tables of a new one. */
export class RecordRestore {
  readonly #ctx: Context;
  readonly #recorder: RecordWriter;
  readonly #pipelines: DependencyGraph;
  readonly #tables: ClusterState;

  constructor(ctx: Context, tables: ClusterState, recorder: RecordWriter, pipelines: DependencyGraph) {
    this.#ctx = ctx;
    this.#tables = tables;
    this.#recorder = recorder;
    this.#pipelines = pipelines;
  }

  /** The machines of one record. One that can't be read is told of, and kept. */
  restoreMachines(item: StoreEntry): void {
    const { now } = this.#ctx;
    const record = readBucket(item.value);
    const bucket = Number(item.key.slice(KEYS.machines.length));
    if (!record || !Number.isInteger(bucket)) {
      this.#ctx.log("error", "a record can't be read", { key: item.key });
      return;
    }
    const listed: Machine[] = [];
    for (const [name, address, type, zone, spot] of record.machines) {
      const machine = this.#tables.machine(name, { address, type, zone, spot }, now);
      if (machine.phase === "booting") machine.phase = "up";
      listed.push(machine);
    }
    this.#recorder.machineRecords.inherit(bucket, listed, item.version);
  }

  /** Puts what is on record as placed into the tables; returns how much that is. */
  restorePlacements(chunks: readonly StoreEntry[]): number {
    const { found, unreadable } = readChunks(chunks);
    for (const { key, uid } of unreadable) {
      this.#ctx.log("error", "a record can't be read", { key });
      const job = this.#tables.jobByUid(uid);
      // What can't be read may be running: it is kept, and nothing of the job is started.
      if (job) job.hasUnreadableRecord = true;
    }
    let held = 0;
    for (const [uid, records] of found) {
      const job = this.#tables.jobByUid(uid);
      // The job's final state was written while none of its tasks was left.
      if (!job) for (const { key } of records) this.#recorder.queueDeletion(key);
      else held += this.#restore(job, records);
    }
    return held;
  }

  #restore(job: Job, records: readonly StoredChunk[]): number {
    let held = 0;
    for (const { key, version, count, done, placed } of records) {
      job.chunkVersions.set(key, version);
      job.chunkTasks = Math.min(job.chunkTasks, count);
      for (const task of done) job.markDone(task);
      for (const { task, machine: name, session, attempt } of placed) {
        if (job.isDone(task) && job.spec.shape !== "gang") continue;
        this.#restorePlacement(job, task, name, session, attempt);
        held++;
      }
    }
    if (held > 0 || job.doneCount > 0) this.#pipelines.onJobBegun(job);
    return held;
  }

  #restorePlacement(job: Job, task: number, name: string, session: number, attempt: number): void {
    const { now } = this.#ctx;
    const machine = this.#tables.machine(name, { address: "", type: "", zone: "", spot: false }, now);
    if (machine.phase === "booting") machine.phase = "up";
    this.#tables.addPlacement({
      job,
      task,
      machine,
      incarnation: session,
      attempt,
      priority: job.effectivePriority,
      isRecorded: true,
      notCancelledAsOf: Number.NEGATIVE_INFINITY,
      placedAt: now,
      observedState: null,
      startSentUnder: 0,
      startSentAt: Number.NEGATIVE_INFINITY,
      runningSince: null,
      stop: null,
    });
  }
}
