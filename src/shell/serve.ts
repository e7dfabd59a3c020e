import { randomBytes } from "node:crypto";
import { loadSettings } from "../config/settings.js";
import { createServer } from "./api.js";
import { openLog } from "./log.js";
import { ControllerLoop } from "./loop.js";
import { openFilesProblem } from "./open-files.js";
import { shareSockets } from "./sockets.js";

export { compileAhead } from "./compile-ahead.js";

/** What of its memory a node may use for the records that it keeps as the standby. */
const STANDBY_PART = 1 / 16;
const MB = 1024 * 1024;

export interface ServeOptions {
  /** Why this program was loaded without its code cache; null if it was loaded with it. */
  readonly cacheProblem: string | null;
  /** Whether this node keeps the records while another leads. */
  readonly standby: boolean;
  /** Whether submissions are admitted by the teams' shares. */
  readonly admission: boolean;
}

/** Runs a node until it is killed. */
export function serve(configPath: string, { cacheProblem, standby, admission }: ServeOptions): void {
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
    standbyBytes: standby ? settings.memoryMb * MB * STANDBY_PART : 0,
    admission,
  };
  const failed = (error: Error) => {
    log.error({ error: error.message }, "cannot listen");
    process.exit(1);
  };
  const loop = new ControllerLoop(settings, identity, log);
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
