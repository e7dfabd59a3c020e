import express, { type Express, type Response } from "express";
import type { AdminRequest, AdminResponse } from "../core/messages/administration.js";
import { decodeMachineMode, decodeSettingsChange } from "../protocol/administration.js";
import { encodeAdminResponse, encodeReadiness } from "../protocol/responses.js";
import type { RequestHandler } from "./request-handler.js";
import { writeResponse } from "./write-response.js";

/** Adds the routes for operators, readiness probes and metrics scrapes. Bodies over `bodyLimit` bytes are rejected. */
export function addAdminRoutes(app: Express, handler: RequestHandler, bodyLimit: number): void {
  const jsonBody = express.json({ limit: bodyLimit, type: () => true, strict: false });
  const administer = (res: Response, request: AdminRequest) => {
    handler.administer(request, (response) => writeAdminResponse(res, response));
  };

  app.get("/ready", (_req, res) => writeResponse(res, encodeReadiness(handler.ready)));
  app.get("/admin/status", (_req, res) => administer(res, { kind: "getStatus" }));
  app.get("/admin/settings", (_req, res) => administer(res, { kind: "getSettings" }));
  app.patch("/admin/settings", jsonBody, (req, res) => {
    const change = decodeSettingsChange(req.body);
    if (change.ok) administer(res, { kind: "changeSettings", values: change.values });
    else writeAdminResponse(res, { kind: "invalid", error: change.error });
  });
  app.put("/admin/machines/:name", jsonBody, (req, res) => {
    const change = decodeMachineMode(req.body);
    if (change.ok) administer(res, { kind: "setMachineMode", name: req.params.name, mode: change.mode });
    else writeAdminResponse(res, { kind: "invalid", error: change.error });
  });
  app.get("/metrics", async (_req, res) => {
    const { type, text } = await handler.metrics();
    res.status(200).set("content-type", type).send(text);
  });
}

function writeAdminResponse(res: Response, response: AdminResponse): void {
  writeResponse(res, encodeAdminResponse(response));
}
