import { randomBytes } from "node:crypto";
import { loadSettings } from "../config/settings.js";
import { createServer } from "./api.js";
import { openLog } from "./log.js";
import { Loop } from "./loop.js";
import { openFilesProblem } from "./open-files.js";
import { shareSockets } from "./sockets.js";

export { compileAhead } from "./compile-ahead.js";

/** Runs a node until it is killed. `cacheProblem` tells why this program was loaded without its code cache. */
export function serve(configPath: string, cacheProblem: string | null): void {
  const settings = loadSettings(configPath);
  const log = openLog(process.env.LOG_LEVEL, settings.deployment.node);
  if (cacheProblem !== null) log.info({ why: cacheProblem }, "started without the code cache");
  const problem = openFilesProblem(settings.maxConnections);
  if (problem !== null) log.error({ problem }, "too few open files");
  const nonce = randomBytes(8);
  const identity = {
    incarnation: nonce.toString("hex"),
    seed: nonce.readInt32LE(0),
    epochMs: Date.now() - performance.now(),
  };
  const failed = (error: Error) => {
    log.error({ error: error.message }, "cannot listen");
    process.exit(1);
  };
  const loop = new Loop(settings, identity, log);
  const shares = shareSockets(settings.maxConnections);
  const server = createServer(loop, shares);
  server.on("error", failed);
  // A whole fleet may connect at once: Node's own default would let 511 of them wait.
  const { host, port } = settings.listen;
  server.listen({ host, port, backlog: shares.inbound }, () => {
    log.info({ listen: settings.listen, started_ms: Math.round(performance.now()) }, "started");
  });
  loop.start(failed);
}
