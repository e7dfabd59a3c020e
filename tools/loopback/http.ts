import http from "node:http";

/** The JSON body of a message; an empty object where there is none. */
export async function readBody(message: http.IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString("utf8");
  return text === "" ? {} : JSON.parse(text);
}

/** Answers with a JSON body, unless the connection is closed or the request was answered before. */
export function reply(res: http.ServerResponse, status: number, body: unknown): void {
  if (res.destroyed || res.headersSent) return;
  const text = JSON.stringify(body);
  res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
  res.end(text);
}

/** A server with an asynchronous handler. A request whose handler fails, as when its client was killed, is cut off. */
export function createAsyncServer(
  serve: (req: http.IncomingMessage, res: http.ServerResponse) => Promise<void>,
): http.Server {
  return http.createServer((req, res) => {
    serve(req, res).catch((error: unknown) => {
      if (!res.destroyed) console.error(`fault in serving ${req.url}:`, error);
      res.destroy();
    });
  });
}
