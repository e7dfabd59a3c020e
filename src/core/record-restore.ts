import type { Context } from "./context.js";
import type { DependencyGraph } from "./jobs/dependency-graph.js";
import type { StoreEntry } from "./messages/store.js";
import type { ClusterState } from "./model/cluster-state.js";
import type { Job } from "./model/job.js";
import type { Machine } from "./model/machine.js";
import type { RecordWriter } from "./store/record-writer.js";
import { KEYS, readBucket } from "./store/records.js";
import { readChunks, type StoredChunk, type StoredPlacement } from "./store/stored-chunks.js";

interface MachineDetails {
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Restores the cluster state of a new leader from the records of earlier leaders. */
export class RecordRestore {
  readonly #ctx: Context;
  readonly #cluster: ClusterState;
  readonly #recordWriter: RecordWriter;
  readonly #dependencies: DependencyGraph;

  constructor(
    ctx: Context,
    cluster: ClusterState,
    recordWriter: RecordWriter,
    dependencies: DependencyGraph,
  ) {
    this.#ctx = ctx;
    this.#cluster = cluster;
    this.#recordWriter = recordWriter;
    this.#dependencies = dependencies;
  }

  /** Restores the machines listed in one record. An unreadable record is logged and left in the store. */
  restoreMachines(entry: StoreEntry): void {
    const record = readBucket(entry.value);
    const index = Number(entry.key.slice(KEYS.machinesPrefix.length));
    if (!record || !Number.isInteger(index)) {
      this.#ctx.log("error", "unreadable record", { key: entry.key });
      return;
    }
    const machines = record.machines.map(([name, address, type, zone, spot]) =>
      this.#restoreMachine(name, { address, type, zone, spot }),
    );
    this.#recordWriter.machineRecords.restore(index, machines, entry.version);
  }

  /**
   * Restores the placements and done tasks of all chunks; the jobs must be restored first. Returns the number of active
   * placements. A recorded placement stays active until there is proof that it has ended (I3).
   */
  restorePlacements(entries: readonly StoreEntry[]): number {
    const stored = readChunks(entries);
    for (const { key, uid } of stored.unreadable) {
      this.#ctx.log("error", "unreadable record", { key });
      const job = this.#cluster.jobByUid(uid);
      // The record may list running tasks: no task of the job may start until it is readable (I3).
      if (job) job.hasUnreadableRecord = true;
    }
    let restored = 0;
    for (const [uid, chunks] of stored.byJob) {
      const job = this.#cluster.jobByUid(uid);
      // A job's key is replaced by its final record only once no placement is active: the chunks are obsolete.
      if (!job) for (const { key } of chunks) this.#recordWriter.queueDeletion(key);
      else restored += this.#restoreJob(job, chunks);
    }
    return restored;
  }

  #restoreJob(job: Job, chunks: readonly StoredChunk[]): number {
    let restored = 0;
    for (const chunk of chunks) {
      job.chunkVersions.set(chunk.key, chunk.version);
      job.chunkTasks = Math.min(job.chunkTasks, chunk.count);
      for (const task of chunk.done) job.markDone(task);
      for (const placement of chunk.placements) {
        if (job.isDone(placement.task) && job.spec.shape !== "gang") continue;
        this.#restorePlacement(job, placement);
        restored++;
      }
    }
    if (restored > 0 || job.doneCount > 0) this.#dependencies.onJobStarted(job);
    return restored;
  }

  #restorePlacement(job: Job, { task, machine: name, incarnation, attempt }: StoredPlacement): void {
    // A machine that is in no readable record is restored with its name only.
    const machine = this.#restoreMachine(name, { address: "", type: "", zone: "", spot: false });
    this.#cluster.addPlacement({
      job,
      task,
      machine,
      incarnation,
      attempt,
      priority: job.effectivePriority,
      isRecorded: true,
      notCancelledAsOf: Number.NEGATIVE_INFINITY,
      placedAt: this.#ctx.now,
      observedState: null,
      startSentUnder: 0,
      startSentAt: Number.NEGATIVE_INFINITY,
      runningSince: null,
      stop: null,
    });
  }

  /** Restores a machine as up: a machine in a record has been up, possibly under an earlier leader. */
  #restoreMachine(name: string, details: MachineDetails): Machine {
    const machine = this.#cluster.ensureMachine(name, details, this.#ctx.now);
    if (machine.phase === "booting") machine.phase = "up";
    return machine;
  }
}
