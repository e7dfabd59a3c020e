import { execFileSync } from "node:child_process";
import { readFileSync, rmSync } from "node:fs";
import { build } from "esbuild";
import { parse } from "smol-toml";

// Two bundles: most of a start's processor time goes into finding, loading and compiling modules, and the controllers
// have a sixth of a core or less. The command line starts without the server's.
rmSync("target", { recursive: true, force: true });
const common = {
  bundle: true,
  platform: "node",
  target: "node20",
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: "none",
};
await build({
  ...common,
  entryPoints: ["src/main.ts", "src/cli/make-code-cache.ts"],
  outdir: "target",
  entryNames: "[name]",
  splitting: true,
  format: "esm",
  // commander is CommonJS and asks for Node's own modules through require.
  banner: { js: "import{createRequire as __cr}from'node:module';const require=__cr(import.meta.url);" },
});
await build({
  ...common,
  entryPoints: ["src/shell/serve.ts"],
  outfile: "target/server.cjs",
  format: "cjs",
  // rxjs shows Node its CommonJS build, which can't be pruned: 50 ms of processor time to load.
  alias: { rxjs: "./node_modules/rxjs/dist/esm/index.js" },
  // No native addon: it is optional, and our messages are small.
  define: { "process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED": '"true"' },
});

// V8 accepts a code cache only under the flags it was made with: those of the run line.
const { run } = parse(readFileSync("deploy/service.toml", "utf8"));
const flags = run.split(" ").filter((word) => word.startsWith("--max-"));
execFileSync("node", [...flags, "target/make-code-cache.js"], { stdio: "inherit" });
