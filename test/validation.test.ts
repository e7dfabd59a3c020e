/** Validation of external input, field by field: settings, submissions, heartbeats, responses, requests. */

import assert from "node:assert/strict";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import {
  changeOperatorSettings,
  defaultOperatorSettings,
  readOperatorSettings,
} from "../src/config/operator.js";
import { parseSettings, SettingsError } from "../src/config/settings.js";
import type { AdminRequest } from "../src/core/messages/administration.js";
import type { SubmittedSpec } from "../src/core/messages/users.js";
import { NameRegistry } from "../src/core/model/interner.js";
import { decodeHeartbeat, encodeAgentCommands } from "../src/protocol/agents.js";
import { decodeCloudResponse } from "../src/protocol/cloud.js";
import { decodeJobSubmission } from "../src/protocol/jobs.js";
import { decodeStoreResponse } from "../src/protocol/store.js";
import { createServer, type RequestHandler } from "../src/shell/api.js";
import { openFilesProblem } from "../src/shell/open-files.js";
import { allocateSockets } from "../src/shell/sockets.js";
import { SETTINGS } from "./support/settings.js";

const JOB = {
  uid: "j-000412",
  jobclass: "train",
  crew: "red",
  shape: "gang",
  rank: "high",
  pieces: 2,
  cpus: 1.1,
  gpus: 0,
  ram_gb: 2,
  bundle: "img",
  size_gb: 1,
  racks: null,
  yard: null,
  same_place: true,
  apart: false,
  loaners: false,
  guess_s: 10,
  snapshot_s: 0,
  stow_s: 0,
  due_s: null,
};

test("settings: unknown fields are ignored, and an error names the missing, mistyped or invalid field", () => {
  assert.equal(parseSettings(SETTINGS).deployment.leaseS, 14);
  const cases: [string, string, RegExp][] = [
    ['site = "a"\n', "", /^site: /],
    ["lease_s = 14.0", 'lease_s = "long"', /^deployment\.workers\.lease_s: /],
    ["lease_s = 14.0", "lease_s = 1.0", /^deployment\.workers\.lease_s: /],
    ["cancel_s = 44.0", "cancel_s = 14.0", /^deployment\.workers\.cancel_s: /],
    ["write_rps = 100.0", "write_rps = 3.0", /^deployment\.state\.write_rps: /],
    ["\nrps = 250.0", "\nrps = 5.0", /^deployment\.state\.rps: /],
    ["127.0.0.1:8080", "127.0.0.1:99999", /^client_listen: /],
    ["127.0.0.1:8080", "nowhere", /^client_listen: /],
    ["cpus_max = 4.0", "cpus_max = -4.0", /^deployment\.teams\.0\.cpus_max: /],
    ["[endpoints]", "[endpoints", /^not TOML/],
  ];
  for (const [from, to, message] of cases) {
    assert.ok(SETTINGS.includes(from));
    assert.throws(
      () => parseSettings(SETTINGS.replace(from, to)),
      (error) => error instanceof SettingsError && message.test(error.message),
      to,
    );
  }
});

test("an open-files limit too low for max_connections is reported with both numbers", () => {
  const limits = (soft: number) =>
    `Limit  Soft Limit\nMax open files            ${soft}      524288     files\n`;
  assert.equal(openFilesProblem(1200, limits(1264)), null);
  assert.match(openFilesProblem(1200, limits(1024)) ?? "", /allows 1024 open files, max_connections is 1200/);
  assert.equal(openFilesProblem(1200, ""), null, "the system reports no limit");
});

// Guards against a raised default replacing a stored value: the previous version stores every setting, changed or not.
test("a stored max_machines keeps the value that the operator set", () => {
  assert.equal(readOperatorSettings({ max_machines: 2000 }).max_machines, 2000);
  assert.equal(defaultOperatorSettings.max_machines, 10_000);
});

test("invalid operator settings stored by another version fall back to their defaults one by one", () => {
  const read = readOperatorSettings({ move_low: 0.2, idle_s: -5, unheard_of: true });
  assert.deepEqual(read, { ...defaultOperatorSettings, move_low: 0.2 });
  const inconsistent = changeOperatorSettings(defaultOperatorSettings, { move_low: 0.9 });
  assert.ok(!inconsistent.ok && inconsistent.error.startsWith("move_low"));
});

test("jobs: a well-formed submission is decoded, and each error names its field", () => {
  const decoded = decodeJobSubmission(JOB);
  assert.ok(decoded.submitted.ok);
  assert.deepEqual(decoded.submitted.spec.need, { cpu: 1100, gpu: 0, ram: 2000 });

  const { racks, due_s, yard, ...sparse } = JOB;
  assert.deepEqual([racks, due_s, yard], [null, null, null]);
  assert.ok(decodeJobSubmission(sparse).submitted.ok, "a nullable field may be absent");

  for (const [field, value] of Object.entries({
    uid: "x-1",
    pieces: 0,
    cpus: "4",
    rank: "urgent",
    shape: "batch",
    same_place: 1,
    guess_s: -1,
    racks: "g8",
    bundle: "",
  })) {
    const { submitted } = decodeJobSubmission({ ...JOB, [field]: value });
    assert.ok(!submitted.ok && submitted.error.startsWith(field), `${field}: ${JSON.stringify(submitted)}`);
  }
  for (const body of [null, 5, "j-1", [JOB], undefined]) assert.equal(decodeJobSubmission(body).uid, null);
});

test("heartbeats: malformed ones are rejected, and integers beyond the safe range are accepted", () => {
  const names = new NameRegistry();
  const heartbeat = {
    host: "i-1",
    address: "10.0.0.1:1",
    rack: "g8",
    yard: "a",
    loaners: false,
    shift: 1,
    tally: 2 ** 63,
    baton: 0,
    pieces: [{ piece: "j-1/3", try: 7, phase: "ended", cause: "error", stored: true }],
  };
  const decoded = decodeHeartbeat(heartbeat, names);

  assert.equal(decoded?.tasks[0]?.exitReason, "error");

  const [command] = encodeAgentCommands(
    [{ kind: "stop", job: decoded.tasks[0].job, task: 3, attempt: 7, graceS: 2 }],
    names,
  );
  assert.deepEqual(command, { verb: "stop", piece: "j-1/3", try: 7, windup_s: 2 });

  const malformed = [
    {},
    { ...heartbeat, shift: -1 },
    { ...heartbeat, address: "http://x" },
    { ...heartbeat, pieces: [{ piece: "j-1", try: 1, phase: "running" }] },
    { ...heartbeat, pieces: [{ piece: "j-1/x", try: 1, phase: "running" }] },
    { ...heartbeat, pieces: [{ piece: "j-1/1", try: 1, phase: "dancing" }] },
    { ...heartbeat, pieces: {} },
  ];
  for (const body of malformed) assert.equal(decodeHeartbeat(body, names), null, JSON.stringify(body));
});

test("malformed responses of the store and the cloud count as timeouts", () => {
  const transaction = { kind: "transaction", conditions: [], changes: [] } as const;
  assert.equal(decodeStoreResponse(transaction, 200, { ledger: "x" }).kind, "timeout");
  assert.equal(decodeStoreResponse(transaction, 409, {}).kind, "timeout");
  assert.equal(decodeStoreResponse(transaction, 503, {}).kind, "unavailable");
  assert.equal(decodeStoreResponse({ kind: "get", key: "a" }, 200, undefined).kind, "timeout");

  const createRequest = {
    kind: "create",
    requestId: "r",
    type: "t",
    zone: "z",
    spot: false,
    count: 1,
  } as const;
  assert.equal(decodeCloudResponse(createRequest, 503, { error: "no capacity" }).kind, "noCapacity");
  assert.equal(decodeCloudResponse(createRequest, 503, { error: "trouble" }).kind, "unavailable");
  assert.equal(decodeCloudResponse(createRequest, 200, { hosts: 5 }).kind, "timeout");
  assert.equal(decodeCloudResponse({ kind: "list", after: null }, 200, { hosts: [{}] }).kind, "timeout");
});

/** Returns a submission body of exactly `bytes` bytes. */
function paddedSubmission(bytes: number): string {
  const empty = JSON.stringify({ ...JOB, note: "" });
  return JSON.stringify({ ...JOB, note: "x".repeat(bytes - empty.length) });
}

class FakeRequestHandler implements RequestHandler {
  ready = true;
  overloaded = false;
  submittedUids: unknown[] = [];
  submit(uid: string, submitted: SubmittedSpec, respond: Parameters<RequestHandler["submit"]>[2]): void {
    this.submittedUids.push(uid);
    if (!submitted.ok) respond({ kind: "invalid", error: submitted.error });
    else if (uid === "j-77")
      respond({ kind: "throttled", error: "its team's share is used up", retryAfterS: 12 });
    else respond({ kind: "accepted", known: false, status: { uid, phase: "queued", done: 0, running: 0 } });
  }
  poll(_uid: string, respond: Parameters<RequestHandler["poll"]>[1]): void {
    respond({ kind: "unavailable", error: "no answer", retryAfterS: 2 });
  }
  cancel(_uid: string, respond: Parameters<RequestHandler["cancel"]>[1]): void {
    respond({ kind: "notFound" });
  }
  administer(request: AdminRequest, respond: Parameters<RequestHandler["administer"]>[1]): void {
    respond(
      request.kind === "changeSettings"
        ? { kind: "invalid", error: "move_low: wrong" }
        : { kind: "ok", body: {} },
    );
  }
  receiveHeartbeat(): boolean {
    return false;
  }
  metrics(): Promise<{ type: string; text: string }> {
    return Promise.resolve({ type: "text/plain", text: "" });
  }
}

test("the API answers invalid input with 4xx, sets retry-after when throttled or unavailable, and while overloaded rejects submissions without handling them", async () => {
  const handler = new FakeRequestHandler();
  const server = createServer(handler, allocateSockets(100));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const request = async (method: string, path: string, body?: string) => {
    const response = await fetch(`http://127.0.0.1:${port}${path}`, { method, body: body ?? null });
    return {
      status: response.status,
      after: response.headers.get("retry-after"),
      body: await response.text(),
    };
  };
  try {
    assert.equal((await request("POST", "/api/jobs", JSON.stringify(JOB))).status, 201);

    const cases: [string, string, string | undefined, number][] = [
      ["POST", "/api/jobs", "{", 400],
      ["POST", "/api/jobs", "[]", 400],
      ["POST", "/api/jobs", undefined, 400],
      ["POST", "/api/jobs", JSON.stringify({ ...JOB, pieces: "two" }), 400],
      ["POST", "/api/jobs", `"${"x".repeat(70_000)}"`, 400],
      ["POST", "/api/jobs", paddedSubmission(64 * 1024), 201],
      ["POST", "/api/jobs", paddedSubmission(64 * 1024 + 1), 400],
      ["POST", "/api/jobs", JSON.stringify({ ...JOB, pieces: 100_000 }), 201],
      ["POST", "/api/jobs", JSON.stringify({ ...JOB, pieces: 100_001 }), 400],
      ["POST", "/agent/beat", paddedSubmission(64 * 1024 + 1), 400],
      ["GET", "/api/jobs/%E0%A4%A", undefined, 400],
      ["GET", "/api/jobs/nonsense", undefined, 404],
      ["POST", "/api/jobs/j-5/cancel", undefined, 404],
      ["POST", "/agent/beat", "{}", 400],
      ["GET", "/nowhere", undefined, 404],
      ["PATCH", "/admin/settings", "[]", 400],
      ["PATCH", "/admin/settings", '{"move_low":9}', 400],
      ["PUT", "/admin/machines/i-1", '{"mode":"explode"}', 400],
    ];
    for (const [method, path, body, status] of cases) {
      const response = await request(method, path, body);
      assert.equal(response.status, status, `${method} ${path} ${body?.slice(0, 40)}`);
      assert.equal("error" in JSON.parse(response.body), status >= 400);
    }
    const unavailable = await request("GET", "/api/jobs/j-1");

    assert.deepEqual([unavailable.status, unavailable.after], [503, "2"]);

    const throttled = await request("POST", "/api/jobs", JSON.stringify({ ...JOB, uid: "j-77" }));
    assert.deepEqual([throttled.status, throttled.after], [429, "12"]);

    handler.overloaded = true;
    const submittedBefore = handler.submittedUids.length;
    const shed = await request("POST", "/api/jobs", JSON.stringify(JOB));

    assert.equal(shed.status, 503);
    assert.ok(Number(shed.after) > 0);
    assert.equal(handler.submittedUids.length, submittedBefore);

    handler.ready = false;
    assert.equal((await request("GET", "/ready")).status, 503);
  } finally {
    server.close();
    server.closeAllConnections();
  }
});
