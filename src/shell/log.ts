import { pino } from "pino";

export type Log = ReturnType<typeof openLog>;

/** Structured lines on standard error. */
export function openLog(level: string | undefined, node: string) {
  const known = level === "error" || level === "info" || level === "debug" ? level : "info";
  return pino(
    {
      level: known,
      base: { node },
      formatters: { level: (label) => ({ level: label }) },
    },
    pino.destination({ fd: 2, sync: true }),
  );
}
