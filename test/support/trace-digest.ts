import { createHash } from "node:crypto";
import { Packr } from "msgpackr";
import type { Controller } from "../../src/core/controller.js";
import type { Effect, UserAnswer } from "../../src/core/types.js";
import { encodeDo, encodeReportAnswer } from "../../src/protocol/agents.js";
import { encodeCloudCall } from "../../src/protocol/cloud.js";
import { encodeView } from "../../src/protocol/jobs.js";
import { encodeStateCall } from "../../src/protocol/store.js";

/**
 * Hashes every byte that leaves the nodes of a model cluster, in order and with the model's clock: calls to the
 * key-value store and the cloud, commands to agents, answers to agents and users, frames to peers. Two versions of the
 * program with the same digest behave alike, whatever their code looks like. Log lines are left out.
 */
export class TraceDigest {
  readonly #hash = createHash("sha256");
  readonly #packr = new Packr({ useRecords: false });
  effects = 0;

  observe(core: Controller, node: string, now: number, effect: Effect): void {
    const wire = this.#encode(core, effect);
    if (wire === null) return;
    this.effects++;
    this.#hash.update(`${now} ${node} `);
    this.#hash.update(wire);
    this.#hash.update("\n");
  }

  /** What operators are shown; the texts that explain something are left out. */
  observeStatus(core: Controller, now: number): void {
    const withoutTexts = (key: string, value: unknown) => (key === "why" ? undefined : value);
    this.#hash.update(`${now} ${JSON.stringify(core.status(), withoutTexts)}\n`);
  }

  digest(): string {
    return this.#hash.digest("hex").slice(0, 32);
  }

  #encode(core: Controller, effect: Effect): string | Uint8Array | null {
    switch (effect.t) {
      case "answer":
        return `user ${effect.req} ${encodeUserAnswer(effect.answer)}`;
      case "adminAnswer":
        return `operator ${effect.req} ${JSON.stringify(effect.answer)}`;
      case "reportAnswer": {
        const { status, body } = encodeReportAnswer(effect.answer, core.directory);
        return `agent ${effect.req} ${status} ${JSON.stringify(body)}`;
      }
      case "peerReportAnswer": {
        const { status, body } = encodeReportAnswer(effect.answer, core.directory);
        return `forwarded ${effect.to} ${effect.id} ${status} ${JSON.stringify(body)}`;
      }
      case "relay":
        return `forward ${effect.to} ${effect.req}`;
      case "do": {
        const body = encodeDo(effect.token, effect.session, effect.orders, core.directory);
        return `command ${effect.id} ${effect.address} ${JSON.stringify(body)}`;
      }
      case "state":
        return `store ${effect.id} ${effect.timeoutMs} ${JSON.stringify(encodeStateCall(effect.call))}`;
      case "cloud":
        return `cloud ${effect.id} ${JSON.stringify(encodeCloudCall(effect.call))}`;
      case "peerSend":
        return Buffer.concat([Buffer.from(`peer ${effect.to} `), this.#packr.pack(effect.message)]);
      case "log":
        return null;
    }
  }
}

/** Status, body and `Retry-After`, as the HTTP server answers a user. */
function encodeUserAnswer(answer: UserAnswer): string {
  switch (answer.t) {
    case "accepted":
      return `${answer.known ? 200 : 201} ${JSON.stringify(encodeView(answer.view))}`;
    case "view":
      return `200 ${JSON.stringify(encodeView(answer.view))}`;
    case "unknown":
      return "404";
    case "never":
      return `422 ${answer.error}`;
    case "malformed":
      return `400 ${answer.error}`;
    case "later":
      return `503 ${answer.afterS} ${answer.error}`;
    case "overloaded":
      return `429 ${answer.afterS} ${answer.error}`;
  }
}
