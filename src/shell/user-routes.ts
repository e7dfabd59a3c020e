import express, { type Express, type NextFunction, type Request, type Response } from "express";
import type { UserResponse } from "../core/messages/users.js";
import { decodeJobSubmission, isUid } from "../protocol/jobs.js";
import { encodeUserResponse } from "../protocol/responses.js";
import type { RequestHandler } from "./request-handler.js";
import { writeResponse } from "./write-response.js";

const OVERLOADED: UserResponse = { kind: "unavailable", error: "overloaded", retryAfterS: 2 };

/** Adds the routes for submitting, polling and cancelling jobs. Bodies over `bodyLimit` bytes are rejected. */
export function addUserRoutes(app: Express, handler: RequestHandler, bodyLimit: number): void {
  const shed = shedWhenOverloaded(handler);
  const jsonBody = express.json({ limit: bodyLimit, type: () => true, strict: false });

  app.post("/api/jobs", shed, jsonBody, (req, res) => {
    const { uid, submitted } = decodeJobSubmission(req.body);
    if (uid === null) {
      writeUserResponse(res, { kind: "invalid", error: submitted.ok ? "uid: missing" : submitted.error });
    } else handler.submit(uid, submitted, (response) => writeUserResponse(res, response));
  });
  app.get("/api/jobs/:id", shed, (req, res) => {
    const uid = req.params.id;
    if (!isUid(uid)) writeUserResponse(res, { kind: "notFound" });
    else handler.poll(uid, (response) => writeUserResponse(res, response));
  });
  app.post("/api/jobs/:id/cancel", shed, (req, res) => {
    const uid = req.params.id;
    if (!isUid(uid)) writeUserResponse(res, { kind: "notFound" });
    else handler.cancel(uid, (response) => writeUserResponse(res, response));
  });
}

/** Rejects requests under overload, before reading their bodies. */
function shedWhenOverloaded(handler: RequestHandler) {
  return (_req: Request<{ id: string }>, res: Response, next: NextFunction) => {
    if (handler.overloaded) writeUserResponse(res, OVERLOADED);
    else next();
  };
}

function writeUserResponse(res: Response, response: UserResponse): void {
  writeResponse(res, encodeUserResponse(response));
}
