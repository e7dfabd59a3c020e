import { builtinModules } from "node:module";
import { defineConfig, globalIgnores } from "eslint/config";
import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

// Biome formats and lints what one file shows. ESLint adds only what needs types, names, limits of size, doc comments
// and the borders between folders. An exception stands in the code, next to its reason: a disable comment that
// disables nothing is an error.

const SOURCES = ["src/**/*.ts"];
const CORE = ["src/core/**/*.ts"];
/** Where words of the wire and of settings stand as properties: as others write them. */
const WIRE = ["src/config/**/*.ts", "src/protocol/**/*.ts", "test/**/*.ts", "tools/**/*.ts"];

const camel = { format: ["camelCase"], leadingUnderscore: "allow" };
const constant = { format: ["camelCase", "UPPER_CASE"] };
const properties = ["objectLiteralProperty", "typeProperty"];
const noInterfacePrefix = { regex: "^I[A-Z]", match: false };
const names = ({ wire }) => {
  const given = { format: wire ? null : ["camelCase", "PascalCase"] };
  return [
    { selector: "default", ...camel },
    // Names that others gave: default and namespace imports, and classes out of `await import(...)`.
    { selector: "import", format: ["camelCase", "PascalCase"] },
    { selector: "variable", modifiers: ["destructured"], ...given },
    { selector: "variable", modifiers: ["const", "global", "destructured"], ...given },
    { selector: "variable", modifiers: ["const", "global"], ...constant },
    { selector: "classProperty", modifiers: ["static", "readonly"], ...constant },
    { selector: "typeLike", format: ["PascalCase"] },
    { selector: "interface", format: ["PascalCase"], custom: noInterfacePrefix },
    { selector: "enumMember", format: ["PascalCase"] },
    // Headers, paths and the like can't be names.
    { selector: properties, modifiers: ["requiresQuotes"], format: null },
    // Fields of log lines and of the status are an interface of operators, in snake_case.
    ...(wire ? [] : [{ selector: "objectLiteralProperty", format: ["camelCase", "snake_case"] }]),
    ...(wire ? [{ selector: properties, format: null }] : []),
    ...(wire ? [{ selector: "parameter", modifiers: ["destructured"], format: null }] : []),
  ];
};

const exported = ["ExportNamedDeclaration", "ExportDefaultDeclaration"];
const publicMethod =
  ":matches(MethodDefinition, TSAbstractMethodDefinition)[kind=/^(method|get)$/]" +
  "[key.type!='PrivateIdentifier']:not([accessibility=/^(private|protected)$/])";

const exact = (word) => word.replaceAll(/[$.*+?^()[\]{}|\\]/g, "\\$&");
const impureModules = [
  ...builtinModules.filter((name) => !name.startsWith("node:")),
  "rxjs",
  "express",
  "pino",
];
const impureGlobals = {
  Date: "Time comes in with each command.",
  performance: "Time comes in with each command.",
  setTimeout: "Ask for a wake-up by an effect.",
  setInterval: "Ask for a wake-up by an effect.",
  setImmediate: "Ask for a wake-up by an effect.",
  queueMicrotask: "Return effects.",
  process: "Settings come in by the constructor.",
  console: "Log by an effect.",
  fetch: "Ask outside systems by an effect.",
  crypto: "Random numbers come from the seeded generator.",
};
const pure = "src/core is pure: commands and time in, effects out.";

export default defineConfig(
  globalIgnores(["target/", "journal/", "node_modules/"]),
  {
    name: "typed",
    files: ["**/*.ts"],
    languageOptions: {
      parser: tseslint.parser,
      // Not projectService: one program is built anyway, and this is no slower.
      parserOptions: { project: "./tsconfig.json", tsconfigRootDir: import.meta.dirname },
    },
    linterOptions: { reportUnusedDisableDirectives: "error" },
    plugins: { "@typescript-eslint": tseslint.plugin },
    rules: {
      "@typescript-eslint/no-floating-promises": [
        "error",
        {
          // The runner waits for these itself.
          allowForKnownSafeCalls: [
            { from: "package", package: "node:test", name: ["describe", "it", "suite", "test"] },
          ],
        },
      ],
      // Express 5 takes a handler's promise and passes its rejection on; its types say so, and need no exemption.
      "@typescript-eslint/no-misused-promises": "error",
      "@typescript-eslint/only-throw-error": "error",
      "@typescript-eslint/prefer-promise-reject-errors": "error",
      "@typescript-eslint/require-await": "error",
      "@typescript-eslint/return-await": ["error", "in-try-catch"],
      // Each member needs its case; `default: x satisfies never` may stand beside them, a default in their place not.
      "@typescript-eslint/switch-exhaustiveness-check": [
        "error",
        { allowDefaultCaseForExhaustiveSwitch: true, considerDefaultExhaustiveForUnions: false },
      ],
      "@typescript-eslint/no-unnecessary-condition": [
        "error",
        { allowConstantLoopConditions: "only-allowed-literals" },
      ],
      "@typescript-eslint/naming-convention": ["error", ...names({ wire: false })],
    },
  },
  {
    name: "names on the wire",
    files: WIRE,
    rules: { "@typescript-eslint/naming-convention": ["error", ...names({ wire: true })] },
  },
  {
    name: "size of functions",
    files: SOURCES,
    rules: {
      "max-lines-per-function": ["error", { max: 60, skipBlankLines: true, skipComments: true }],
      complexity: ["error", { max: 20 }],
      "max-params": ["error", { max: 5 }],
    },
  },
  {
    name: "doc comments",
    files: SOURCES,
    plugins: { jsdoc },
    rules: {
      "jsdoc/require-jsdoc": [
        "error",
        {
          // Written by hand or not at all: a fixer would write empty ones.
          enableFixer: false,
          require: { FunctionDeclaration: false },
          // Not publicOnly: that takes the comment of a class for one of each of its methods.
          contexts: exported.flatMap((path) => [
            `${path} > :matches(ClassDeclaration, FunctionDeclaration)`,
            `${path} > :matches(TSInterfaceDeclaration, TSTypeAliasDeclaration)`,
            `${path} > ClassDeclaration > ClassBody > ${publicMethod}`,
          ]),
        },
      ],
      "jsdoc/no-blank-blocks": ["error", { enableFixer: false }],
    },
  },
  {
    name: "core is pure",
    files: CORE,
    rules: {
      "no-restricted-imports": [
        "error",
        {
          patterns: [
            { regex: `^(node:.*|(${impureModules.map(exact).join("|")})(/.*)?)$`, message: pure },
            {
              regex: "^\\.{1,2}/(.*/)?(protocol|shell)(/|$)",
              message: "src/core knows neither wire nor shell.",
            },
          ],
        },
      ],
      // The rule above sees neither of these.
      "no-restricted-syntax": [
        "error",
        { selector: "ImportExpression", message: `${pure} Import statically.` },
        { selector: "TSImportType", message: "Import the type by name, at the top." },
      ],
      "no-restricted-globals": [
        "error",
        {
          globals: Object.entries(impureGlobals).map(([name, message]) => ({
            name,
            message: `${pure} ${message}`,
          })),
          checkGlobalObject: true,
        },
      ],
      "no-restricted-properties": [
        "error",
        { object: "Math", property: "random", message: `${pure} ${impureGlobals.crypto}` },
      ],
    },
  },
);
