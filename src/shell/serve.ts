import { randomBytes } from "node:crypto";
import type { Server } from "node:http";
import { loadSettings, type Settings } from "../config/settings.js";
import type { ProcessIdentity } from "../core/controller.js";
import { createServer } from "./api.js";
import { ControllerLoop } from "./controller-loop.js";
import { type Log, openLog } from "./log.js";
import { openFilesProblem } from "./open-files.js";
import { allocateSockets } from "./sockets.js";

export { compileAhead } from "./compile-ahead.js";

/** Fraction of the node's memory that the standby cache may use. */
const STANDBY_MEMORY_FRACTION = 1 / 16;
const BYTES_PER_MB = 1024 * 1024;

/** Options of a node in addition to its settings file. */
export interface ServeOptions {
  /** Why the code cache was not used; null if it was. */
  readonly cacheProblem: string | null;
  /** True if this node keeps a standby cache of the records while another node leads. */
  readonly standby: boolean;
  /** True if submissions are limited by the teams' shares. */
  readonly admission: boolean;
}

/** Runs a node until its process is killed; throws a SettingsError if its settings are invalid. */
export function serve(configPath: string, options: ServeOptions): void {
  const settings = loadSettings(configPath);
  const log = openLog(process.env.LOG_LEVEL, settings.deployment.node);
  logStartProblems(log, settings, options);
  const exitOnListenError = (error: Error) => {
    log.error({ error: error.message }, "cannot listen");
    process.exit(1);
  };
  const loop = new ControllerLoop(settings, createIdentity(settings, options), log);
  const sockets = allocateSockets(settings.maxConnections);
  const server = createServer(loop, sockets);
  server.on("error", exitOnListenError);
  listen(server, settings, sockets.inbound, log);
  loop.start(exitOnListenError);
}

function logStartProblems(log: Log, settings: Settings, { cacheProblem }: ServeOptions): void {
  if (cacheProblem !== null) log.info({ reason: cacheProblem }, "started without code cache");
  const problem = openFilesProblem(settings.maxConnections);
  if (problem !== null) log.error({ reason: problem }, "open file limit too low");
}

/** Creates a new identity for each process, so that a restarted node is not mistaken for its previous process. */
function createIdentity(settings: Settings, { standby, admission }: ServeOptions): ProcessIdentity {
  const nonce = randomBytes(8);
  return {
    incarnation: nonce.toString("hex"),
    seed: nonce.readInt32LE(0),
    epochMs: Date.now() - performance.now(),
    standbyBytes: standby ? settings.memoryMb * BYTES_PER_MB * STANDBY_MEMORY_FRACTION : 0,
    admission,
  };
}

/** Listens with a large backlog: the whole fleet may connect at once, and Node.js's default holds 511 connections. */
function listen(server: Server, { listen: { host, port } }: Settings, backlog: number, log: Log): void {
  server.listen({ host, port, backlog }, () => {
    log.info({ listen: { host, port }, started_ms: Math.round(performance.now()) }, "started");
  });
}
