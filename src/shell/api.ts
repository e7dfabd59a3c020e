import http from "node:http";
import express, { type Express, type NextFunction, type Request, type Response } from "express";
import { encodeFailure, noSuchPath } from "../protocol/responses.js";
import { addAdminRoutes } from "./admin-routes.js";
import { AgentConnections } from "./agent-connections.js";
import { HeartbeatEndpoint, isHeartbeatRequest } from "./heartbeat-endpoint.js";
import type { RequestHandler } from "./request-handler.js";
import type { SocketShares } from "./sockets.js";
import { addUserRoutes } from "./user-routes.js";
import { writeResponse } from "./write-response.js";

export type { RequestHandler } from "./request-handler.js";

const BODY_LIMIT_BYTES = 64 * 1024;
const KEEP_ALIVE_TIMEOUT_MS = 75_000;

/** The HTTP server of a node, for users, operators, probes and agents. The caller lets it listen, and closes it. */
export function createServer(handler: RequestHandler, shares: SocketShares): http.Server {
  const app = createApp(handler);
  const heartbeats = new HeartbeatEndpoint(handler, new AgentConnections(shares), BODY_LIMIT_BYTES);
  const server = http.createServer({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS }, (req, res) => {
    if (isHeartbeatRequest(req)) heartbeats.serve(req, res);
    else app(req, res);
  });
  server.maxConnections = shares.inbound;
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
  // Express tells a handler of errors by its four parameters.
  app.use((error: unknown, _req: Request, res: Response, _next: NextFunction) => {
    writeResponse(res, encodeFailure(error));
  });
  return app;
}
