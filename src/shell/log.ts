import { pino } from "pino";

/** The log of a node: structured lines, a fixed message each with the facts as fields. */
export type Log = ReturnType<typeof openLog>;

/** Opens the log on standard error; a level that is unknown or not set counts as "info". */
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
