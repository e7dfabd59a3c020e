import { randomBytes } from "node:crypto";
import type { Server } from "node:http";
import { loadSettings, type Settings } from "../config/settings.js";
import type { Identity } from "../core/controller.js";
import { createServer } from "./api.js";
import { ControllerLoop } from "./controller-loop.js";
import { type Log, openLog } from "./log.js";
import { openFilesProblem } from "./open-files.js";
import { shareSockets } from "./sockets.js";

export { compileAhead } from "./compile-ahead.js";

/** The part of its memory that a node may use for the records that it caches as a standby. */
const STANDBY_MEMORY_PART = 1 / 16;
const BYTES_PER_MB = 1024 * 1024;

/** How a node runs, beside its settings. */
export interface ServeOptions {
  /** Why this program was loaded without its code cache; null if it was loaded with it. */
  readonly cacheProblem: string | null;
  /** Whether this node caches the records while another leads. */
  readonly standby: boolean;
  /** Whether submissions are admitted by the teams' shares. */
  readonly admission: boolean;
}

/** Runs a node until its process is killed; throws a SettingsError if its settings are unusable. */
export function serve(configPath: string, options: ServeOptions): void {
  const settings = loadSettings(configPath);
  const log = openLog(process.env.LOG_LEVEL, settings.deployment.node);
  logStartProblems(log, settings, options);
  const exitOnListenError = (error: Error) => {
    log.error({ error: error.message }, "cannot listen");
    process.exit(1);
  };
  const loop = new ControllerLoop(settings, createIdentity(settings, options), log);
  const shares = shareSockets(settings.maxConnections);
  const server = createServer(loop, shares);
  server.on("error", exitOnListenError);
  listen(server, settings, shares.inbound, log);
  loop.start(exitOnListenError);
}

function logStartProblems(log: Log, settings: Settings, { cacheProblem }: ServeOptions): void {
  if (cacheProblem !== null) log.info({ reason: cacheProblem }, "started without the code cache");
  const problem = openFilesProblem(settings.maxConnections);
  if (problem !== null) log.error({ reason: problem }, "too few open files");
}

/** A new identity for each process: a node that restarts is not taken for its previous process. */
function createIdentity(settings: Settings, { standby, admission }: ServeOptions): Identity {
  const nonce = randomBytes(8);
  return {
    incarnation: nonce.toString("hex"),
    seed: nonce.readInt32LE(0),
    epochMs: Date.now() - performance.now(),
    standbyBytes: standby ? settings.memoryMb * BYTES_PER_MB * STANDBY_MEMORY_PART : 0,
    admission,
  };
}

/** A whole fleet may connect at once: Node's own default backlog would let only 511 connections wait. */
function listen(server: Server, { listen: { host, port } }: Settings, backlog: number, log: Log): void {
  server.listen({ host, port, backlog }, () => {
    log.info({ listen: { host, port }, started_ms: Math.round(performance.now()) }, "started");
  });
}
