// Helpers that all stand-ins share: the record, time, HTTP and token buckets.
import { createWriteStream } from "node:fs";
import http from "node:http";

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Milliseconds since the test began. */
export const nowMs = () => performance.now();

/** Writes one line per event to record.txt, with the seconds since the test began. */
export class Record {
  #out;

  constructor(path) {
    this.#out = createWriteStream(path);
  }

  line(text) {
    this.#out.write(`${(nowMs() / 1000).toFixed(3).padStart(8)} ${text}\n`);
  }

  /** Writes a line to the record and to standard output. */
  say(text) {
    console.log(text);
    this.line(text);
  }

  close() {
    return new Promise((resolve) => this.#out.end(resolve));
  }
}

/** Reads the whole body of a message as text. */
export async function readText(message) {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  return Buffer.concat(chunks).toString("utf8");
}

export async function readJson(message) {
  const text = await readText(message);
  return text === "" ? {} : JSON.parse(text);
}

export function reply(res, status, body) {
  if (res.destroyed || res.headersSent) return;
  const text = JSON.stringify(body);
  res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
  res.end(text);
}

/** Starts an HTTP server on a free port of a loopback address. Resolves with the server and its port. */
export function listen(host, serve) {
  const server = http.createServer({ keepAliveTimeout: 120_000 }, (req, res) => {
    Promise.resolve(serve(req, res)).catch(() => res.destroy());
  });
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, host, () => resolve({ server, port: server.address().port }));
  });
}

/** A bucket that holds `burstS` seconds' worth of tokens. */
export class Bucket {
  #rate;
  #size;
  #tokens;
  #at = nowMs();

  constructor(rate, burstS = 1) {
    this.#rate = rate;
    this.#size = rate * burstS;
    this.#tokens = this.#size;
  }

  take(count = 1) {
    const now = nowMs();
    this.#tokens = Math.min(this.#size, this.#tokens + ((now - this.#at) * this.#rate) / 1000);
    this.#at = now;
    if (this.#tokens < count) return false;
    this.#tokens -= count;
    return true;
  }
}

/** Sends one request. Resolves with `{status, body, text}`, or with null without an answer in time. */
export function call(host, port, method, path, body, timeoutMs, agent) {
  return new Promise((resolve) => {
    const payload = body === undefined ? undefined : typeof body === "string" ? body : JSON.stringify(body);
    const headers =
      payload === undefined
        ? {}
        : { "content-type": "application/json", "content-length": Buffer.byteLength(payload) };
    const req = http.request({ host, port, method, path, headers, agent }, (res) => {
      readText(res).then(
        (text) => {
          clearTimeout(timer);
          let parsed;
          try {
            parsed = JSON.parse(text);
          } catch {
            parsed = undefined;
          }
          resolve({ status: res.statusCode, body: parsed, retryAfterS: Number(res.headers["retry-after"] ?? 0) });
        },
        () => resolve(null),
      );
    });
    const timer = setTimeout(() => {
      req.destroy();
      resolve(null);
    }, timeoutMs);
    req.on("error", () => {
      clearTimeout(timer);
      resolve(null);
    });
    req.end(payload);
  });
}
