import { readFileSync } from "node:fs";
import { Command, Option } from "commander";
import { SettingsError } from "../config/settings.js";

const DEFAULT_NODE = "127.0.0.1:8080";

/** The program is one bundle in target/, beside the manifest's folder. */
function version(): string {
  const manifest: unknown = JSON.parse(readFileSync(new URL("../package.json", import.meta.url), "utf8"));
  const { version } = manifest as { version?: unknown };
  return typeof version === "string" ? version : "unknown";
}

function fail(message: string): never {
  process.stderr.write(`hillspindle: ${message}\n`);
  process.exit(1);
}

/** Asks a node; prints the body of its answer. Anything but a 2xx ends with a non-zero status. */
async function ask(node: string, method: string, path: string, body?: unknown): Promise<void> {
  let response: Response;
  try {
    response = await fetch(`http://${node}${path}`, {
      method,
      headers: body === undefined ? {} : { "content-type": "application/json" },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(6000),
    });
  } catch (error) {
    const { cause } = error as { cause?: { message?: string } };
    fail(`cannot reach ${node}: ${cause?.message ?? (error as Error).message}`);
  }
  const text = await response.text();
  process.stdout.write(`${text.trimEnd()}\n`);
  if (!response.ok) fail(`${node} answered ${response.status}`);
}

function readJson(path: string): unknown {
  try {
    return JSON.parse(readFileSync(path === "-" ? 0 : path, "utf8"));
  } catch (error) {
    fail(`${path}: ${(error as Error).message}`);
  }
}

interface ServeArguments {
  readonly config: string;
  readonly standby: boolean;
  readonly admission: boolean;
}

/** A value in braces is JSON, for settings by team. */
function parseSetting(pair: string): [string, unknown] {
  const at = pair.indexOf("=");
  if (at <= 0) fail(`${pair}: write name=value`);
  const text = pair.slice(at + 1);
  if (text.startsWith("{")) return [pair.slice(0, at), parseJsonValue(pair, text)];
  const value = Number(text);
  return [pair.slice(0, at), text.trim() !== "" && Number.isFinite(value) ? value : text];
}

function parseJsonValue(pair: string, text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    fail(`${pair}: ${(error as Error).message}`);
  }
}

export async function run(argv: readonly string[]): Promise<void> {
  const program = new Command("hillspindle")
    .description("A cluster scheduler: run a node, or talk to one.")
    .version(version())
    .showHelpAfterError("(--help tells the usage)");
  const node = () =>
    new Option("-n, --node <host:port>", "the node to ask").default(DEFAULT_NODE).env("HILLSPINDLE_NODE");

  program
    .command("serve")
    .description("run a node")
    .requiredOption("--config <file>", "the platform's settings (TOML)")
    .option("--standby", "keep the records while another node leads, so as to take over from it warm", false)
    .option("--admission", "admit submissions by the teams' shares, and answer the rest 429", false)
    .action(async ({ config, ...switches }: ServeArguments) => {
      const { loadServer } = await import("./server-bundle.js");
      const { server, cacheProblem } = loadServer();
      server.serve(config, { cacheProblem, ...switches });
    });
  program
    .command("submit")
    .description("submit a job described in a JSON file (- for standard input)")
    .argument("<file>")
    .addOption(node())
    .action((file: string, { node: at }: { node: string }) => ask(at, "POST", "/api/jobs", readJson(file)));
  program
    .command("show")
    .description("show a job's state")
    .argument("<id>")
    .addOption(node())
    .action((id: string, { node: at }: { node: string }) =>
      ask(at, "GET", `/api/jobs/${encodeURIComponent(id)}`),
    );
  program
    .command("cancel")
    .description("cancel a job")
    .argument("<id>")
    .addOption(node())
    .action((id: string, { node: at }: { node: string }) =>
      ask(at, "POST", `/api/jobs/${encodeURIComponent(id)}/cancel`),
    );
  program
    .command("settings")
    .description("show the operators' settings, or change some: name=value …")
    .argument("[changes...]")
    .addOption(node())
    .action((changes: string[], { node: at }: { node: string }) =>
      changes.length === 0
        ? ask(at, "GET", "/admin/settings")
        : ask(at, "PATCH", "/admin/settings", Object.fromEntries(changes.map(parseSetting))),
    );
  program
    .command("machine")
    .description("set a machine to open, cordon (nothing new) or drain (emptied and returned)")
    .argument("<name>")
    .argument("<mode>")
    .addOption(node())
    .action((name: string, mode: string, { node: at }: { node: string }) =>
      ask(at, "PUT", `/admin/machines/${encodeURIComponent(name)}`, { mode }),
    );
  program
    .command("status")
    .description("show a node's view: leader, machines, queue, pending move")
    .addOption(node())
    .action(({ node: at }: { node: string }) => ask(at, "GET", "/admin/status"));

  try {
    await program.parseAsync([...argv]);
  } catch (error) {
    if (error instanceof SettingsError) fail(error.message);
    throw error;
  }
}
