/** How a node's connections are shared out between agents, users, probes and calls of its own. */

import assert from "node:assert/strict";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { createServer, type RequestHandler } from "../src/shell/api.js";
import { HttpClient, type HttpResult } from "../src/shell/http-client.js";
import { allocateSockets } from "../src/shell/sockets.js";

const LOOPBACK = "127.0.0.1";

async function listen(server: http.Server): Promise<number> {
  await new Promise<void>((listening) => server.listen(0, LOOPBACK, listening));
  return (server.address() as AddressInfo).port;
}

function stop(server: http.Server): void {
  server.close();
  server.closeAllConnections();
}

function call(client: HttpClient, port: number, path = "/"): Promise<HttpResult | null> {
  return new Promise((then) =>
    client.call({ host: LOOPBACK, port }, { method: "POST", path, body: {} }, 2000, then),
  );
}

test("the socket shares of a node stay within its limit, and leave enough for the agents of a whole fleet", () => {
  for (const limit of [64, 400, 1200, 1282, 1936, 10_000]) {
    const { inbound, agentsInbound, agentsKeptOpen, agentsOutbound } = allocateSockets(limit);
    assert.ok(
      agentsKeptOpen >= 1 && agentsKeptOpen < agentsInbound,
      `${limit}: ${agentsKeptOpen} of ${agentsInbound} kept`,
    );
    assert.ok(inbound + agentsOutbound < limit, `${limit}: ${inbound} + ${agentsOutbound}`);
    assert.ok(agentsInbound < inbound && agentsOutbound >= 1);
  }
  assert.ok(allocateSockets(1282).agentsInbound >= 940);
  assert.ok(allocateSockets(1936).agentsInbound >= 940);
});

test("with more hosts than connections each call is answered, and the longest idle connection is closed for it", async () => {
  const servers = Array.from({ length: 6 }, () => http.createServer((_req, res) => res.end("{}")));
  const client = new HttpClient(1, 2);
  try {
    const ports: number[] = [];
    for (const server of servers) ports.push(await listen(server));
    for (let round = 0; round < 3; round++) {
      for (const port of ports) {
        assert.equal((await call(client, port))?.status, 200);
        assert.ok(client.openConnections <= 2, `${client.openConnections} open`);
      }
    }
  } finally {
    servers.forEach(stop);
  }
});

test("a call made while every connection is in use counts as unanswered at once, and no connection leaks", async () => {
  const pendingResponses: http.ServerResponse[] = [];
  const slow = http.createServer((_req, res) => pendingResponses.push(res));
  const quick = http.createServer((_req, res) => res.end("{}"));
  const client = new HttpClient(1, 1);
  try {
    const [slowPort, quickPort] = [await listen(slow), await listen(quick)];
    const firstCall = call(client, slowPort);
    assert.equal(await call(client, quickPort), null);

    while (pendingResponses.length === 0) await new Promise((later) => setImmediate(later));
    pendingResponses[0]?.end("{}");
    assert.equal((await firstCall)?.status, 200);
    assert.equal((await call(client, quickPort))?.status, 200);

    // A refused connection and one that is reset free their place.
    stop(quick);
    for (let i = 0; i < 3; i++) assert.equal(await call(client, quickPort), null);

    for (let i = 0; i < 100 && client.openConnections > 0; i++)
      await new Promise((later) => setImmediate(later));
    assert.equal(client.openConnections, 0);
  } finally {
    stop(slow);
  }
});

class AnyRequestHandler implements RequestHandler {
  ready = true;
  overloaded = false;
  submit(): void {}
  poll(): void {}
  cancel(): void {}
  administer(): void {}
  receiveHeartbeat(_body: unknown, then: (status: number, body: unknown) => void): boolean {
    then(200, { baton: 1, orders: [] });
    return true;
  }
  metrics(): Promise<{ type: string; text: string }> {
    return Promise.resolve({ type: "text/plain", text: "" });
  }
}

test("connections of agents leave some for probes and users, an agent beyond their share is redirected, and a freed one is reused", async () => {
  const server = createServer(new AnyRequestHandler(), {
    inbound: 8,
    agentsInbound: 3,
    agentsKeptOpen: 3,
    agentsOutbound: 1,
  });
  const agents = Array.from({ length: 4 }, () => new HttpClient(1));
  const probes = new HttpClient(1);
  try {
    const port = await listen(server);
    const sendHeartbeat = async (index: number) =>
      (await call(agents[index] ?? probes, port, "/agent/beat"))?.status;
    assert.deepEqual(
      [await sendHeartbeat(0), await sendHeartbeat(1), await sendHeartbeat(2)],
      [200, 200, 200],
    );
    assert.equal(await sendHeartbeat(0), 200, "the same agent uses no further connection");
    assert.equal(await sendHeartbeat(3), 421);

    const ready = await new Promise<HttpResult | null>((then) =>
      probes.call({ host: LOOPBACK, port }, { method: "GET", path: "/ready" }, 2000, then),
    );
    assert.equal(ready?.status, 200);

    server.closeIdleConnections();
    while ((await sendHeartbeat(3)) !== 200) await new Promise((later) => setImmediate(later));
  } finally {
    stop(server);
  }
});

// Guarded against: with more agents than connections, those beyond the bound were redirected at each heartbeat, and where
// only one node was left their leases expired.
test("a node with fewer sockets than agents replies to every heartbeat, and users get through", async () => {
  const shares = { inbound: 12, agentsInbound: 8, agentsKeptOpen: 6, agentsOutbound: 1 };
  const server = createServer(new AnyRequestHandler(), shares);
  const agents = Array.from({ length: 40 }, () => new HttpClient(1));
  const userClient = new HttpClient(1);
  let mostOpen = 0;
  server.on("connection", () => {
    server.getConnections((_error, count) => {
      mostOpen = Math.max(mostOpen, count);
    });
  });
  try {
    const port = await listen(server);
    const answeredOf = agents.map(() => 0);
    for (let round = 0; round < 3; round++) {
      // Two at a time: as many as may wait for replies beside the connections that are kept alive.
      for (let index = 0; index < agents.length; index += 2) {
        const twoAgents = [index, index + 1];
        const answers = await Promise.all(
          twoAgents.map((agentIndex) => call(agents[agentIndex] ?? userClient, port, "/agent/beat")),
        );
        for (const [position, agentIndex] of twoAgents.entries())
          if (answers[position]?.status === 200) answeredOf[agentIndex] = (answeredOf[agentIndex] ?? 0) + 1;
      }
      const probe = await new Promise<HttpResult | null>((then) =>
        userClient.call({ host: LOOPBACK, port }, { method: "GET", path: "/ready" }, 2000, then),
      );
      assert.equal(probe?.status, 200);
    }

    assert.deepEqual(
      answeredOf,
      agents.map(() => 3),
    );
    assert.ok(mostOpen <= shares.inbound, `${mostOpen} connections`);
    assert.ok(agents.filter((agent) => agent.openConnections > 0).length <= shares.agentsKeptOpen);
  } finally {
    stop(server);
  }
});
