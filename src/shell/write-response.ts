import type http from "node:http";
import type { HttpResponse } from "../protocol/http.js";

/** Sends a JSON response, unless the request was already answered or its connection is closed. */
export function writeJson(res: http.ServerResponse, status: number, body: unknown): void {
  if (res.headersSent || res.destroyed) return;
  const text = JSON.stringify(body ?? {});
  res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
  res.end(text);
}

/** Sends an encoded response. */
export function writeResponse(res: http.ServerResponse, response: HttpResponse): void {
  if (res.headersSent || res.destroyed) return;
  if (response.retryAfterS !== null) res.setHeader("retry-after", String(response.retryAfterS));
  writeJson(res, response.status, response.body);
}
