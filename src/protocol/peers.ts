import * as v from "valibot";
import type { PeerMessage } from "../core/types.js";

/** What the nodes say to each other, as it is checked on arrival. Unknown fields are ignored: they are a later version's. */

const count = v.pipe(v.number(), v.minValue(0));
const admissionSchema = v.object({
  report: v.object({
    process: v.string(),
    sequence: count,
    slice: count,
    sliceToken: count,
    teams: v.array(
      v.object({ team: v.string(), asked: count, held: v.number(), promised: count, spent: v.number() }),
    ),
    promises: v.array(v.object({ uid: v.string(), inMs: count })),
    kept: v.array(v.string()),
  }),
  slice: v.optional(
    v.object({
      token: count,
      id: count,
      answers: count,
      lifeMs: count,
      permits: v.array(v.object({ team: v.string(), count, ratePerS: count })),
    }),
  ),
});
const messageSchema = v.variant("t", [
  v.object({
    t: v.literal("beat"),
    token: count,
    leader: v.nullable(v.string()),
    stateOk: v.boolean(),
    workersHeard: count,
    protocol: v.optional(count),
    standby: v.optional(v.picklist(["cold", "warm"])),
    // What can't be read of it is no reason not to hear the heartbeat.
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

/** A message of a peer; null if it can't be read. */
export function readPeerMessage(raw: unknown): PeerMessage | null {
  const result = v.safeParse(messageSchema, raw);
  return result.success ? result.output : null;
}
