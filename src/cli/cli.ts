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

/** Runs one command line to its end. What its user did wrong is printed, and ends the process with status 1. */
export async function run(argv: readonly string[]): Promise<void> {
  const program = new Command("hillspindle")
    .description("A cluster scheduler: run a node, or talk to one.")
    .version(readVersion())
    .showHelpAfterError("(--help tells the usage)");
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

/** The version in the manifest: the program is one bundle in target/, beside the manifest's folder. */
function readVersion(): string {
  const manifest: unknown = JSON.parse(readFileSync(new URL("../package.json", import.meta.url), "utf8"));
  const version =
    typeof manifest === "object" && manifest !== null && "version" in manifest ? manifest.version : undefined;
  return typeof version === "string" ? version : "unknown";
}

function nodeOption(): Option {
  return new Option("-n, --node <host:port>", "the node to ask")
    .default(DEFAULT_NODE)
    .env("HILLSPINDLE_NODE");
}

/** The server's modules are loaded by this command alone: the others stay quick to start. */
function addServeCommand(program: Command): void {
  program
    .command("serve")
    .description("run a node")
    .requiredOption("--config <file>", "the platform's settings (TOML)")
    .option("--standby", "keep the records while another node leads, so as to take over from it warm", false)
    .option("--admission", "admit submissions by the teams' shares, and answer the rest 429", false)
    .action(async ({ config, standby, admission }: ServeArguments) => {
      const { loadServer } = await import("./server-bundle.js");
      const { server, cacheProblem } = loadServer();
      server.serve(config, { cacheProblem, standby, admission });
    });
}

function addJobCommands(program: Command): void {
  program
    .command("submit")
    .description("submit a job described in a JSON file (- for standard input)")
    .argument("<file>")
    .addOption(nodeOption())
    .action((file: string, { node }: NodeArguments) =>
      callNode({ node, method: "POST", path: "/api/jobs", body: readJson(file) }),
    );
  program
    .command("show")
    .description("show a job's state")
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
    .description("show the operators' settings, or change some: name=value …")
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
    .description("set a machine to open, cordon (nothing new) or drain (emptied and returned)")
    .argument("<name>")
    .argument("<mode>")
    .addOption(nodeOption())
    .action((name: string, mode: string, { node }: NodeArguments) =>
      callNode({ node, method: "PUT", path: `/admin/machines/${encodeURIComponent(name)}`, body: { mode } }),
    );
  program
    .command("status")
    .description("show a node's view: leader, machines, queue, pending move")
    .addOption(nodeOption())
    .action(({ node }: NodeArguments) => callNode({ node, method: "GET", path: "/admin/status" }));
}
