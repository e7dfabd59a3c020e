import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";
import type { TaskCounts } from "./progress-counts.js";

const PUBLISH_INTERVAL_MS = 1000;

type ProgressRow = readonly [uid: string, done: number, running: number];

/** Publishes changes in the progress of jobs from the leader to its peers once per second, for display. */
export class ProgressPublisher {
  readonly #ctx: Context;
  readonly #cluster: ClusterState;
  /** The task counts last published, by job uid. */
  readonly #published = new Map<string, TaskCounts>();
  #publishedAt = 0;

  constructor(ctx: Context, cluster: ClusterState) {
    this.#ctx = ctx;
    this.#cluster = cluster;
  }

  /** Removes the published counts of a job that has ended. */
  remove({ uid }: Job): void {
    this.#published.delete(uid);
  }

  /** Publishes changed counts if the publish interval has passed. */
  tick(): void {
    const { now, deployment } = this.#ctx;
    if (now - this.#publishedAt < PUBLISH_INTERVAL_MS) return;
    this.#publishedAt = now;
    const rows = this.#changedRows();
    if (rows.length === 0) return;
    for (const to of deployment.peers)
      this.#ctx.emit({ kind: "sendToPeer", to, message: { kind: "progress", rows } });
  }

  #changedRows(): ProgressRow[] {
    const rows: ProgressRow[] = [];
    for (const job of this.#cluster.jobs.values()) {
      const [done, running] = [job.doneCount, job.countRunning()];
      const published = this.#published.get(job.uid);
      if (published?.done === done && published.running === running) continue;
      this.#published.set(job.uid, { done, running });
      rows.push([job.uid, done, running]);
    }
    return rows;
  }
}
