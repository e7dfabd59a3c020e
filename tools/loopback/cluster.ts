import { AgentFleet } from "./agent-fleet.js";
import { CloudServer } from "./cloud-server.js";
import { CLOUD_PORT, NODES, type NodeOptions, Nodes, STORE_PORT } from "./nodes.js";
import { StoreServer } from "./store-server.js";

/** Size and settings of a cluster on loopback. */
export interface ClusterOptions extends NodeOptions {
  readonly machines: number;
  /** Returns the run time of a job's tasks. */
  readonly runMs: (uid: string) => number;
}

/** A cluster on loopback: three real controllers, and fakes of the key-value store, the cloud and the agents. */
export interface Cluster {
  readonly store: StoreServer;
  readonly fleet: AgentFleet;
  readonly nodes: Nodes;
  readonly deployFile: string;
}

/** Starts the store and the cloud; the caller starts nodes and agents. Nodes use the run command of `DEPLOY_FILE`. */
export function openCluster({ machines, runMs, ...options }: ClusterOptions): Cluster {
  const deployFile = process.env.DEPLOY_FILE ?? "deploy/service.toml";
  const store = new StoreServer();
  store.listen(STORE_PORT);
  const { heartbeatS, leaseS } = options;
  const fleet = new AgentFleet(
    { nodes: NODES, heartbeatMs: heartbeatS * 1000, leaseMs: leaseS * 1000, runMs },
    machines,
  );
  new CloudServer(fleet).listen(CLOUD_PORT);
  return { store, fleet, nodes: new Nodes(options, deployFile), deployFile };
}
