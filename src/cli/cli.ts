import { readFileSync } from "node:fs";
import { Command, Option } from "commander";
import { SettingsError } from "../config/settings.js";
import { parseSettingChanges, readJson } from "./arguments.js";
import { CliError } from "./errors.js";
import { callNode } from "./node-client.js";

const DEFAULT_NODE = "127.0.0.1:8080";

interface ServeArguments {
  readonly config: string;
  readonly standby: boolean;
  readonly admission: boolean;
}

interface NodeArguments {
  readonly node: string;
}

/** Runs a command line. For errors that the user can fix, prints the message and exits with status 1. */
export async function runCommandLine(argv: readonly string[]): Promise<void> {
  const program = new Command("hillspindle")
    .description("Cluster scheduler: runs a node, or sends requests to one.")
    .version(readVersion())
    .showHelpAfterError("(use --help for usage information)");
  addServeCommand(program);
  addJobCommands(program);
  addOperatorCommands(program);
  try {
    await program.parseAsync([...argv]);
  } catch (error) {
    if (!(error instanceof CliError || error instanceof SettingsError)) throw error;
    process.stderr.write(`hillspindle: ${error.message}\n`);
    process.exit(1);
  }
}

/** Reads the version from package.json, in the parent directory of the bundle (target/). */
function readVersion(): string {
  const manifest: unknown = JSON.parse(readFileSync(new URL("../package.json", import.meta.url), "utf8"));
  const version =
    typeof manifest === "object" && manifest !== null && "version" in manifest ? manifest.version : undefined;
  return typeof version === "string" ? version : "unknown";
}

function nodeOption(): Option {
  return new Option("-n, --node <host:port>", "node to send the request to")
    .default(DEFAULT_NODE)
    .env("HILLSPINDLE_NODE");
}

/** Only this command loads the server's modules, so that the others start quickly. */
function addServeCommand(program: Command): void {
  program
    .command("serve")
    .description("run a node")
    .requiredOption("--config <file>", "settings file in TOML format")
    .option("--standby", "cache the records while another node leads, for a faster failover", false)
    .option(
      "--admission",
      "limit submissions by the teams' shares; answer excess ones with status 429",
      false,
    )
    .action(async ({ config, standby, admission }: ServeArguments) => {
      const { loadServer } = await import("./server-bundle.js");
      const { server, cacheProblem } = loadServer();
      server.serve(config, { cacheProblem, standby, admission });
    });
}

function addJobCommands(program: Command): void {
  program
    .command("submit")
    .description("submit a job from a JSON file (- for standard input)")
    .argument("<file>")
    .addOption(nodeOption())
    .action((file: string, { node }: NodeArguments) =>
      callNode({ node, method: "POST", path: "/api/jobs", body: readJson(file) }),
    );
  program
    .command("show")
    .description("show a job's status")
    .argument("<id>")
    .addOption(nodeOption())
    .action((id: string, { node }: NodeArguments) =>
      callNode({ node, method: "GET", path: `/api/jobs/${encodeURIComponent(id)}` }),
    );
  program
    .command("cancel")
    .description("cancel a job")
    .argument("<id>")
    .addOption(nodeOption())
    .action((id: string, { node }: NodeArguments) =>
      callNode({ node, method: "POST", path: `/api/jobs/${encodeURIComponent(id)}/cancel` }),
    );
}

function addOperatorCommands(program: Command): void {
  program
    .command("settings")
    .description("show the operator settings, or change them: name=value ...")
    .argument("[changes...]")
    .addOption(nodeOption())
    .action((changes: string[], { node }: NodeArguments) => {
      const path = "/admin/settings";
      return changes.length === 0
        ? callNode({ node, method: "GET", path })
        : callNode({ node, method: "PATCH", path, body: parseSettingChanges(changes) });
    });
  program
    .command("machine")
    .description("set a machine's mode: open, cordon (no new tasks) or drain (empty, then terminate)")
    .argument("<name>")
    .argument("<mode>")
    .addOption(nodeOption())
    .action((name: string, mode: string, { node }: NodeArguments) =>
      callNode({ node, method: "PUT", path: `/admin/machines/${encodeURIComponent(name)}`, body: { mode } }),
    );
  program
    .command("status")
    .description("show a node's status: leader, machines, queue, pending replica migration")
    .addOption(nodeOption())
    .action(({ node }: NodeArguments) => callNode({ node, method: "GET", path: "/admin/status" }));
}
