import { readFileSync } from "node:fs";

/** Files, pipes and listeners that a node has open in addition to its connections. */
const OTHER_OPEN_FILES = 64;

/**
 * Returns a message for the log if the process may open fewer files than its connections need; null if the limit is
 * sufficient or unknown. `limits` has the format of /proc/self/limits.
 */
export function openFilesProblem(maxConnections: number, limits = readLimits()): string | null {
  const softLimit = /^Max open files\s+(\d+)/m.exec(limits)?.[1];
  const needed = maxConnections + OTHER_OPEN_FILES;
  if (softLimit === undefined || Number(softLimit) >= needed) return null;
  return (
    `the system allows ${softLimit} open files, max_connections is ${maxConnections}: ` +
    `raise the limit (ulimit -n) to ${needed}, or lower max_connections`
  );
}

/** Returns the limits of this process; empty if the system does not list them. */
function readLimits(): string {
  try {
    return readFileSync("/proc/self/limits", "utf8");
  } catch {
    return "";
  }
}
