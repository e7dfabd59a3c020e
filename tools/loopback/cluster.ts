import { CloudServer } from "./cloud-server.js";
import { CLOUD_PORT, NODES, type NodeOptions, Nodes, STATE_PORT } from "./nodes.js";
import { StateServer } from "./state-server.js";
import { WorkerFleet } from "./worker-fleet.js";

export interface ClusterOptions extends NodeOptions {
  readonly workers: number;
  /** How long the tasks of a job run. */
  readonly runMs: (uid: string) => number;
}

/** Everything on loopback: three controllers by a run line, and stand-ins for state service, cloud and workers. */
export interface Cluster {
  readonly state: StateServer;
  readonly fleet: WorkerFleet;
  readonly nodes: Nodes;
  readonly deployFile: string;
}

/** Starts the stand-ins; nodes and workers wait to be started. The run line is that of DEPLOY_FILE. */
export function openCluster({ workers, runMs, ...options }: ClusterOptions): Cluster {
  const deployFile = process.env.DEPLOY_FILE ?? "deploy/service.toml";
  const state = new StateServer();
  state.listen(STATE_PORT);
  const { reportS, leaseS } = options;
  const fleet = new WorkerFleet(
    { nodes: NODES, reportMs: reportS * 1000, leaseMs: leaseS * 1000, runMs },
    workers,
  );
  new CloudServer(fleet).listen(CLOUD_PORT);
  return { state, fleet, nodes: new Nodes(options, deployFile), deployFile };
}
