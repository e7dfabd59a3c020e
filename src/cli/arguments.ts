import { readFileSync } from "node:fs";
import { CliError, messageOf } from "./errors.js";

const STDIN_FD = 0;

/** Reads a JSON file, or standard input if the path is "-". */
export function readJson(path: string): unknown {
  try {
    return JSON.parse(readFileSync(path === "-" ? STDIN_FD : path, "utf8"));
  } catch (error) {
    throw new CliError("badArgument", `${path}: ${messageOf(error)}`, { cause: error });
  }
}

/** Parses settings changes of the form `name=value`. */
export function parseSettingChanges(pairs: readonly string[]): Record<string, unknown> {
  return Object.fromEntries(pairs.map(parseSettingChange));
}

/** Parses a value in braces as JSON, for settings by team, and any other value as a number or else a string. */
function parseSettingChange(pair: string): [name: string, value: unknown] {
  const equals = pair.indexOf("=");
  if (equals <= 0) throw new CliError("badArgument", `${pair}: expected name=value`);
  const name = pair.slice(0, equals);
  const text = pair.slice(equals + 1);
  if (text.startsWith("{")) return [name, parseJsonValue(pair, text)];
  const value = Number(text);
  return [name, text.trim() !== "" && Number.isFinite(value) ? value : text];
}

function parseJsonValue(pair: string, text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new CliError("badArgument", `${pair}: ${messageOf(error)}`, { cause: error });
  }
}
