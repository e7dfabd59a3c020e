import { parseSettings } from "../config/settings.js";
import { Controller } from "../core/controller.js";
import { createServer } from "./api.js";
import { ControllerLoop } from "./controller-loop.js";
import { openLog } from "./log.js";
import { allocateSockets } from "./sockets.js";

/** Minimal valid settings. No connection is opened to these addresses. */
const SAMPLE_SETTINGS = `
node = "sample"
site = "zone"
client_listen = "127.0.0.1:1"
peer_bind = "127.0.0.1:2"
[endpoints]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[deployment]
zones = ["zone"]
teams = [{ name = "team" }]
workers = { report_s = 2.0, lease_s = 14.0, gang_wait_s = 50.0, gang_peer_s = 5.0, cancel_s = 44.0 }
state = { rps = 250.0, write_rps = 100.0, value_kb = 32.0, txn_ops = 48 }
cloud = { rps = 5.0, list_lag_s = 10.0 }
`;
const TICKS = 20;
const TICK_MS = 100;

/** Runs the startup code without I/O, so that the code cache includes its compiled functions. */
export function compileAhead(): void {
  const settings = parseSettings(SAMPLE_SETTINGS);
  const identity = { incarnation: "sample", seed: 1, epochMs: 0 };
  const loop = new ControllerLoop(settings, identity, openLog("error", settings.deployment.node));
  createServer(loop, allocateSockets(settings.maxConnections));
  runTicks(new Controller(settings.deployment, identity));
}

/** Runs a controller for some ticks against an empty store. */
function runTicks(controller: Controller): void {
  const budget = { isSpent: () => false };
  for (let i = 0; i < TICKS; i++) {
    const now = i * TICK_MS;
    for (const effect of controller.handle([{ kind: "tick" }], now, budget)) {
      if (effect.kind !== "callStore") continue;
      const response = { kind: "page", entries: [], more: false, revision: 1 } as const;
      controller.handle([{ kind: "storeResponded", id: effect.id, response }], now, budget);
    }
  }
}
