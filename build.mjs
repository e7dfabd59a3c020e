import { execFileSync } from "node:child_process";
import { readFileSync, rmSync } from "node:fs";
import { build } from "esbuild";
import { parse } from "smol-toml";

// Bundles the command line and the server separately: resolving, loading and compiling modules takes most of the CPU
// time of a start, and a controller has a sixth of a core or less. The command line loads none of the server's modules.
rmSync("target", { recursive: true, force: true });
const commonOptions = {
  bundle: true,
  platform: "node",
  target: "node20",
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: "none",
};
await build({
  ...commonOptions,
  entryPoints: ["src/main.ts", "src/cli/make-code-cache.ts"],
  outdir: "target",
  entryNames: "[name]",
  splitting: true,
  format: "esm",
  // commander is a CommonJS package and loads Node's built-in modules with require.
  banner: { js: "import{createRequire as __cr}from'node:module';const require=__cr(import.meta.url);" },
});
await build({
  ...commonOptions,
  entryPoints: ["src/shell/serve.ts"],
  outfile: "target/server.cjs",
  format: "cjs",
  // On Node, rxjs resolves to its CommonJS build, which cannot be tree-shaken and takes 50 ms of CPU time to load.
  alias: { rxjs: "./node_modules/rxjs/dist/esm/index.js" },
  // Disables msgpackr's native addon, which is optional and not needed for small messages.
  define: { "process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED": '"true"' },
});

// V8 accepts a code cache only under the flags it was created with, so the flags of the service's run command are used.
const { run } = parse(readFileSync("deploy/service.toml", "utf8"));
const flags = run.split(" ").filter((argument) => argument.startsWith("--max-"));
execFileSync("node", [...flags, "target/make-code-cache.js"], { stdio: "inherit" });
