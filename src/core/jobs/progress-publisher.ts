import type { Context } from "../context.js";
import type { ClusterState } from "../model/cluster-state.js";
import type { Job } from "../model/job.js";

const INTERVAL_MS = 1000;

type Row = readonly [uid: string, done: number, running: number];

/** Tells the other nodes how far jobs are, for display: what has changed, once a second. */
export class ProgressPublisher {
  readonly #ctx: Context;
  readonly #tables: ClusterState;
  /** What was last told of each job. */
  readonly #told = new Map<string, { readonly done: number; readonly running: number }>();
  #sentAt = 0;

  constructor(ctx: Context, tables: ClusterState) {
    this.#ctx = ctx;
    this.#tables = tables;
  }

  forget({ uid }: Job): void {
    this.#told.delete(uid);
  }

  tick(): void {
    const { now, deployment } = this.#ctx;
    if (now - this.#sentAt < INTERVAL_MS) return;
    this.#sentAt = now;
    const rows = this.#changed();
    if (rows.length === 0) return;
    for (const to of deployment.peers)
      this.#ctx.emit({ kind: "sendToPeer", to, message: { kind: "progress", rows } });
  }

  #changed(): Row[] {
    const rows: Row[] = [];
    for (const job of this.#tables.jobs.values()) {
      const [done, running] = [job.doneCount, job.countRunning()];
      const told = this.#told.get(job.uid);
      if (told?.done === done && told.running === running) continue;
      this.#told.set(job.uid, { done, running });
      rows.push([job.uid, done, running]);
    }
    return rows;
  }
}
