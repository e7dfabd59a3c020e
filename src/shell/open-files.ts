import { readFileSync } from "node:fs";

/** Files, pipes and listeners that a node has open beside its connections. */
const OTHERS_OPEN = 64;

/** Tells in words if the system allows this process fewer open files than its connections need; null if it does not. */
export function openFilesProblem(maxConnections: number, limits = readLimits()): string | null {
  const soft = /^Max open files\s+(\d+)/m.exec(limits)?.[1];
  if (soft === undefined || Number(soft) >= maxConnections + OTHERS_OPEN) return null;
  return (
    `the system allows ${soft} open files, max_connections is ${maxConnections}: ` +
    `raise the limit (ulimit -n) to ${maxConnections + OTHERS_OPEN}, or lower max_connections`
  );
}

/** The limits of this process; empty where the system does not tell. */
function readLimits(): string {
  try {
    return readFileSync("/proc/self/limits", "utf8");
  } catch {
    return "";
  }
}
