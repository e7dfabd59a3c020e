import { createHash } from "node:crypto";
import { Packr } from "msgpackr";
import type { Controller } from "../../src/core/controller.js";
import type { Effect } from "../../src/core/messages/effects.js";
import type { UserResponse } from "../../src/core/messages/users.js";
import { encodeCommandBatch, encodeHeartbeatReply } from "../../src/protocol/agents.js";
import { encodeCloudRequest } from "../../src/protocol/cloud.js";
import { encodeJobStatus } from "../../src/protocol/jobs.js";
import { encodePeerMessage } from "../../src/protocol/peers.js";
import { encodeStoreRequest } from "../../src/protocol/store.js";

/**
 * Hashes every byte sent by the nodes of a model cluster, in order and with virtual time: calls to the key-value store
 * and the cloud, commands to agents, responses to agents and users, and frames to peers. Log lines are excluded. Two
 * versions of the program with the same digest behave identically.
 */
export class TraceDigest {
  readonly #hash = createHash("sha256");
  readonly #packr = new Packr({ useRecords: false });
  /** Number of effects hashed. */
  effects = 0;

  /** Hashes the encoding of an effect. */
  observe(core: Controller, node: string, now: number, effect: Effect): void {
    const wire = this.#encode(core, effect);
    if (wire === null) return;
    this.effects++;
    this.#hash.update(`${now} ${node} `);
    this.#hash.update(wire);
    this.#hash.update("\n");
  }

  /** Hashes the operator status, without explanatory texts. */
  observeStatus(core: Controller, now: number): void {
    const withoutTexts = (key: string, value: unknown) => (key === "why" ? undefined : value);
    this.#hash.update(`${now} ${JSON.stringify(core.status(), withoutTexts)}\n`);
  }

  /** Returns the digest of everything observed. Can be called only once. */
  digest(): string {
    return this.#hash.digest("hex").slice(0, 32);
  }

  #encode(core: Controller, effect: Effect): string | Uint8Array | null {
    switch (effect.kind) {
      case "respondToUser":
        return `user ${effect.requestId} ${encodeUserResponse(effect.response)}`;
      case "respondToOperator":
        return `operator ${effect.requestId} ${JSON.stringify(effect.response)}`;
      case "replyToAgent": {
        const { status, body } = encodeHeartbeatReply(effect.reply, core.names);
        return `agent ${effect.requestId} ${status} ${JSON.stringify(body)}`;
      }
      case "replyToForwardedHeartbeat": {
        const { status, body } = encodeHeartbeatReply(effect.reply, core.names);
        return `forwarded ${effect.to} ${effect.id} ${status} ${JSON.stringify(body)}`;
      }
      case "forwardHeartbeat":
        return `forward ${effect.to} ${effect.requestId}`;
      case "sendAgentCommands": {
        const body = encodeCommandBatch(effect.fencingToken, effect.incarnation, effect.commands, core.names);
        return `command ${effect.id} ${effect.address} ${JSON.stringify(body)}`;
      }
      case "callStore":
        return `store ${effect.id} ${effect.timeoutMs} ${JSON.stringify(encodeStoreRequest(effect.request))}`;
      case "callCloud":
        return `cloud ${effect.id} ${JSON.stringify(encodeCloudRequest(effect.request))}`;
      case "sendToPeer":
        return Buffer.concat([
          Buffer.from(`peer ${effect.to} `),
          this.#packr.pack(encodePeerMessage(effect.message)),
        ]);
      case "log":
        return null;
    }
  }
}

/** Encodes status code, `Retry-After` and body of the HTTP response to a user. */
function encodeUserResponse(response: UserResponse): string {
  switch (response.kind) {
    case "accepted":
      return `${response.known ? 200 : 201} ${JSON.stringify(encodeJobStatus(response.status))}`;
    case "status":
      return `200 ${JSON.stringify(encodeJobStatus(response.status))}`;
    case "notFound":
      return "404";
    case "unsatisfiable":
      return `422 ${response.error}`;
    case "invalid":
      return `400 ${response.error}`;
    case "unavailable":
      return `503 ${response.retryAfterS} ${response.error}`;
    case "throttled":
      return `429 ${response.retryAfterS} ${response.error}`;
  }
}
