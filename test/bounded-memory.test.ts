/** Peers and clients that don't read, or send too much, cost a bounded amount of memory. */

import assert from "node:assert/strict";
import net, { type AddressInfo } from "node:net";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { isMainThread, parentPort, Worker } from "node:worker_threads";
import { parseSettings } from "../src/config/settings.js";
import type { PeerMessage } from "../src/core/messages/peers.js";
import { createServer, type RequestHandler } from "../src/shell/api.js";
import { Peers } from "../src/shell/peers.js";
import { allocateSockets } from "../src/shell/sockets.js";
import { SETTINGS } from "./support/settings.js";

const LOOPBACK = "127.0.0.1";
const MB = 1024 * 1024;
/** Messages of 13 KB each: far more than may be buffered for a peer. */
const MAX_SENT_MESSAGES = 4000;

async function listen(server: net.Server): Promise<number> {
  await new Promise<void>((listening) => server.listen(0, LOOPBACK, listening));
  return (server.address() as AddressInfo).port;
}

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Bytes in use after a garbage collection, on the heap and in array buffers. */
function bytesInUse(): number {
  collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Sends far more than may be buffered to a peer that accepts the link and never reads. `kept` is the peak in bytes. */
async function offerToStalledPeer(): Promise<{ kept: number; sent: number; lost: number }> {
  const stalled = net.createServer((socket) => socket.pause());
  const address = { host: LOOPBACK, port: await listen(stalled) };
  const base = parseSettings(SETTINGS);
  const links: boolean[] = [];
  const peers = new Peers(
    {
      ...base,
      maxConnections: 256,
      peerListen: { host: LOOPBACK, port: 0 },
      peers: [{ node: "n1", at: address }],
    },
    { linkChanged: (_node, up) => links.push(up), messageReceived: () => {} },
  );
  peers.listen((error) => {
    throw error;
  });
  const bytesBefore = bytesInUse();
  let kept = 0;
  let sent = 0;
  while (!links.includes(false)) {
    const body = { pieces: Array.from({ length: 1024 }, () => "0123456789ab") };
    const message: PeerMessage = { kind: "forwardedHeartbeats", heartbeats: [{ id: 1, body }] };
    peers.send("n1", message);
    if (links.includes(true)) sent++;
    if (sent % 100 === 1) kept = Math.max(kept, bytesInUse() - bytesBefore);
    if (sent > MAX_SENT_MESSAGES) break;
    await new Promise((next) => setImmediate(next));
  }
  return { kept, sent, lost: links.filter((up) => !up).length };
}

class CountingRequestHandler implements RequestHandler {
  readonly ready = true;
  readonly overloaded = false;
  taken = 0;
  submit(): void {
    this.taken++;
  }
  poll(): void {}
  cancel(): void {}
  administer(): void {}
  receiveHeartbeat(body: unknown): boolean {
    if (body !== undefined) this.taken++;
    return false;
  }
  metrics(): Promise<{ type: string; text: string }> {
    return Promise.resolve({ type: "text/plain", text: "" });
  }
}

/** Sends a chunked body of so many bytes, without a content length; resolves to the status line of the response. */
function streamBody(port: number, path: string, bytes: number, onPiece: () => void): Promise<string> {
  const piece = Buffer.alloc(64 * 1024, "x");
  return new Promise((then) => {
    const socket = net.connect(port, LOOPBACK);
    socket.on("error", () => then("closed"));
    socket.on("close", () => then("closed"));
    socket.on("data", (data) => {
      then(data.toString("utf8").split("\r\n")[0] ?? "");
      socket.destroy();
    });
    socket.write(`POST ${path} HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n`);
    let bytesLeft = bytes;
    const next = () => {
      onPiece();
      if (socket.destroyed) return;
      if (bytesLeft <= 0) {
        socket.write("0\r\n\r\n");
        return;
      }
      bytesLeft -= piece.length;
      socket.write(`${piece.length.toString(16)}\r\n`);
      socket.write(piece);
      if (socket.write("\r\n")) setImmediate(next);
      else socket.once("drain", next);
    };
    next();
  });
}

if (isMainThread) {
  // Guarded against: a stalled peer, to which heartbeats are forwarded, makes a controller run out of memory.
  test("a peer that does not read its socket costs a bounded amount of memory and then loses its link", async () => {
    const worker = new Worker(fileURLToPath(import.meta.url));
    try {
      const result = await new Promise<Awaited<ReturnType<typeof offerToStalledPeer>>>((then, fail) => {
        worker.once("message", then);
        worker.once("error", fail);
      });
      assert.equal(result.lost, 1, `the link is closed: ${JSON.stringify(result)}`);
      // 2 KiB for each of its 256 connections, and the message being encoded; the rest is in the kernel's buffers.
      assert.ok(result.kept < 8 * MB, JSON.stringify(result));
    } finally {
      await worker.terminate();
    }
  });

  test("an oversized chunked body is refused without being buffered, on every path", async () => {
    const handler = new CountingRequestHandler();
    const server = createServer(handler, allocateSockets(100));
    const port = await listen(server);
    try {
      for (const path of ["/api/jobs", "/agent/beat"]) {
        const bytesBefore = bytesInUse();
        let kept = 0;
        let pieces = 0;
        const status = await streamBody(port, path, 64 * MB, () => {
          if (pieces++ % 64 === 0) kept = Math.max(kept, bytesInUse() - bytesBefore);
        });

        assert.match(status, /^HTTP\/1\.1 400|^closed/, path);
        assert.ok(kept < 8 * MB, `${path}: ${Math.round(kept / MB)} MB were buffered`);
      }
      assert.equal(handler.taken, 0);
    } finally {
      server.close();
      server.closeAllConnections();
    }
  });

  test("a body that arrives byte by byte is read whole, and an incomplete request costs only its own connection", async () => {
    const handler = new CountingRequestHandler();
    const server = createServer(handler, allocateSockets(100));
    const port = await listen(server);
    try {
      const halfRequest = net.connect(port, LOOPBACK);
      halfRequest.write("POST /agent/beat HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{");
      const text = '{"host":"i-1"}';
      const status = await new Promise<string>((then) => {
        const socket = net.connect(port, LOOPBACK);
        socket.on("data", (data) => then(data.toString("utf8").split("\r\n")[0] ?? ""));
        const wholeRequest = `POST /agent/beat HTTP/1.1\r\nhost: x\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
        const send = (i: number) => {
          if (i === wholeRequest.length) return;
          socket.write(wholeRequest.charAt(i));
          setImmediate(() => send(i + 1));
        };
        send(0);
      });

      assert.equal(status, "HTTP/1.1 400 Bad Request");
      assert.equal(handler.taken, 1, "it was read as JSON");

      halfRequest.destroy();
    } finally {
      server.close();
      server.closeAllConnections();
    }
  });
} else {
  parentPort?.postMessage(await offerToStalledPeer());
}
