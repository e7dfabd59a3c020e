import { rmSync } from "node:fs";
import { build } from "esbuild";

// One bundle: most of a start's processor time goes into finding and loading modules, and the controllers
// have a sixth of a core. Metrics and the server are split off, so that the command line starts without them.
rmSync("target", { recursive: true, force: true });
await build({
  entryPoints: ["src/main.ts"],
  outdir: "target",
  bundle: true,
  splitting: true,
  platform: "node",
  target: "node20",
  format: "esm",
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: "none",
  // express and others are CommonJS and ask for Node's own modules through require.
  banner: { js: "import{createRequire as __cr}from'node:module';const require=__cr(import.meta.url);" },
  // rxjs shows Node its CommonJS build, which can't be pruned: 50 ms of processor time to load.
  alias: { rxjs: "./node_modules/rxjs/dist/esm/index.js" },
  // No native addon: it is optional, and our messages are small.
  define: { "process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED": '"true"' },
});
