import assert from "node:assert/strict";
import { once } from "node:events";
import net, { type AddressInfo } from "node:net";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { isMainThread, parentPort, Worker } from "node:worker_threads";
import { parseSettings, type Settings } from "../src/config/settings.js";
import type { PeerMessage } from "../src/core/messages/peers.js";
import { Peers } from "../src/shell/peers.js";
import { SETTINGS } from "./support/settings.js";

const LOOPBACK = "127.0.0.1";

/** A port that was free a moment ago. */
async function freePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((listening) => server.listen(0, LOOPBACK, listening));
  const { port } = server.address() as AddressInfo;
  await new Promise((closed) => server.close(closed));
  return port;
}

function settings(node: string, listen: number, peer: string, at: number): Settings {
  const base = parseSettings(SETTINGS);
  return {
    ...base,
    peerListen: { host: LOOPBACK, port: listen },
    peers: [{ node: peer, at: { host: LOOPBACK, port: at } }],
    deployment: { ...base.deployment, node, peers: [peer] },
  };
}

const LIST = [1, 2, 3].map((id) => ({ id, body: { host: `i-${id}` } }));
const REPORTS: PeerMessage = { kind: "forwardedHeartbeats", heartbeats: LIST };
const ANSWERS: PeerMessage = {
  kind: "forwardedReplies",
  replies: [{ id: 2, status: 200, body: { baton: 5 } }],
};

/** Two nodes, in a thread of their own, as links are kept up for as long as a node runs. */
async function talk(): Promise<[string, PeerMessage][]> {
  const [a, b] = [await freePort(), await freePort()];
  const heard: [string, PeerMessage][] = [];
  let up = 0;
  let changed = () => {};
  const node = (name: string, listen: number, peer: string, at: number) => {
    const peers = new Peers(settings(name, listen, peer, at), {
      link: (_to, isUp) => {
        if (isUp) up++;
        changed();
      },
      message: (from, message) => {
        heard.push([from, message]);
        changed();
      },
    });
    peers.listen((error) => {
      throw error;
    });
    return peers;
  };
  const until = (done: () => boolean) =>
    new Promise<void>((then) => {
      changed = () => {
        if (done()) then();
      };
      changed();
    });
  const first = node("n0", a, "n1", b);
  const second = node("n1", b, "n0", a);
  await until(() => up === 2);
  first.send("n1", REPORTS);
  await until(() => heard.length === 1);
  second.send("n0", ANSWERS);
  await until(() => heard.length === 2);
  return heard;
}

if (isMainThread) {
  test("nodes pass reports on, and answers back, many in one message", async () => {
    const nodes = new Worker(fileURLToPath(import.meta.url));
    try {
      const [heard] = await once(nodes, "message");
      assert.deepEqual(heard, [
        ["n0", REPORTS],
        ["n1", ANSWERS],
      ]);
    } finally {
      await nodes.terminate();
    }
  });
} else {
  parentPort?.postMessage(await talk());
}
