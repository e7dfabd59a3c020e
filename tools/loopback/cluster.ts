import { AgentFleet } from "./agent-fleet.js";
import { CloudServer } from "./cloud-server.js";
import { CLOUD_PORT, NODES, type NodeOptions, Nodes, STORE_PORT } from "./nodes.js";
import { StoreServer } from "./store-server.js";

/** How a cluster on loopback is made up. */
export interface ClusterOptions extends NodeOptions {
  readonly machines: number;
  /** How long the tasks of a job run. */
  readonly runMs: (uid: string) => number;
}

/** Everything on loopback: three controllers by a run line, and stand-ins for key-value store, cloud and agents. */
export interface Cluster {
  readonly store: StoreServer;
  readonly fleet: AgentFleet;
  readonly nodes: Nodes;
  readonly deployFile: string;
}

/** Starts store and cloud; the caller starts nodes and agents. The run line is that of DEPLOY_FILE. */
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
