import http from "node:http";

/** Returns the parsed JSON body of a message; an empty object if the body is empty. */
export async function readBody(message: http.IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString("utf8");
  return text === "" ? {} : JSON.parse(text);
}

/** Responds with a JSON body, unless the connection is closed or a response has been sent before. */
export function reply(res: http.ServerResponse, status: number, body: unknown): void {
  if (res.destroyed || res.headersSent) return;
  const text = JSON.stringify(body);
  res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
  res.end(text);
}

/**
 * Creates a server with an asynchronous handler. If the handler fails, for instance because the client was killed, the
 * connection is closed without a response.
 */
export function createAsyncServer(
  serve: (req: http.IncomingMessage, res: http.ServerResponse) => Promise<void>,
): http.Server {
  return http.createServer((req, res) => {
    serve(req, res).catch((error: unknown) => {
      if (!res.destroyed) console.error(`handling of ${req.url} failed:`, error);
      res.destroy();
    });
  });
}
