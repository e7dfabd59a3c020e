import http from "node:http";
import express, { type NextFunction, type Request, type Response } from "express";
import type { AdminRequest, AdminResponse } from "../core/messages/administration.js";
import type { UserResponse } from "../core/messages/users.js";
import type { JobSpec } from "../core/model/job-spec.js";
import { decodeJobSubmission, encodeJobStatus, isUid } from "../protocol/jobs.js";
import { parseJson } from "./http-client.js";
import type { SocketShares } from "./sockets.js";
import { AgentConnections } from "./worker-sockets.js";

const BODY_LIMIT = 64 * 1024;
const REPORT_PATH = "/agent/beat";

/** What the HTTP side asks of the loop. Each request is answered exactly once, through its callback. */
export interface RequestHandler {
  readonly ready: boolean;
  /** True when this node is so far behind that it must turn requests away. */
  readonly overloaded: boolean;
  submit(uid: string, spec: JobSpec | string, then: (answer: UserResponse) => void): void;
  poll(uid: string, then: (answer: UserResponse) => void): void;
  cancel(uid: string, then: (answer: UserResponse) => void): void;
  admin(ask: AdminRequest, then: (answer: AdminResponse) => void): void;
  /** False if the body is no report. */
  report(body: unknown, then: (status: number, body: unknown) => void): boolean;
  metrics(): Promise<{ type: string; text: string }>;
}

export function createServer(handler: RequestHandler, shares: SocketShares): http.Server {
  const app = express();
  app.disable("x-powered-by");
  app.disable("etag");
  app.set("query parser", "simple");

  app.get("/ready", (_req, res) => {
    if (handler.ready) json(res, 200, { ready: true });
    else json(res, 503, { ready: false });
  });

  const body = express.json({ limit: BODY_LIMIT, type: () => true, strict: false });

  app.post("/api/jobs", shed(handler), body, (req, res) => {
    const { uid, spec } = decodeJobSubmission(req.body);
    if (uid === null) json(res, 400, { error: typeof spec === "string" ? spec : "uid: missing" });
    else handler.submit(uid, spec, (answer) => reply(res, answer));
  });
  app.get("/api/jobs/:id", shed(handler), (req, res) => {
    const uid = req.params.id;
    if (typeof uid !== "string" || !isUid(uid)) json(res, 404, { error: "no such job" });
    else handler.poll(uid, (answer) => reply(res, answer));
  });
  app.post("/api/jobs/:id/cancel", shed(handler), (req, res) => {
    const uid = req.params.id;
    if (typeof uid !== "string" || !isUid(uid)) json(res, 404, { error: "no such job" });
    else handler.cancel(uid, (answer) => reply(res, answer));
  });

  app.get("/admin/status", (_req, res) => {
    handler.admin({ kind: "getStatus" }, (answer) => replyAdmin(res, answer));
  });
  app.get("/admin/settings", (_req, res) => {
    handler.admin({ kind: "getSettings" }, (answer) => replyAdmin(res, answer));
  });
  app.patch("/admin/settings", body, (req, res) => {
    const values: unknown = req.body;
    if (typeof values !== "object" || values === null || Array.isArray(values)) {
      json(res, 400, { error: "the body must be a JSON object of settings" });
    } else {
      handler.admin({ kind: "changeSettings", values: { ...values } }, (answer) => replyAdmin(res, answer));
    }
  });
  app.put("/admin/machines/:name", body, (req, res) => {
    const name = req.params.name;
    const mode = (req.body as { mode?: unknown } | undefined)?.mode;
    if (typeof name !== "string" || (mode !== "open" && mode !== "cordon" && mode !== "drain")) {
      json(res, 400, { error: "mode: must be open, cordon or drain" });
    } else {
      handler.admin({ kind: "setMachineMode", name, mode }, (answer) => replyAdmin(res, answer));
    }
  });
  app.get("/metrics", async (_req, res) => {
    const { type, text } = await handler.metrics();
    res.status(200).set("content-type", type).send(text);
  });

  app.use((_req, res) => json(res, 404, { error: "no such path" }));
  app.use((error: unknown, _req: Request, res: Response, _next: NextFunction) => {
    const status = (error as { status?: unknown }).status;
    // Whatever is wrong with a request, 400 is what keeps its sender from repeating it for a minute.
    const code = typeof status === "number" && status >= 400 && status < 500 ? 400 : 500;
    json(res, code, { error: code === 500 ? "internal error" : "malformed request" });
  });

  const workers = new AgentConnections(shares);
  const server = http.createServer({ keepAliveTimeout: 75_000 }, (req, res) => {
    if (req.method !== "POST" || req.url !== REPORT_PATH) {
      app(req, res);
      return;
    }
    const admission = workers.admit(req.socket);
    if (admission !== "keep") res.setHeader("connection", "close");
    if (admission === "refuse") json(res, 421, {});
    else takeReport(handler, req, res);
  });
  server.maxConnections = shares.inbound;
  return server;
}

/**
 * Reports are nine requests in ten: express and its body parser took a sixth of a leader's processor time for them
 * (docs/RESULTS.md), so they are read here.
 */
function takeReport(handler: RequestHandler, req: http.IncomingMessage, res: http.ServerResponse): void {
  const chunks: Buffer[] = [];
  let size = 0;
  req.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size <= BODY_LIMIT) chunks.push(chunk);
  });
  req.on("end", () => {
    const report = size <= BODY_LIMIT ? parseJson(Buffer.concat(chunks).toString("utf8")) : undefined;
    if (!handler.report(report, (status, answer) => json(res, status, answer))) {
      json(res, 400, { error: "not a report" });
    }
  });
}

/** Turned away before the body is read: what can't be taken is answered at once. */
function shed(handler: RequestHandler) {
  return (_req: Request, res: Response, next: NextFunction) => {
    if (handler.overloaded) retryLater(res, "overloaded", 2);
    else next();
  };
}

function json(res: http.ServerResponse, status: number, body: unknown): void {
  if (res.headersSent || res.destroyed) return;
  const text = JSON.stringify(body ?? {});
  res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
  res.end(text);
}

function retryLater(res: Response, error: string, afterS: number, status: 429 | 503 = 503): void {
  if (res.headersSent || res.destroyed) return;
  res.setHeader("retry-after", String(Math.ceil(afterS)));
  json(res, status, { error });
}

function reply(res: Response, answer: UserResponse): void {
  switch (answer.kind) {
    case "accepted":
      json(res, answer.known ? 200 : 201, encodeJobStatus(answer.status));
      break;
    case "status":
      json(res, 200, encodeJobStatus(answer.status));
      break;
    case "notFound":
      json(res, 404, { error: "no such job" });
      break;
    case "unsatisfiable":
      json(res, 422, { error: answer.error });
      break;
    case "invalid":
      json(res, 400, { error: answer.error });
      break;
    case "unavailable":
      retryLater(res, answer.error, answer.retryAfterS);
      break;
    case "throttled":
      retryLater(res, answer.error, answer.retryAfterS, 429);
      break;
  }
}

function replyAdmin(res: Response, answer: AdminResponse): void {
  switch (answer.kind) {
    case "ok":
      json(res, 200, answer.body);
      break;
    case "invalid":
      json(res, 400, { error: answer.error });
      break;
    case "unavailable":
      retryLater(res, answer.error, 1);
      break;
  }
}
