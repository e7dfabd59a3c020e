import type { Deployment, MachineType } from "../../src/core/model/deployment.js";

/** The machine types of the small deployment. */
export const TYPES: readonly MachineType[] = [
  {
    name: "small",
    size: { cpu: 4000, gpu: 0, ram: 16_000 },
    cacheGb: 20,
    fetchGbPerS: 1,
    price: 1,
    spotPrice: 0.3,
    bootS: 8,
    zones: ["a", "b"],
  },
  {
    name: "gpu",
    size: { cpu: 8000, gpu: 2000, ram: 32_000 },
    cacheGb: 20,
    fetchGbPerS: 1,
    price: 5,
    spotPrice: 2,
    bootS: 12,
    zones: ["a", "b"],
  },
];

/** The nodes of the small deployment. */
export const NODES = ["n0", "n1", "n2"] as const;

/** Returns a node's configuration of the small deployment used by most tests: two zones, two teams, three nodes. */
export function deployment(node: string): Deployment {
  return {
    node,
    peers: NODES.filter((peer) => peer !== node),
    zones: ["a", "b"],
    teams: [
      {
        name: "red",
        guarantee: { cpu: 16_000, gpu: 2000, ram: 0 },
        limit: { cpu: 24_000, gpu: 4000, ram: 0 },
      },
      {
        name: "blue",
        guarantee: { cpu: 8000, gpu: 2000, ram: 0 },
        limit: { cpu: 16_000, gpu: 4000, ram: 0 },
      },
    ],
    objectives: [],
    heartbeatIntervalS: 2,
    leaseS: 12,
    gangWaitS: 40,
    gangPeerS: 5,
    cancelS: 40,
    storeRps: 250,
    storeWriteRps: 100,
    valueBytes: 8192,
    txnOps: 32,
    nextStoreLimits: { rps: 250, writeRps: 70, valueBytes: 2048, txnOps: 10 },
    cloudRps: 5,
    listLagS: 3,
  };
}
