import http from "node:http";
import express, { type Express, type NextFunction, type Request, type Response } from "express";
import { encodeFailure, noSuchPath } from "../protocol/responses.js";
import { addAdminRoutes } from "./admin-routes.js";
import { AgentConnections } from "./agent-connections.js";
import { HeartbeatEndpoint, isHeartbeatRequest } from "./heartbeat-endpoint.js";
import type { RequestHandler } from "./request-handler.js";
import type { SocketAllocation } from "./sockets.js";
import { addUserRoutes } from "./user-routes.js";
import { writeResponse } from "./write-response.js";

export type { RequestHandler } from "./request-handler.js";

const BODY_LIMIT_BYTES = 64 * 1024;
const KEEP_ALIVE_TIMEOUT_MS = 75_000;

/** Creates the HTTP server for users, operators, probes and agents. The caller starts and closes it. */
export function createServer(handler: RequestHandler, sockets: SocketAllocation): http.Server {
  const app = createApp(handler);
  const heartbeats = new HeartbeatEndpoint(handler, new AgentConnections(sockets), BODY_LIMIT_BYTES);
  const server = http.createServer({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS }, (req, res) => {
    if (isHeartbeatRequest(req)) heartbeats.serve(req, res);
    else app(req, res);
  });
  server.maxConnections = sockets.inbound;
  return server;
}

function createApp(handler: RequestHandler): Express {
  const app = express();
  app.disable("x-powered-by");
  app.disable("etag");
  app.set("query parser", "simple");
  addUserRoutes(app, handler, BODY_LIMIT_BYTES);
  addAdminRoutes(app, handler, BODY_LIMIT_BYTES);
  app.use((_req, res) => writeResponse(res, noSuchPath));
  // Express recognizes an error handler by its four parameters.
  app.use((error: unknown, _req: Request, res: Response, _next: NextFunction) => {
    writeResponse(res, encodeFailure(error));
  });
  return app;
}
