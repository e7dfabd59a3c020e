import { CLOCK_DRIFT_FACTOR } from "./lease-renewal-policy.js";

/** Timeout of calls by the election to the key-value store. */
export const ELECTION_CALL_TIMEOUT_MS = 900;
/** How much earlier a leader considers its lease expired than the key-value store does. */
const LEASE_MARGIN_MS = 250;

/** Returns the expiry of a lease by this node's clock, counted from the request that granted or renewed it. */
export function leaseValidUntil(requestedAt: number, ttlMs: number): number {
  return requestedAt + ttlMs / CLOCK_DRIFT_FACTOR - LEASE_MARGIN_MS;
}
