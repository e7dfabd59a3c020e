import { pino } from "pino";

/** Structured log of a node: each line has a fixed message, with details in fields. */
export type Log = ReturnType<typeof openLog>;

/** Opens the log on standard error. An unknown or missing level defaults to "info". */
export function openLog(level: string | undefined, node: string) {
  const knownLevel = level === "error" || level === "info" || level === "debug" ? level : "info";
  return pino(
    {
      level: knownLevel,
      base: { node },
      formatters: { level: (label) => ({ level: label }) },
    },
    pino.destination({ fd: 2, sync: true }),
  );
}
