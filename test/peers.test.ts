/** Peer connections between nodes, over real sockets. */

import assert from "node:assert/strict";
import { once } from "node:events";
import net, { type AddressInfo } from "node:net";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { isMainThread, parentPort, Worker } from "node:worker_threads";
import { parseSettings, type Settings } from "../src/config/settings.js";
import type { PeerMessage } from "../src/core/messages/peers.js";
import { PeerConnections } from "../src/shell/peer-connections.js";
import { SETTINGS } from "./support/settings.js";

const LOOPBACK = "127.0.0.1";

/** Returns a port that was free when checked. */
async function freePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

function settingsOf(node: string, listen: number, peer: string, peerPort: number): Settings {
  const base = parseSettings(SETTINGS);
  return {
    ...base,
    peerListen: { host: LOOPBACK, port: listen },
    peers: [{ node: peer, at: { host: LOOPBACK, port: peerPort } }],
    deployment: { ...base.deployment, node, peers: [peer] },
  };
}

const FORWARDED = [1, 2, 3].map((id) => ({ id, body: { host: `i-${id}` } }));
const HEARTBEATS: PeerMessage = { kind: "forwardedHeartbeats", heartbeats: FORWARDED };
const REPLIES: PeerMessage = {
  kind: "forwardedReplies",
  replies: [{ id: 2, status: 200, body: { baton: 5 } }],
};

/** Connects two nodes and returns the messages that both received. Runs in a worker, as a node never closes a link. */
async function exchangeMessages(): Promise<[string, PeerMessage][]> {
  const [portA, portB] = [await freePort(), await freePort()];
  const received: [string, PeerMessage][] = [];
  let linksUp = 0;
  let onChange = () => {};
  const node = (name: string, listen: number, peer: string, peerPort: number) => {
    const peers = new PeerConnections(settingsOf(name, listen, peer, peerPort), {
      onLinkChanged: (_to, isUp) => {
        if (isUp) linksUp++;
        onChange();
      },
      onMessageReceived: (from, message) => {
        received.push([from, message]);
        onChange();
      },
    });
    peers.listen((error) => {
      throw error;
    });
    return peers;
  };
  const waitUntil = (isDone: () => boolean) =>
    new Promise<void>((resolve) => {
      onChange = () => {
        if (isDone()) resolve();
      };
      onChange();
    });
  const nodeA = node("n0", portA, "n1", portB);
  const nodeB = node("n1", portB, "n0", portA);
  await waitUntil(() => linksUp === 2);
  nodeA.send("n1", HEARTBEATS);
  await waitUntil(() => received.length === 1);
  nodeB.send("n0", REPLIES);
  await waitUntil(() => received.length === 2);
  return received;
}

if (isMainThread) {
  test("several heartbeats forwarded in one peer message arrive intact at the other node, and so does a reply to one of them", async () => {
    const worker = new Worker(fileURLToPath(import.meta.url));
    try {
      const [received] = await once(worker, "message");
      assert.deepEqual(received, [
        ["n0", HEARTBEATS],
        ["n1", REPLIES],
      ]);
    } finally {
      await worker.terminate();
    }
  });
} else {
  parentPort?.postMessage(await exchangeMessages());
}
