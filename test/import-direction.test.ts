import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize } from "node:path";
import { test } from "node:test";

/**
 * The layers of src/core/, the lowest first (docs/ARCHITECTURE.md, "Layers"). A module may import from its own layer and from
 * those below it. What is not listed lies directly in src/core/ and is the top layer.
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
/** Data that refers to each other: a job has placements, a placement its job and machine. */
const MUTUAL = new Set(["src/core/model/job.ts", "src/core/model/machine.ts", "src/core/model/placement.ts"]);

function modulesOf(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".ts"))
    .map((name) => join(folder, name));
}

function importsOf(module: string): string[] {
  const found = readFileSync(module, "utf8").matchAll(/\bfrom "(\.[^"]+)\.js"/g);
  return [...found].map(([, path = ""]) => normalize(join(dirname(module), `${path}.ts`)));
}

function layerOf(module: string): number {
  const layer = LAYERS.findIndex((prefixes) => prefixes.some((prefix) => module.startsWith(prefix)));
  return layer < 0 ? LAYERS.length : layer;
}

/** The modules that can be reached from one by its imports. */
function reachableFrom(module: string, imports: ReadonlyMap<string, readonly string[]>): Set<string> {
  const reached = new Set<string>();
  const queue = [...(imports.get(module) ?? [])];
  for (let next = queue.pop(); next !== undefined; next = queue.pop()) {
    if (reached.has(next)) continue;
    reached.add(next);
    queue.push(...(imports.get(next) ?? []));
  }
  return reached;
}

test("imports of the core go one way: from a layer to itself and to those below", () => {
  const upward = modulesOf("src/core").flatMap((module) =>
    importsOf(module)
      .filter((imported) => imported.startsWith("src/core/") && layerOf(imported) > layerOf(module))
      .map((imported) => `${module} imports ${imported}`),
  );

  assert.deepEqual(upward, []);
});

test("no modules of src import each other in a circle, but for jobs, machines and placements", () => {
  const modules = modulesOf("src");
  assert.ok(modules.length > 100, `${modules.length} modules`);
  const imports = new Map(modules.map((module) => [module, importsOf(module)]));

  const circular = modules.filter(
    (module) => !MUTUAL.has(module) && reachableFrom(module, imports).has(module),
  );

  assert.deepEqual(circular, []);
});
