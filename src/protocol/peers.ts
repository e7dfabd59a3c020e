import * as v from "valibot";
import type { PeerMessage } from "../core/messages/peers.js";
import { admissionSchema, decodeAdmission, encodeAdmission } from "./admission.js";

/**
 * Encodes and decodes the frames exchanged between nodes. Field names on the wire differ from the internal ones and
 * must not change, because two versions communicate during an upgrade. Unknown fields are ignored, as a later version
 * may send them.
 */

const count = v.pipe(v.number(), v.minValue(0));
const helloSchema = v.object({ t: v.literal("hello"), node: v.string() });
const messageSchema = v.variant("t", [
  v.object({
    t: v.literal("beat"),
    token: count,
    leader: v.nullable(v.string()),
    stateOk: v.boolean(),
    workersHeard: count,
    protocol: v.optional(count),
    standby: v.optional(v.picklist(["cold", "warm"])),
    // A malformed admission part is dropped without rejecting the heartbeat.
    admission: v.fallback(v.optional(admissionSchema), undefined),
  }),
  v.object({
    t: v.literal("job"),
    item: v.object({ key: v.string(), value: v.unknown(), version: count }),
  }),
  v.object({ t: v.literal("progress"), rows: v.array(v.tuple([v.string(), count, count])) }),
  v.object({ t: v.literal("reports"), list: v.array(v.object({ id: count, body: v.unknown() })) }),
  v.object({
    t: v.literal("reportAnswers"),
    list: v.array(v.object({ id: count, status: count, body: v.unknown() })),
  }),
]);

type WireMessage = v.InferOutput<typeof messageSchema>;

/** Encodes the first frame of a connection, which names the sender. */
export function encodeHello(node: string): unknown {
  return { t: "hello", node };
}

/** Decodes the first frame of a connection; returns the sender, or null if the frame is malformed. */
export function decodeHello(raw: unknown): string | null {
  const result = v.safeParse(helloSchema, raw);
  return result.success ? result.output.node : null;
}

/** Encodes a message to a peer. */
export function encodePeerMessage(message: PeerMessage): unknown {
  switch (message.kind) {
    case "heartbeat":
      return {
        t: "beat",
        token: message.fencingToken,
        leader: message.leader,
        stateOk: message.storeHealthy,
        workersHeard: message.agentsHeard,
        protocol: message.protocol,
        standby: message.standby,
        admission: message.admission && encodeAdmission(message.admission),
      };
    case "jobRecord":
      return { t: "job", item: message.entry };
    case "progress":
      return { t: "progress", rows: message.rows };
    case "forwardedHeartbeats":
      return { t: "reports", list: message.heartbeats };
    case "forwardedReplies":
      return { t: "reportAnswers", list: message.replies };
  }
}

/** Decodes a message from a peer; returns null if it is malformed. */
export function decodePeerMessage(raw: unknown): PeerMessage | null {
  const result = v.safeParse(messageSchema, raw);
  return result.success ? fromWire(result.output) : null;
}

function fromWire(message: WireMessage): PeerMessage {
  switch (message.t) {
    case "beat":
      return {
        kind: "heartbeat",
        fencingToken: message.token,
        leader: message.leader,
        storeHealthy: message.stateOk,
        agentsHeard: message.workersHeard,
        protocol: message.protocol,
        standby: message.standby,
        admission: message.admission && decodeAdmission(message.admission),
      };
    case "job":
      return { kind: "jobRecord", entry: message.item };
    case "progress":
      return { kind: "progress", rows: message.rows };
    case "reports":
      return { kind: "forwardedHeartbeats", heartbeats: message.list };
    case "reportAnswers":
      return { kind: "forwardedReplies", replies: message.list };
  }
}
