/** Division of a node's connections among agents, users, probes and its own calls. */

import assert from "node:assert/strict";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { createServer, type RequestHandler } from "../src/shell/api.js";
import { HttpClient, type HttpResult } from "../src/shell/http-client.js";
import { allocateSockets } from "../src/shell/sockets.js";

const LOOPBACK = "127.0.0.1";

async function listen(server: http.Server): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  return (server.address() as AddressInfo).port;
}

function stop(server: http.Server): void {
  server.close();
  server.closeAllConnections();
}

function call(client: HttpClient, port: number, path = "/"): Promise<HttpResult | null> {
  return new Promise((resolve) =>
    client.call({ host: LOOPBACK, port }, { method: "POST", path, body: {} }, 2000, resolve),
  );
}

test("the socket shares of a node stay within its limit, and suffice for the agents of a whole cluster", () => {
  for (const limit of [64, 400, 1200, 1282, 1936, 10_000]) {
    const { inbound, agentsInbound, agentsKeptOpen, agentsOutbound } = allocateSockets(limit);
    assert.ok(
      agentsKeptOpen >= 1 && agentsKeptOpen < agentsInbound,
      `limit ${limit}: ${agentsKeptOpen} of ${agentsInbound} kept open`,
    );
    assert.ok(inbound + agentsOutbound < limit, `${limit}: ${inbound} + ${agentsOutbound}`);
    assert.ok(agentsInbound < inbound && agentsOutbound >= 1);
  }
  assert.ok(allocateSockets(1282).agentsInbound >= 940);
  assert.ok(allocateSockets(1936).agentsInbound >= 940);
});

test("with more hosts than connections every call is answered, and idle connections are closed to make room", async () => {
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

test("a call made while every connection is in use fails at once without a response, and no connection leaks", async () => {
  const pendingResponses: http.ServerResponse[] = [];
  const slow = http.createServer((_req, res) => pendingResponses.push(res));
  const fast = http.createServer((_req, res) => res.end("{}"));
  const client = new HttpClient(1, 1);
  try {
    const [slowPort, fastPort] = [await listen(slow), await listen(fast)];
    const firstCall = call(client, slowPort);
    assert.equal(await call(client, fastPort), null);

    while (pendingResponses.length === 0) await new Promise((resolve) => setImmediate(resolve));
    pendingResponses[0]?.end("{}");
    assert.equal((await firstCall)?.status, 200);
    assert.equal((await call(client, fastPort))?.status, 200);

    // Refused and reset connections are released.
    stop(fast);
    for (let i = 0; i < 3; i++) assert.equal(await call(client, fastPort), null);

    for (let i = 0; i < 100 && client.openConnections > 0; i++)
      await new Promise((resolve) => setImmediate(resolve));
    assert.equal(client.openConnections, 0);
  } finally {
    stop(slow);
  }
});

class StubRequestHandler implements RequestHandler {
  ready = true;
  overloaded = false;
  submit(): void {}
  poll(): void {}
  cancel(): void {}
  administer(): void {}
  receiveHeartbeat(_body: unknown, reply: (status: number, body: unknown) => void): boolean {
    reply(200, { baton: 1, orders: [] });
    return true;
  }
  metrics(): Promise<{ type: string; text: string }> {
    return Promise.resolve({ type: "text/plain", text: "" });
  }
}

test("agents leave connections for probes and users, an agent beyond the agents' share is redirected, and a freed connection is reused", async () => {
  const server = createServer(new StubRequestHandler(), {
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
    assert.equal(await sendHeartbeat(0), 200, "the same agent reuses its connection");
    assert.equal(await sendHeartbeat(3), 421);

    const ready = await new Promise<HttpResult | null>((resolve) =>
      probes.call({ host: LOOPBACK, port }, { method: "GET", path: "/ready" }, 2000, resolve),
    );
    assert.equal(ready?.status, 200);

    server.closeIdleConnections();
    while ((await sendHeartbeat(3)) !== 200) await new Promise((resolve) => setImmediate(resolve));
  } finally {
    stop(server);
  }
});

// Guards against redirecting agents beyond the connection limit at every heartbeat: where only one node was left, their
// leases expired.
test("a node with fewer sockets than agents replies to every heartbeat, and still serves users", async () => {
  const shares = { inbound: 12, agentsInbound: 8, agentsKeptOpen: 6, agentsOutbound: 1 };
  const server = createServer(new StubRequestHandler(), shares);
  const agents = Array.from({ length: 40 }, () => new HttpClient(1));
  const userClient = new HttpClient(1);
  let maxOpen = 0;
  server.on("connection", () => {
    server.getConnections((_error, count) => {
      maxOpen = Math.max(maxOpen, count);
    });
  });
  try {
    const port = await listen(server);
    const repliesByAgent = agents.map(() => 0);
    for (let round = 0; round < 3; round++) {
      // Two at a time: as many as may await replies in addition to the connections that are kept alive.
      for (let index = 0; index < agents.length; index += 2) {
        const twoAgents = [index, index + 1];
        const responses = await Promise.all(
          twoAgents.map((agentIndex) => call(agents[agentIndex] ?? userClient, port, "/agent/beat")),
        );
        for (const [position, agentIndex] of twoAgents.entries())
          if (responses[position]?.status === 200)
            repliesByAgent[agentIndex] = (repliesByAgent[agentIndex] ?? 0) + 1;
      }
      const probe = await new Promise<HttpResult | null>((resolve) =>
        userClient.call({ host: LOOPBACK, port }, { method: "GET", path: "/ready" }, 2000, resolve),
      );
      assert.equal(probe?.status, 200);
    }

    assert.deepEqual(
      repliesByAgent,
      agents.map(() => 3),
    );
    assert.ok(maxOpen <= shares.inbound, `${maxOpen} connections`);
    assert.ok(agents.filter((agent) => agent.openConnections > 0).length <= shares.agentsKeptOpen);
  } finally {
    stop(server);
  }
});
