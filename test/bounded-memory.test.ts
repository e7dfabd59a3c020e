/** A controller uses only a bounded amount of memory for peers and clients that do not read or that send too much. */

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
import { PeerConnections } from "../src/shell/peer-connections.js";
import { allocateSockets } from "../src/shell/sockets.js";
import { SETTINGS } from "./support/settings.js";

const LOOPBACK = "127.0.0.1";
const MB = 1024 * 1024;
/** Messages of 13 KB each; in total far more than may be buffered for a peer. */
const MAX_SENT_MESSAGES = 4000;

async function listen(server: net.Server): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  return (server.address() as AddressInfo).port;
}

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Runs a garbage collection and returns the bytes in use on the heap and in array buffers. */
function bytesInUse(): number {
  collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Sends messages to a peer that accepts the connection but never reads, until it is disconnected. */
async function sendToStalledPeer(): Promise<{ peakBytes: number; sent: number; disconnects: number }> {
  const stalled = net.createServer((socket) => socket.pause());
  const address = { host: LOOPBACK, port: await listen(stalled) };
  const base = parseSettings(SETTINGS);
  const linkStates: boolean[] = [];
  const peers = new PeerConnections(
    {
      ...base,
      maxConnections: 256,
      peerListen: { host: LOOPBACK, port: 0 },
      peers: [{ node: "n1", at: address }],
    },
    { onLinkChanged: (_node, up) => linkStates.push(up), onMessageReceived: () => {} },
  );
  peers.listen((error) => {
    throw error;
  });
  const bytesBefore = bytesInUse();
  let peakBytes = 0;
  let sent = 0;
  while (!linkStates.includes(false)) {
    const body = { pieces: Array.from({ length: 1024 }, () => "0123456789ab") };
    const message: PeerMessage = { kind: "forwardedHeartbeats", heartbeats: [{ id: 1, body }] };
    peers.send("n1", message);
    if (linkStates.includes(true)) sent++;
    if (sent % 100 === 1) peakBytes = Math.max(peakBytes, bytesInUse() - bytesBefore);
    if (sent > MAX_SENT_MESSAGES) break;
    await new Promise((resolve) => setImmediate(resolve));
  }
  return { peakBytes, sent, disconnects: linkStates.filter((up) => !up).length };
}

class CountingRequestHandler implements RequestHandler {
  readonly ready = true;
  readonly overloaded = false;
  handledRequests = 0;
  submit(): void {
    this.handledRequests++;
  }
  poll(): void {}
  cancel(): void {}
  administer(): void {}
  receiveHeartbeat(body: unknown): boolean {
    if (body !== undefined) this.handledRequests++;
    return false;
  }
  metrics(): Promise<{ type: string; text: string }> {
    return Promise.resolve({ type: "text/plain", text: "" });
  }
}

/**
 * Sends a chunked body of the given size, without a content length. Resolves to the status line of the response, or to
 * "closed" if the connection is closed first.
 */
function streamBody(port: number, path: string, bytes: number, onPiece: () => void): Promise<string> {
  const piece = Buffer.alloc(64 * 1024, "x");
  return new Promise((resolve) => {
    const socket = net.connect(port, LOOPBACK);
    socket.on("error", () => resolve("closed"));
    socket.on("close", () => resolve("closed"));
    socket.on("data", (data) => {
      resolve(data.toString("utf8").split("\r\n")[0] ?? "");
      socket.destroy();
    });
    socket.write(`POST ${path} HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n`);
    let bytesLeft = bytes;
    const sendNextPiece = () => {
      onPiece();
      if (socket.destroyed) return;
      if (bytesLeft <= 0) {
        socket.write("0\r\n\r\n");
        return;
      }
      bytesLeft -= piece.length;
      socket.write(`${piece.length.toString(16)}\r\n`);
      socket.write(piece);
      if (socket.write("\r\n")) setImmediate(sendNextPiece);
      else socket.once("drain", sendNextPiece);
    };
    sendNextPiece();
  });
}

if (isMainThread) {
  // Guards against a controller running out of memory because it forwards heartbeats to a stalled peer.
  test("messages to a peer that does not read from its socket use a bounded amount of memory before the link is closed", async () => {
    const worker = new Worker(fileURLToPath(import.meta.url));
    try {
      const result = await new Promise<Awaited<ReturnType<typeof sendToStalledPeer>>>((resolve, reject) => {
        worker.once("message", resolve);
        worker.once("error", reject);
      });
      assert.equal(result.disconnects, 1, `the link is closed once: ${JSON.stringify(result)}`);
      // The process buffers 2 KiB for each of 256 connections and the message being encoded. The kernel holds the rest.
      assert.ok(result.peakBytes < 8 * MB, JSON.stringify(result));
    } finally {
      await worker.terminate();
    }
  });

  test("an oversized chunked body of a submission or a heartbeat is rejected without being buffered in full", async () => {
    const handler = new CountingRequestHandler();
    const server = createServer(handler, allocateSockets(100));
    const port = await listen(server);
    try {
      for (const path of ["/api/jobs", "/agent/beat"]) {
        const bytesBefore = bytesInUse();
        let peakBytes = 0;
        let pieces = 0;
        const status = await streamBody(port, path, 64 * MB, () => {
          if (pieces++ % 64 === 0) peakBytes = Math.max(peakBytes, bytesInUse() - bytesBefore);
        });

        assert.match(status, /^HTTP\/1\.1 400|^closed/, path);
        assert.ok(peakBytes < 8 * MB, `${path}: ${Math.round(peakBytes / MB)} MB in use`);
      }
      assert.equal(handler.handledRequests, 0);
    } finally {
      server.close();
      server.closeAllConnections();
    }
  });

  test("a body that arrives byte by byte is read completely, and an incomplete request occupies only its own connection", async () => {
    const handler = new CountingRequestHandler();
    const server = createServer(handler, allocateSockets(100));
    const port = await listen(server);
    try {
      const incompleteRequest = net.connect(port, LOOPBACK);
      incompleteRequest.write("POST /agent/beat HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{");
      const text = '{"host":"i-1"}';
      const status = await new Promise<string>((resolve) => {
        const socket = net.connect(port, LOOPBACK);
        socket.on("data", (data) => resolve(data.toString("utf8").split("\r\n")[0] ?? ""));
        const completeRequest = `POST /agent/beat HTTP/1.1\r\nhost: x\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
        const send = (i: number) => {
          if (i === completeRequest.length) return;
          socket.write(completeRequest.charAt(i));
          setImmediate(() => send(i + 1));
        };
        send(0);
      });

      // The request handler accepts no body as a heartbeat.
      assert.equal(status, "HTTP/1.1 400 Bad Request");
      assert.equal(
        handler.handledRequests,
        1,
        "the body is parsed as JSON and handed to the request handler",
      );

      incompleteRequest.destroy();
    } finally {
      server.close();
      server.closeAllConnections();
    }
  });
} else {
  parentPort?.postMessage(await sendToStalledPeer());
}
