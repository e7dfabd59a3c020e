import { readFileSync } from "node:fs";

/** Files, pipes and listeners that a node has open beside its connections. */
const OTHER_OPEN_FILES = 64;

/**
 * What is wrong, as a text for the log, if the system allows this process fewer open files than its connections need; null
 * if it allows enough or its limits can't be read. The limits are in the form of /proc/self/limits.
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

/** The limits of this process; empty where the system does not list them. */
function readLimits(): string {
  try {
    return readFileSync("/proc/self/limits", "utf8");
  } catch {
    return "";
  }
}
