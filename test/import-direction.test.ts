import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize } from "node:path";
import { test } from "node:test";

/**
 * The layers of src/core/, lowest first (docs/ARCHITECTURE.md, "Layers"). A module may import from its own layer and
 * from the layers below it. Modules that are not listed are directly in src/core/ and form the top layer.
 */
const LAYERS = [
  ["src/core/messages/", "src/core/model/"],
  ["src/core/context.ts", "src/core/random.ts"],
  ["src/core/store/"],
  ["src/core/election/"],
  ["src/core/jobs/"],
  ["src/core/agents/"],
  ["src/core/scheduling/"],
  ["src/core/autoscaling/"],
  ["src/core/migration/"],
];
/** Data types that refer to each other: a job has placements, and a placement has a job and a machine. */
const ALLOWED_CYCLE = new Set([
  "src/core/model/job.ts",
  "src/core/model/machine.ts",
  "src/core/model/placement.ts",
]);

function modulesOf(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".ts"))
    .map((name) => join(folder, name));
}

function importsOf(module: string): string[] {
  const matches = readFileSync(module, "utf8").matchAll(/\bfrom "(\.[^"]+)\.js"/g);
  return [...matches].map(([, path = ""]) => normalize(join(dirname(module), `${path}.ts`)));
}

function layerOf(module: string): number {
  const layer = LAYERS.findIndex((prefixes) => prefixes.some((prefix) => module.startsWith(prefix)));
  return layer < 0 ? LAYERS.length : layer;
}

/** Returns the modules that a module imports directly or indirectly. */
function reachableFrom(module: string, imports: ReadonlyMap<string, readonly string[]>): Set<string> {
  const reachable = new Set<string>();
  const queue = [...(imports.get(module) ?? [])];
  for (let next = queue.pop(); next !== undefined; next = queue.pop()) {
    if (reachable.has(next)) continue;
    reachable.add(next);
    queue.push(...(imports.get(next) ?? []));
  }
  return reachable;
}

test("modules of the core import only from their own layer and from lower layers", () => {
  const upward = modulesOf("src/core").flatMap((module) =>
    importsOf(module)
      .filter((imported) => imported.startsWith("src/core/") && layerOf(imported) > layerOf(module))
      .map((imported) => `${module} imports ${imported}`),
  );

  assert.deepEqual(upward, []);
});

test("there are no circular imports in src, except between jobs, machines and placements", () => {
  const modules = modulesOf("src");
  assert.ok(modules.length > 100, `${modules.length} modules`);
  const imports = new Map(modules.map((module) => [module, importsOf(module)]));

  const circular = modules.filter(
    (module) => !ALLOWED_CYCLE.has(module) && reachableFrom(module, imports).has(module),
  );

  assert.deepEqual(circular, []);
});
